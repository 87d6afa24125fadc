// What a timer service hands to its subscribers.
#ifndef CHIVELEVER_TRANSPORT_SUBSCRIPTION_HPP
#define CHIVELEVER_TRANSPORT_SUBSCRIPTION_HPP

#include "state/state.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

namespace chivelever
{

// Ends the subscription when destroyed, after a call in progress has returned.
class subscription
{
public:
    subscription() = default;
    explicit subscription(std::function<void()> end) : end_(std::move(end)) {}
    ~subscription()
    {
        if (end_)
            end_();
    }
    subscription(subscription&& other) noexcept : end_(std::exchange(other.end_, nullptr)) {}
    subscription& operator=(subscription&& other) noexcept
    {
        subscription old(std::move(*this));
        end_ = std::exchange(other.end_, nullptr);
        return *this;
    }
    subscription(subscription const&) = delete;
    subscription& operator=(subscription const&) = delete;

private:
    std::function<void()> end_;
};

// Calls f from the io_context each period, with the time of the given clock.
[[nodiscard]] subscription call_periodically(boost::asio::io_context& io, duration period,
                                             std::function<void(time_point)> f,
                                             time_point (*clock)());

} // namespace chivelever

#endif
