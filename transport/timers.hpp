// Timer service: a thread that calls its subscribers periodically.
#ifndef CHIVELEVER_TRANSPORT_TIMERS_HPP
#define CHIVELEVER_TRANSPORT_TIMERS_HPP

#include "transport/subscription.hpp"

#include <functional>
#include <memory>

namespace chivelever
{

// Time of the steady clock.
time_point monotonic_now();
std::int64_t unix_now_ms();

class timers
{
public:
    using subscription = chivelever::subscription;

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
