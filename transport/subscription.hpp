// RAII handle of a periodic timer call.
#ifndef CHIVELEVER_TRANSPORT_SUBSCRIPTION_HPP
#define CHIVELEVER_TRANSPORT_SUBSCRIPTION_HPP

#include "state/state.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

namespace chivelever
{

// Cancels the periodic call on destruction, and waits for a call in progress to return.
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

// Calls f periodically on the io_context, with the current time of the given clock.
[[nodiscard]] subscription call_periodically(boost::asio::io_context& io, duration period,
                                             std::function<void(time_point)> f,
                                             time_point (*clock)());

} // namespace chivelever

#endif
