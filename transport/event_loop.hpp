// The loop of a process of one thread, with the timer service and datagram sockets on it. On the
// platform a host has a quarter of one core, so that a second thread would only add switches.
#ifndef CHIVELEVER_TRANSPORT_EVENT_LOOP_HPP
#define CHIVELEVER_TRANSPORT_EVENT_LOOP_HPP

#include "transport/subscription.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace chivelever
{

// Time since the machine started, with the time that it was suspended: after a suspension
// everything that this host knows is that much older.
time_point boot_time_now();

// Calls subscribers from the loop; a model of the timer_service concept.
class loop_timers
{
public:
    using subscription = chivelever::subscription;

    explicit loop_timers(boost::asio::io_context& io) : io_(io) {}
    time_point now() const { return boot_time_now(); }
    [[nodiscard]] subscription subscribe(duration period, std::function<void(time_point)> f);

private:
    boost::asio::io_context& io_;
};

// Waits in a coroutine.
boost::asio::awaitable<void> sleep_for(boost::asio::io_context& io, duration time);

// For each address, whether a TCP connection to it has come about after the given time. The kernel
// is asked at the end, so that a loop which runs late does not take an answer for none.
boost::asio::awaitable<std::vector<bool>>
accept_connections(boost::asio::io_context& io, std::vector<endpoint> addresses, duration time);

// A datagram socket whose handler the loop calls for each datagram that has arrived.
class loop_udp
{
public:
    using handler = std::function<void(std::string_view bytes, endpoint source)>;

    // Throws boost::system::system_error if the address cannot be bound.
    loop_udp(boost::asio::io_context& io, endpoint local, handler h);
    // Handles all datagrams that have arrived, before a decision that their absence would mislead.
    void drain();
    // False if the kernel did not take the datagram.
    bool send(endpoint to, std::string_view bytes);
    std::uint64_t send_failures() const { return send_failures_; }

private:
    void wait();
    bool read_some();

    boost::asio::ip::udp::socket socket_;
    handler handler_;
    std::uint64_t send_failures_{};
};

} // namespace chivelever

#endif
