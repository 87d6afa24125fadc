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

// Long enough for one lost and repeated packet in each direction at 200 ms round trip, short enough
// that a dead daemon does not use up the time of a command.
constexpr milliseconds try_timeout{8'000};
constexpr milliseconds first_pause{200};
constexpr milliseconds longest_pause{5'000};
constexpr std::uint64_t max_answer_bytes = 16 << 20;

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

// Asynchronous steps, since only they have time-outs; the chain ends at the first error.
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
    parser.body_limit(max_answer_bytes);
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
    auto const end = clock::now() + settings_.timeout;
    std::mt19937_64 random(std::random_device{}());
    milliseconds bound = first_pause;
    bool uncertain = false;
    std::optional<http_reply> failed;
    for (;;)
    {
        for (std::size_t i = 0; i < settings_.hosts.size(); ++i)
        {
            std::size_t const index = (next_ + i) % settings_.hosts.size();
            auto const left = std::chrono::duration_cast<milliseconds>(end - clock::now());
            if (left.count() <= 0)
                break;
            bool sent = false;
            auto reply = request_once(settings_.hosts[index], method, target, body, settings_.token,
                                      std::min(left, try_timeout), sent);
            if (!reply)
            {
                uncertain = uncertain || sent;
                continue;
            }
            uncertain = uncertain || reply->status == 202;
            reply->uncertain = uncertain;
            if (reply->status < 500)
            {
                next_ = index;
                return *reply;
            }
            failed = std::move(reply);
        }
        // An answer that refuses for now is final once every daemon has been asked.
        if (failed)
            return *failed;
        milliseconds const pause(static_cast<milliseconds::rep>(
            random() % static_cast<std::uint64_t>(bound.count() + 1)));
        bound = std::min(bound * 2, longest_pause);
        if (clock::now() + pause >= end)
            break;
        std::this_thread::sleep_for(pause);
    }
    throw failure{exit_not_reached, uncertain ? "no answer from any daemon; the request may have "
                                                "been carried out"
                                              : "no daemon could be reached"};
}

boost::json::object parse_body(http_reply const& reply)
{
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(reply.body, error);
    if (error || !value.is_object())
        throw failure{exit_not_reached, to_string(reply.from) + " answered " +
                                            std::to_string(reply.status) + " without JSON"};
    return std::move(value.as_object());
}

void throw_refusal(http_reply const& reply)
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
    throw failure{exit_refused, message.empty() ? "refused" : message};
}

boost::json::object http_client::get(std::string const& target)
{
    http_reply const reply = request("GET", target);
    if (reply.status != 200)
        throw_refusal(reply);
    return parse_body(reply);
}

} // namespace chivelever::client
