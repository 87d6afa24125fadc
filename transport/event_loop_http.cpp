#include "transport/event_loop_http.hpp"

#include "transport/http_messages.hpp"
#include "transport/log.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/scope_exit.hpp>
#include <poll.h>

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
// A client that has not received a bounded transfer by then loses its connection.
constexpr duration transfer_timeout = 1s;
// File descriptors are limited; probes, metrics and other hosts need a few dozen connections.
constexpr int max_connections = 256;
constexpr duration accept_retry_delay = 100ms;

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
    std::shared_ptr<void const> transfer;
    while (keep_alive)
    {
        stream.expires_after(transfer ? transfer_timeout : idle_timeout);
        http::request<http::string_body> request;
        co_await http::async_read(stream, buffer, request, asio::use_awaitable);
        transfer.reset();
        auto const method = request.method_string();
        std::string const target(request.target());
        auto const query = target.find('?');
        http_request call{
            {method.data(), method.size()}, target.substr(0, query), "", request.body(), ""};
        if (query != std::string::npos)
            call.query = target.substr(query + 1);
        http_response result = handler(call);
        transfer = std::move(result.transfer);
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

// A connection that its peer closes or resets is normal; it does not affect the others.
void report_connection_error(std::exception_ptr const& error)
{
    try
    {
        if (error)
            std::rethrow_exception(error);
    }
    catch (boost::system::system_error const&)
    {
    }
    catch (std::exception const& e)
    {
        log::error("http.request_failed", {{"error", e.what()}});
    }
}

} // namespace

namespace
{

std::map<std::string, std::string> collect_headers(http::fields const& fields)
{
    std::map<std::string, std::string> out;
    for (auto const& field : fields)
    {
        std::string name(field.name_string().data(), field.name_string().size());
        boost::algorithm::to_lower(name);
        std::string const value(field.value().data(), field.value().size());
        auto const [it, added] = out.emplace(std::move(name), value);
        if (!added)
            it->second += "," + value;
    }
    return out;
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

// Bytes that arrive while no call is pending, as a second copy of the last response, would be taken
// for the response to the next call. A connection that the server has closed is not idle either.
bool http_connection::is_idle()
{
    boost::system::error_code e;
    std::size_t const unread = buffer_.size() + stream_->socket().available(e);
    if (unread > 0)
        log::warning("http.unexpected_bytes",
                     {{"server", to_string(server_)}, {"bytes", std::to_string(unread)}});
    pollfd p{stream_->socket().native_handle(), POLLIN, 0};
    return unread == 0 && !e && ::poll(&p, 1, 0) == 0;
}

asio::awaitable<std::optional<http_reply>> http_connection::exchange(std::string method,
                                                                     std::string target,
                                                                     std::string body,
                                                                     duration timeout)
{
    beast_request request = make_request(server_, method, target, std::move(body), true);
    request.set(http::field::content_type, "application/json");
    if (stream_ && !is_idle())
        stream_.reset();
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
    http_reply reply{static_cast<int>(response.result_int()), std::move(response.body()),
                     collect_headers(response.base())};
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
        if (e)
        {
            // Without free file descriptors, every further call fails at once.
            log::warning("http.accept_failed", {{"error", e.message()}});
            asio::steady_timer pause(acceptor_.get_executor(), accept_retry_delay);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        if (connections_ >= max_connections)
        {
            log::warning("http.connection_refused",
                         {{"open", std::to_string(connections_)}, {"reason", "limit reached"}});
            continue;
        }
        asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket), handler_, connections_),
                       report_connection_error);
    }
}

} // namespace chivelever
