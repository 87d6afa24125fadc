#include "transport/event_loop.hpp"

#include "transport/log.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/scope_exit.hpp>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

// The largest datagram is a heartbeat that reports the loads of several hundred upstreams.
constexpr std::size_t max_datagram_bytes = 16 * 1024;
// Datagrams read before other handlers of the event loop run.
constexpr int max_batch_datagrams = 64;
// Upper bound on the batches that one drain() reads, so that a long burst cannot block the loop.
constexpr int max_drain_batches = 16;

duration to_duration(timespec const& t)
{
    return std::chrono::seconds(t.tv_sec) + duration(t.tv_nsec / 1000);
}

} // namespace

time_point boot_time_now()
{
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point{to_duration(t)};
}

void run_event_loop(asio::io_context& io,
                    std::function<void(std::exception_ptr const&)> const& report)
{
    for (bool stopped = false; !stopped;)
    {
        try
        {
            io.run();
            stopped = true;
        }
        catch (...)
        {
            report(std::current_exception());
        }
    }
}

void log_failed_task(std::string const& name, std::exception_ptr const& error)
{
    std::string text = "unknown exception";
    try
    {
        std::rethrow_exception(error);
    }
    catch (std::exception const& e)
    {
        text = e.what();
    }
    catch (...)
    {
        // Not derived from std::exception: logged without a text.
    }
    log::error("task.failed", {{"task", name}, {"error", text}});
}

loop_timers::subscription loop_timers::subscribe(duration period, std::function<void(time_point)> f)
{
    return call_periodically(io_, period, std::move(f), boot_time_now);
}

asio::awaitable<void> sleep_for(asio::io_context& io, duration delay)
{
    asio::steady_timer timer(io);
    timer.expires_after(delay);
    co_await timer.async_wait(asio::use_awaitable);
}

namespace
{

// Starts a non-blocking connect; returns false if it fails at once, as without a free file
// descriptor. Asio's connect() is not used,
// because it blocks until the outcome is known even on a non-blocking socket.
bool start_connection(asio::ip::tcp::socket& socket, endpoint address)
{
    boost::system::error_code e;
    socket.open(asio::ip::tcp::v4(), e);
    if (e)
        return false;
    socket.non_blocking(true);
    asio::ip::tcp::endpoint const to(asio::ip::address_v4(address.address), address.port);
    return ::connect(socket.native_handle(), to.data(), static_cast<socklen_t>(to.size())) == 0 ||
           errno == EINPROGRESS;
}

connection_outcome outcome_of(asio::ip::tcp::socket& socket)
{
    pollfd p{socket.native_handle(), POLLOUT, 0};
    if (::poll(&p, 1, 0) != 1)
        return connection_outcome::timed_out;
    int socket_error = 0;
    socklen_t size = sizeof socket_error;
    ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &socket_error, &size);
    switch (socket_error)
    {
    case 0:
        return connection_outcome::established;
    case ECONNRESET:
        return connection_outcome::closed;
    case ECONNREFUSED:
        return connection_outcome::refused;
    default:
        return connection_outcome::timed_out;
    }
}

} // namespace

std::string_view to_string(connection_outcome o)
{
    constexpr std::array<std::string_view, 5> names{"established", "closed", "refused", "timed_out",
                                                    "not_tried"};
    return names[static_cast<std::size_t>(o)];
}

asio::awaitable<std::vector<connection_outcome>>
probe_connections(asio::io_context& io, std::vector<endpoint> addresses, duration timeout)
{
    std::vector<asio::ip::tcp::socket> sockets;
    std::vector<bool> started(addresses.size());
    std::vector<connection_outcome> outcomes(addresses.size(), connection_outcome::not_tried);
    sockets.reserve(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i)
        started[i] = start_connection(sockets.emplace_back(io), addresses[i]);
    co_await sleep_for(io, timeout);
    for (std::size_t i = 0; i < sockets.size(); ++i)
        if (started[i])
            outcomes[i] = outcome_of(sockets[i]);
    co_return outcomes;
}

loop_udp::loop_udp(asio::io_context& io, endpoint local, handler h)
    : socket_(io, asio::ip::udp::endpoint(asio::ip::address_v4(local.address), local.port)),
      handler_(std::move(h)), last_empty_(boot_time_now())
{
    socket_.non_blocking(true);
    // Without time stamps, waited() has the upper bound only.
    int const enabled = 1;
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &enabled, sizeof enabled);
    wait();
}

void loop_udp::wait()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read,
                       [this](boost::system::error_code e)
                       {
                           if (e == asio::error::operation_aborted)
                               return;
                           // An exception that leaves the handler of one datagram does not end the
                           // reception of others.
                           BOOST_SCOPE_EXIT_ALL(this)
                           {
                               wait();
                           };
                           read_batch();
                       });
}

void loop_udp::drain()
{
    for (int i = 0; i < max_drain_batches && read_batch(); ++i)
    {
    }
}

std::ptrdiff_t loop_udp::receive(asio::mutable_buffer buffer, endpoint& source)
{
    sockaddr_in from{};
    iovec part{buffer.data(), buffer.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control;
    msghdr message{};
    message.msg_name = &from;
    message.msg_namelen = sizeof from;
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    std::ptrdiff_t const n = ::recvmsg(socket_.native_handle(), &message, 0);
    received_.reset();
    if (n < 0)
        return n;
    source = {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
    for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c))
        if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_TIMESTAMPNS)
            std::memcpy(&received_.emplace(), CMSG_DATA(c), sizeof(timespec));
    return n;
}

duration loop_udp::waited() const
{
    duration const bound = boot_time_now() - last_empty_;
    if (!received_)
        return bound;
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    // The time of day may have been set in the meantime.
    duration const age = to_duration(now) - to_duration(*received_);
    return std::clamp(age, duration{}, bound);
}

// Returns true if more datagrams may be queued.
bool loop_udp::read_batch()
{
    static std::array<char, max_datagram_bytes> buffer;
    for (int i = 0; i < max_batch_datagrams; ++i)
    {
        endpoint source;
        std::ptrdiff_t const n = receive(asio::buffer(buffer), source);
        // An ICMP "port unreachable" for an earlier datagram is reported here; keep reading.
        if (n < 0 && errno == ECONNREFUSED)
            continue;
        if (n < 0)
        {
            last_empty_ = boot_time_now();
            return false;
        }
        handler_({buffer.data(), static_cast<std::size_t>(n)}, source);
    }
    return true;
}

bool loop_udp::send(endpoint to, std::string_view bytes)
{
    boost::system::error_code e;
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()),
                    asio::ip::udp::endpoint(asio::ip::address_v4(to.address), to.port), 0, e);
    if (e)
        ++send_failures_;
    return !e;
}

} // namespace chivelever
