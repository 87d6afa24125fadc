// The timer service: one thread that calls subscribers periodically.
#ifndef CHIVELEVER_TRANSPORT_TIMERS_HPP
#define CHIVELEVER_TRANSPORT_TIMERS_HPP

#include "state/state.hpp"

#include <functional>
#include <memory>

namespace chivelever
{

// Monotonic time of this host.
time_point monotonic_now();
std::int64_t unix_now_ms();

class timers
{
public:
    // Ends the subscription when destroyed, after a call in progress has returned.
    class subscription
    {
    public:
        subscription() = default;
        struct entry;
        explicit subscription(std::shared_ptr<entry> e) : entry_(std::move(e)) {}
        ~subscription();
        subscription(subscription&&) noexcept = default;
        subscription& operator=(subscription&& other) noexcept;
        subscription(subscription const&) = delete;
        subscription& operator=(subscription const&) = delete;

    private:
        std::shared_ptr<entry> entry_;
    };

    timers();
    ~timers();
    timers(timers const&) = delete;
    timers& operator=(timers const&) = delete;

    time_point now() const { return monotonic_now(); }
    [[nodiscard]] subscription subscribe(duration period, std::function<void(time_point)> f);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace chivelever

#endif
