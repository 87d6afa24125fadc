#include "transport/http_client.hpp"

#include "transport/http_messages.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>

namespace chivelever
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

// Maximum delay before a cancelled call returns.
constexpr auto cancel_poll_interval = std::chrono::milliseconds(50);

asio::awaitable<http_reply> exchange(endpoint server, beast_request request, duration timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    asio::ip::tcp::endpoint const to{asio::ip::address_v4(server.address), server.port};
    co_await stream.async_connect(to, asio::use_awaitable);
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    auto reply = parser.release();
    co_return http_reply{static_cast<int>(reply.result_int()), std::move(reply.body())};
}

} // namespace

std::optional<http_reply> http_call(endpoint server, std::string const& method,
                                    std::string const& target, std::string const& body,
                                    duration timeout, std::atomic<bool> const* cancelled)
{
    asio::io_context io{1};
    std::optional<http_reply> result;
    bool done = false;
    asio::co_spawn(io, exchange(server, make_request(server, method, target, body, false), timeout),
                   [&result, &done](std::exception_ptr const& error, http_reply reply)
                   {
                       done = true;
                       if (!error)
                           result = std::move(reply);
                   });
    while (!done && (cancelled == nullptr || !*cancelled))
        io.run_for(cancel_poll_interval);
    return result;
}

} // namespace chivelever
