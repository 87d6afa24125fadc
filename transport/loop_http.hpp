// HTTP on the loop of a process of one thread: a connection that is used for many calls, and a
// listener for probes, metrics and other hosts.
#ifndef CHIVELEVER_TRANSPORT_LOOP_HTTP_HPP
#define CHIVELEVER_TRANSPORT_LOOP_HTTP_HPP

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

// Calls one server, one at a time. A call that fails or takes too long closes the connection: an
// answer that comes later must not be taken for the next call's, and a connection on which an
// answer was lost may be silent for good.
class http_connection
{
public:
    http_connection(boost::asio::io_context& io, endpoint server) : io_(io), server_(server) {}

    boost::asio::awaitable<std::optional<http_reply>> call(std::string method, std::string target,
                                                           std::string body, duration limit);
    endpoint server() const { return server_; }
    // Calls go to another server from now on.
    void set_server(endpoint server);

private:
    boost::asio::awaitable<std::optional<http_reply>>
    exchange(std::string method, std::string target, std::string body, duration limit);

    boost::asio::io_context& io_;
    endpoint server_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

// Answers calls without a body. Each connection is served until it is idle for a while.
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
