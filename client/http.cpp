#include "client/http.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <random>
#include <thread>

namespace chivelever::client
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace
{

// Allows for one lost and retransmitted packet in each direction at a round-trip time of 200 ms,
// while an unreachable daemon does not exhaust the timeout of a command.
constexpr milliseconds attempt_timeout{8'000};
constexpr milliseconds initial_backoff{200};
constexpr milliseconds max_backoff{5'000};
constexpr std::uint64_t max_response_bytes = 16 << 20;

using request_type = http::request<http::string_body>;

request_type make_request(endpoint host, std::string_view method, std::string const& target,
                          std::string const& body, std::string const& token)
{
    request_type r{method == "POST" ? http::verb::post : http::verb::get, target, 11};
    r.set(http::field::host, to_string(host));
    r.set(http::field::user_agent, "chivelever");
    r.set(http::field::connection, "close");
    if (!token.empty())
        r.set(http::field::authorization, "Bearer " + token);
    if (method == "POST")
        r.set(http::field::content_type, "application/json");
    r.body() = body;
    r.prepare_payload();
    return r;
}

} // namespace

std::string encode_query(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (unsigned char const c : text)
    {
        bool const plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
        if (plain)
            out += static_cast<char>(c);
        else
            (out += '%').append({digits[c >> 4], digits[c & 15]});
    }
    return out;
}

// Uses asynchronous operations because beast::tcp_stream applies timeouts only to these. The chain
// of handlers ends at the first error.
std::optional<http_reply> request_once(endpoint host, std::string_view method,
                                       std::string const& target, std::string const& body,
                                       std::string const& token, milliseconds timeout, bool& sent)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    stream.expires_after(timeout);
    request_type const request = make_request(host, method, target, body, token);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    std::optional<http_reply> reply;
    sent = false;

    auto const on_read = [&](beast::error_code error, std::size_t)
    {
        if (!error)
            reply = http_reply{static_cast<int>(parser.get().result_int()), parser.get().body(),
                               host, false};
    };
    auto const on_write = [&](beast::error_code error, std::size_t)
    {
        if (!error)
            http::async_read(stream, buffer, parser, on_read);
    };
    auto const on_connect = [&](beast::error_code error)
    {
        if (error)
            return;
        sent = true;
        http::async_write(stream, request, on_write);
    };
    stream.async_connect({asio::ip::address_v4(host.address), host.port}, on_connect);
    io.run();
    return reply;
}

http_reply http_client::request(std::string_view method, std::string const& target,
                                std::string const& body)
{
    auto const deadline = clock::now() + settings_.timeout;
    std::mt19937_64 random(std::random_device{}());
    milliseconds backoff_limit = initial_backoff;
    bool outcome_uncertain = false;
    std::optional<http_reply> failed_reply;
    for (;;)
    {
        for (std::size_t i = 0; i < settings_.hosts.size(); ++i)
        {
            std::size_t const index = (first_host_ + i) % settings_.hosts.size();
            auto const remaining =
                std::chrono::duration_cast<milliseconds>(deadline - clock::now());
            if (remaining.count() <= 0)
                break;
            bool sent = false;
            auto reply = request_once(settings_.hosts[index], method, target, body, settings_.token,
                                      std::min(remaining, attempt_timeout), sent);
            if (!reply)
            {
                outcome_uncertain = outcome_uncertain || sent;
                continue;
            }
            outcome_uncertain = outcome_uncertain || reply->status == 202;
            reply->outcome_uncertain = outcome_uncertain;
            if (reply->status < 500)
            {
                first_host_ = index;
                return *reply;
            }
            failed_reply = std::move(reply);
        }
        // A 5xx response is returned once every daemon has been tried.
        if (failed_reply)
            return *failed_reply;
        milliseconds const pause(static_cast<milliseconds::rep>(
            random() % static_cast<std::uint64_t>(backoff_limit.count() + 1)));
        backoff_limit = std::min(backoff_limit * 2, max_backoff);
        if (clock::now() + pause >= deadline)
            break;
        std::this_thread::sleep_for(pause);
    }
    throw command_error{exit_unreachable,
                        outcome_uncertain
                            ? "no response from any daemon; the request may have been executed"
                            : "no daemon could be reached"};
}

boost::json::object parse_body(http_reply const& reply)
{
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(reply.body, error);
    if (error || !value.is_object())
        throw command_error{exit_unreachable, to_string(reply.from) + " returned status " +
                                                  std::to_string(reply.status) +
                                                  " without a JSON object"};
    return std::move(value.as_object());
}

void throw_rejection(http_reply const& reply)
{
    boost::json::object const body = parse_body(reply);
    auto const text = [](boost::json::object const& o, char const* key)
    {
        auto const* v = o.if_contains(key);
        return v != nullptr && v->is_string() ? std::string(v->get_string()) : std::string();
    };
    std::string message = text(body, "message");
    if (auto const* list = body.if_contains("findings"); list != nullptr && list->is_array())
        for (boost::json::value const& v : list->get_array())
            if (auto const* f = v.if_object())
                message += "\n  " + to_string(finding{"", text(*f, "section"), text(*f, "key"), 0,
                                                      text(*f, "message")});
    throw command_error{exit_refused, message.empty() ? "refused" : message};
}

boost::json::object http_client::get(std::string const& target)
{
    http_reply const reply = request("GET", target);
    if (reply.status != 200)
        throw_rejection(reply);
    return parse_body(reply);
}

} // namespace chivelever::client
