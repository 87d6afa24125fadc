// Timers and datagram sockets for a single-threaded event loop. On the platform a host has a
// quarter of one core, so that a second thread would only add context switches.
#ifndef CHIVELEVER_TRANSPORT_EVENT_LOOP_HPP
#define CHIVELEVER_TRANSPORT_EVENT_LOOP_HPP

#include "transport/subscription.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

// Time since boot, including the time that the machine was suspended: after a suspension all state
// of this host is older by its duration.
time_point boot_time_now();

// Logs an exception that ended a task; the process goes on.
void log_failed_task(std::string const& name, std::exception_ptr const& error);

// Runs the event loop until it is stopped or has nothing left to do. An exception that leaves a
// handler is passed to `report`, and the loop goes on.
void run_event_loop(boost::asio::io_context& io,
                    std::function<void(std::exception_ptr const&)> const& report);

// Calls subscribers from the event loop. Models the timer_service concept.
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

// Suspends the calling coroutine for the given time.
boost::asio::awaitable<void> sleep_for(boost::asio::io_context& io, duration delay);

// Outcome of a connection attempt.
enum class connection_outcome : std::uint8_t
{
    established,
    closed,    // accepted and then reset, as by a server above its connection limit
    refused,   // nothing listens on the port
    timed_out, // no answer
    not_tried  // no file descriptor was free
};
std::string_view to_string(connection_outcome o);

// Tries to connect to each address and returns the outcomes after the timeout. The state is read
// from the kernel at the end, so that a late event loop does not miss a connection that was
// accepted in time.
boost::asio::awaitable<std::vector<connection_outcome>>
probe_connections(boost::asio::io_context& io, std::vector<endpoint> addresses, duration timeout);

// A UDP socket on the event loop. The handler is called for each received datagram.
class loop_udp
{
public:
    using handler = std::function<void(std::string_view bytes, endpoint source)>;

    // Upper bound on the time that the datagram being handled has waited to be read, as while this
    // process was stopped.
    duration waited() const;

    // Throws boost::system::system_error if the address cannot be bound.
    loop_udp(boost::asio::io_context& io, endpoint local, handler h);
    // Handles the datagrams that are already queued. Call it before a decision that depends on the
    // absence of a datagram.
    void drain();
    // Returns false if the kernel rejected the datagram.
    bool send(endpoint to, std::string_view bytes);
    std::uint64_t send_failures() const { return send_failures_; }

private:
    void wait();
    bool read_batch();
    // Reads one datagram; returns its size, or -1 with errno set.
    std::ptrdiff_t receive(boost::asio::mutable_buffer buffer, endpoint& source);

    boost::asio::ip::udp::socket socket_;
    handler handler_;
    time_point last_empty_;            // when all datagrams had been read
    std::optional<timespec> received_; // by the kernel, in the time of day
    std::uint64_t send_failures_{};
};

} // namespace chivelever

#endif
