#include "transport/http_client.hpp"

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

// The largest value of the store is 1 MB; base64 and JSON add a third and a little.
constexpr std::size_t max_reply_bytes = 4 * 1024 * 1024;

// How soon a cancelled call ends.
constexpr auto cancel_poll = std::chrono::milliseconds(50);

asio::awaitable<http_reply> exchange(endpoint server, http::request<http::string_body> request,
                                     duration limit)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(limit);
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
                                    duration limit, std::atomic<bool> const* cancelled)
{
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(http::field::host, to_string(server));
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();

    asio::io_context io{1};
    std::optional<http_reply> result;
    bool done = false;
    asio::co_spawn(io, exchange(server, std::move(request), limit),
                   [&result, &done](std::exception_ptr const& error, http_reply reply)
                   {
                       done = true;
                       if (!error)
                           result = std::move(reply);
                   });
    while (!done && (cancelled == nullptr || !*cancelled))
        io.run_for(cancel_poll);
    return result;
}

} // namespace chivelever
