#include "transport/subscription.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/scope_exit.hpp>
#include <memory>
#include <mutex>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

struct periodic_call : std::enable_shared_from_this<periodic_call>
{
    periodic_call(asio::io_context& io, duration p, std::function<void(time_point)> f,
                  time_point (*now)())
        : timer(io), period(p), call(std::move(f)), clock(now)
    {
    }

    void arm()
    {
        timer.expires_after(period);
        timer.async_wait(
            [self = shared_from_this()](boost::system::error_code e)
            {
                if (!e)
                    self->fire();
            });
    }

    void fire()
    {
        std::lock_guard const lock(mutex);
        if (cancelled)
            return;
        // An exception that leaves one call does not end the later ones.
        BOOST_SCOPE_EXIT_ALL(this)
        {
            arm();
        };
        call(clock());
    }

    void cancel()
    {
        std::lock_guard const lock(mutex);
        cancelled = true;
    }

    asio::steady_timer timer;
    duration period;
    std::function<void(time_point)> call;
    time_point (*clock)();
    std::recursive_mutex mutex; // recursive: a subscriber may cancel its own subscription
    bool cancelled{false};
};

} // namespace

subscription call_periodically(asio::io_context& io, duration period,
                               std::function<void(time_point)> f, time_point (*clock)())
{
    auto const call = std::make_shared<periodic_call>(io, period, std::move(f), clock);
    asio::post(io, [call] { call->arm(); });
    return subscription([call] { call->cancel(); });
}

} // namespace chivelever
