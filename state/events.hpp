// The timeline: a hybrid logical clock and a bounded ring buffer of events in each process.
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
// event caused by a message always has a later time than the sending of that message.
using hybrid_time = std::uint64_t;

class hybrid_clock
{
public:
    // Timestamp for a local event or an outgoing message.
    hybrid_time now(std::int64_t unix_ms);
    // Advances the clock past the timestamp of a received message. Timestamps more than
    // max_skew_ms ahead are ignored, so that one faulty clock does not advance all others.
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

// Ring buffer of the latest events of one process; the oldest are overwritten.
class event_ring
{
public:
    explicit event_ring(std::size_t capacity = 4096);
    void add(event e);
    // Events at or after `since` whose subject contains `subject`, in chronological order.
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
