// The time line: a hybrid logical clock and a bounded ring of events in each process.
#ifndef CHIVELEVER_STATE_EVENTS_HPP
#define CHIVELEVER_STATE_EVENTS_HPP

#include "state/ids.hpp"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

// Hybrid logical time: 48 bits of Unix milliseconds and a 16-bit counter, ordered as one number. An
// event that was caused by a message is always later than the message's sending.
using hybrid_time = std::uint64_t;

class hybrid_clock
{
public:
    // Time of a local event or of a message to be sent.
    hybrid_time now(std::int64_t unix_ms);
    // Takes in the time of a received message. Times more than max_skew_ms ahead are ignored, so
    // that one broken clock does not move all others.
    hybrid_time observe(hybrid_time remote, std::int64_t unix_ms);

    static constexpr std::int64_t max_skew_ms = 60'000;
    static constexpr std::int64_t unix_ms(hybrid_time t)
    {
        return static_cast<std::int64_t>(t >> 16);
    }

private:
    std::mutex mutex_;
    hybrid_time last_{};
};

struct event
{
    hybrid_time time{};
    host_id host;
    std::string kind;    // for example "lease.granted"
    std::string subject; // for example "pool/desk@akl", "flow/12345", "change/ab12"
    std::string detail;
    auto operator<=>(event const&) const = default;
};

// The latest events of one process; older ones are overwritten.
class event_ring
{
public:
    explicit event_ring(std::size_t capacity = 4096);
    void add(event e);
    // Events at or after `since` whose subject contains `subject`, in order of time.
    std::vector<event> select(hybrid_time since, std::string_view subject = {}) const;
    std::uint64_t overwritten() const;

private:
    mutable std::mutex mutex_;
    std::vector<event> ring_;
    std::size_t capacity_;
    std::uint64_t added_{};
};

} // namespace chivelever

#endif
