#include "transport/event_loop.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <ctime>
#include <poll.h>
#include <sys/socket.h>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

// The largest datagram: a beat of a host that reports a load on several hundred upstreams.
constexpr std::size_t max_datagram_bytes = 16 * 1024;
// Datagrams that are handled before other work of the loop gets its turn.
constexpr int datagrams_at_once = 64;
// A burst that is longer than this many times as much waits for its next turn all the same.
constexpr int drain_rounds = 16;

} // namespace

time_point boot_time_now()
{
    timespec t{};
    ::clock_gettime(CLOCK_BOOTTIME, &t);
    return time_point{std::chrono::seconds(t.tv_sec) + duration(t.tv_nsec / 1000)};
}

loop_timers::subscription loop_timers::subscribe(duration period, std::function<void(time_point)> f)
{
    return call_periodically(io_, period, std::move(f), boot_time_now);
}

asio::awaitable<void> sleep_for(asio::io_context& io, duration time)
{
    asio::steady_timer timer(io);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

namespace
{

// Starts a connection; false if it is refused at once. Asio's own connect() waits for the outcome
// also on a non-blocking socket.
bool start_connection(asio::ip::tcp::socket& socket, endpoint address)
{
    socket.open(asio::ip::tcp::v4());
    socket.non_blocking(true);
    asio::ip::tcp::endpoint const to(asio::ip::address_v4(address.address), address.port);
    return ::connect(socket.native_handle(), to.data(), static_cast<socklen_t>(to.size())) == 0 ||
           errno == EINPROGRESS;
}

bool is_connected(asio::ip::tcp::socket& socket)
{
    pollfd p{socket.native_handle(), POLLOUT, 0};
    if (::poll(&p, 1, 0) != 1)
        return false;
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &size);
    return failure == 0;
}

} // namespace

asio::awaitable<std::vector<bool>>
accept_connections(asio::io_context& io, std::vector<endpoint> addresses, duration time)
{
    std::vector<asio::ip::tcp::socket> sockets;
    std::vector<bool> connected(addresses.size());
    sockets.reserve(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i)
        connected[i] = start_connection(sockets.emplace_back(io), addresses[i]);
    co_await sleep_for(io, time);
    for (std::size_t i = 0; i < sockets.size(); ++i)
        connected[i] = connected[i] && is_connected(sockets[i]);
    co_return connected;
}

loop_udp::loop_udp(asio::io_context& io, endpoint local, handler h)
    : socket_(io, asio::ip::udp::endpoint(asio::ip::address_v4(local.address), local.port)),
      handler_(std::move(h))
{
    socket_.non_blocking(true);
    wait();
}

void loop_udp::wait()
{
    socket_.async_wait(asio::ip::udp::socket::wait_read,
                       [this](boost::system::error_code e)
                       {
                           if (e == asio::error::operation_aborted)
                               return;
                           read_some();
                           wait();
                       });
}

void loop_udp::drain()
{
    for (int i = 0; i < drain_rounds && read_some(); ++i)
    {
    }
}

// True if more may wait.
bool loop_udp::read_some()
{
    static std::array<char, max_datagram_bytes> buffer;
    for (int i = 0; i < datagrams_at_once; ++i)
    {
        asio::ip::udp::endpoint from;
        boost::system::error_code e;
        std::size_t const n = socket_.receive_from(asio::buffer(buffer), from, 0, e);
        // A port that answered an earlier datagram with "unreachable" is no reason to stop reading.
        if (e == asio::error::connection_refused)
            continue;
        if (e)
            return false;
        handler_({buffer.data(), n}, {from.address().to_v4().to_uint(), from.port()});
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
