// HTTP requests to the daemons, tried in turn.
#ifndef CHIVELEVER_CLIENT_HTTP_HPP
#define CHIVELEVER_CLIENT_HTTP_HPP

#include "client/settings.hpp"

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever::client
{

struct http_reply
{
    int status{};
    std::string body;
    endpoint from;
    // An earlier try may have reached a daemon although no answer came back.
    bool uncertain{};
};

std::string encode_query(std::string_view text);

// One request to one daemon. Nothing if no whole answer came in time; `sent` tells whether the
// daemon may have got the request.
std::optional<http_reply> request_once(endpoint host, std::string_view method,
                                       std::string const& target, std::string const& body,
                                       std::string const& token, std::chrono::milliseconds timeout,
                                       bool& sent);

class http_client
{
public:
    explicit http_client(client_settings const& settings) : settings_(settings) {}

    // Tries the daemons in turn until one answers or the time is over; throws failure then.
    // Requests must be safe to repeat, as all of the API's are. Answers of 500 and above let the
    // next daemon try; the last such answer is returned if no other comes.
    http_reply request(std::string_view method, std::string const& target,
                       std::string const& body = {});

    // A GET that must succeed, as a JSON object.
    boost::json::object get(std::string const& target);

private:
    client_settings const& settings_;
    std::size_t next_{}; // the daemon that answered last
};

// The body as a JSON object; throws failure if it is none.
boost::json::object parse_body(http_reply const& reply);
// Throws failure with the answer's message and findings.
[[noreturn]] void throw_refusal(http_reply const& reply);

} // namespace chivelever::client

#endif
