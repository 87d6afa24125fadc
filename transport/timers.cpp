#include "transport/timers.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <mutex>
#include <thread>

namespace chivelever
{

namespace asio = boost::asio;

time_point monotonic_now()
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since)};
}

std::int64_t unix_now_ms()
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

struct timers::subscription::entry : std::enable_shared_from_this<entry>
{
    entry(asio::io_context& io, duration p, std::function<void(time_point)> f)
        : timer(io), period(p), call(std::move(f))
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
        if (ended)
            return;
        call(monotonic_now());
        arm();
    }

    asio::steady_timer timer;
    duration period;
    std::function<void(time_point)> call;
    std::recursive_mutex mutex; // a subscriber may end its own subscription
    bool ended{false};
};

timers::subscription::~subscription()
{
    if (!entry_)
        return;
    std::lock_guard const lock(entry_->mutex);
    entry_->ended = true;
}

timers::subscription& timers::subscription::operator=(subscription&& other) noexcept
{
    subscription old(std::move(*this));
    entry_ = std::move(other.entry_);
    return *this;
}

struct timers::impl
{
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::thread thread{[this] { io.run(); }};
};

timers::timers() : impl_(std::make_unique<impl>()) {}

timers::~timers()
{
    impl_->io.stop();
    impl_->thread.join();
}

timers::subscription timers::subscribe(duration period, std::function<void(time_point)> f)
{
    auto e = std::make_shared<subscription::entry>(impl_->io, period, std::move(f));
    asio::post(impl_->io, [e] { e->arm(); });
    return subscription(e);
}

} // namespace chivelever
