#include "transport/timers.hpp"

#include "transport/event_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
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

struct timers::impl
{
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::thread thread{[this] {
        run_event_loop(io,
                       [](std::exception_ptr const& error) { log_failed_task("timers", error); });
    }};
};

timers::timers() : impl_(std::make_unique<impl>()) {}

timers::~timers()
{
    impl_->io.stop();
    impl_->thread.join();
}

timers::subscription timers::subscribe(duration period, std::function<void(time_point)> f)
{
    return call_periodically(impl_->io, period, std::move(f), monotonic_now);
}

} // namespace chivelever
