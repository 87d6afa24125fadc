// HTTP for a single-threaded event loop: a persistent client connection, and a server for probes,
// metrics and other hosts.
#ifndef CHIVELEVER_TRANSPORT_EVENT_LOOP_HTTP_HPP
#define CHIVELEVER_TRANSPORT_EVENT_LOOP_HTTP_HPP

#include "state/state.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

// Persistent connection to one server, for one call at a time. A failed call or a timeout closes
// the connection: a late response must not be taken for the response to the next call, and a
// connection that has lost a response may never deliver another one.
class http_connection
{
public:
    http_connection(boost::asio::io_context& io, endpoint server) : io_(io), server_(server) {}

    boost::asio::awaitable<std::optional<http_reply>> call(std::string method, std::string target,
                                                           std::string body, duration timeout);
    endpoint server() const { return server_; }
    // Makes the next call use a new connection.
    void close() { stream_.reset(); }
    // Sends later calls to another server.
    void set_server(endpoint server);

private:
    bool is_idle();
    boost::asio::awaitable<std::optional<http_reply>>
    exchange(std::string method, std::string target, std::string body, duration timeout);

    boost::asio::io_context& io_;
    endpoint server_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

// Serves HTTP requests without a body on the event loop. Idle connections are closed after a
// timeout.
class http_listener
{
public:
    // Throws boost::system::system_error if the address cannot be bound.
    http_listener(boost::asio::io_context& io, endpoint local, http_handler handler);

private:
    boost::asio::awaitable<void> accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_handler handler_;
    int connections_{};
};

} // namespace chivelever

#endif
