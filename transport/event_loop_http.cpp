#include "transport/event_loop_http.hpp"

#include "transport/http_messages.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/scope_exit.hpp>

namespace chivelever
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_request_bytes = 8 * 1024;
// Idle connections are closed after this time; probes arrive twice per second.
constexpr duration idle_timeout = 10s;
// File descriptors are limited; probes, metrics and other hosts need a few dozen connections.
constexpr int max_connections = 256;

asio::awaitable<void> serve(asio::ip::tcp::socket socket, http_handler const& handler,
                            int& open_connections)
{
    ++open_connections;
    BOOST_SCOPE_EXIT_ALL(&open_connections)
    {
        --open_connections;
    };
    beast::tcp_stream stream(std::move(socket));
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    beast::flat_buffer buffer(max_request_bytes);
    bool keep_alive = true;
    while (keep_alive)
    {
        stream.expires_after(idle_timeout);
        http::request<http::string_body> request;
        co_await http::async_read(stream, buffer, request, asio::use_awaitable);
        auto const method = request.method_string();
        std::string const target(request.target());
        auto const query = target.find('?');
        http_request call{
            {method.data(), method.size()}, target.substr(0, query), "", request.body(), ""};
        if (query != std::string::npos)
            call.query = target.substr(query + 1);
        http_response result = handler(call);
        http::response<http::string_body> response{
            static_cast<http::status>(static_cast<unsigned>(result.status)), request.version(),
            std::move(result.body)};
        response.set(http::field::content_type, result.content_type);
        keep_alive = request.keep_alive();
        response.keep_alive(keep_alive);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
    }
}

} // namespace

void http_connection::set_server(endpoint server)
{
    if (server == server_)
        return;
    server_ = server;
    stream_.reset();
}

asio::awaitable<std::optional<http_reply>>
http_connection::call(std::string method, std::string target, std::string body, duration timeout)
{
    // The server may close an idle connection at any time, so a GET is retried once on a new
    // connection. Other methods are not retried, since the server may have executed the request.
    bool const retry = stream_.has_value() && method == "GET";
    for (int attempt = retry ? 0 : 1; attempt < 2; ++attempt)
    {
        try
        {
            co_return co_await exchange(method, target, body, timeout);
        }
        catch (boost::system::system_error const& e)
        {
            stream_.reset();
            if (e.code() == beast::error::timeout)
                break;
        }
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<http_reply>> http_connection::exchange(std::string method,
                                                                     std::string target,
                                                                     std::string body,
                                                                     duration timeout)
{
    beast_request request = make_request(server_, method, target, std::move(body), true);
    request.set(http::field::content_type, "application/json");
    if (!stream_)
    {
        stream_.emplace(io_);
        buffer_.clear();
        stream_->expires_after(timeout);
        co_await stream_->async_connect(
            asio::ip::tcp::endpoint(asio::ip::address_v4(server_.address), server_.port),
            asio::use_awaitable);
        stream_->socket().set_option(asio::ip::tcp::no_delay(true));
    }
    stream_->expires_after(timeout);
    co_await http::async_write(*stream_, request, asio::use_awaitable);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_reply_bytes);
    co_await http::async_read(*stream_, buffer_, parser, asio::use_awaitable);
    stream_->expires_never();
    bool const keep_alive = parser.keep_alive();
    auto response = parser.release();
    http_reply reply{static_cast<int>(response.result_int()), std::move(response.body())};
    if (!keep_alive)
        stream_.reset();
    co_return reply;
}

http_listener::http_listener(asio::io_context& io, endpoint local, http_handler handler)
    : acceptor_(io, asio::ip::tcp::endpoint(asio::ip::address_v4(local.address), local.port)),
      handler_(std::move(handler))
{
    asio::co_spawn(io, accept(), asio::detached);
}

asio::awaitable<void> http_listener::accept()
{
    while (true)
    {
        boost::system::error_code e;
        asio::ip::tcp::socket socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, e));
        if (e == asio::error::operation_aborted)
            co_return;
        if (e || connections_ >= max_connections)
            continue;
        // Errors of one connection are ignored; they do not affect the others.
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket), handler_, connections_),
                       [](std::exception_ptr const&) {});
    }
}

} // namespace chivelever
