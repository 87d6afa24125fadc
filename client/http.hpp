// HTTP client with failover between daemons.
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
    // An attempt may have been executed although its outcome is not known.
    bool outcome_uncertain{};
};

std::string encode_query(std::string_view text);

// Sends one request to one daemon. Returns nothing if no complete response arrived in time; `sent`
// is set if the daemon may have received the request.
std::optional<http_reply> request_once(endpoint host, std::string_view method,
                                       std::string const& target, std::string const& body,
                                       std::string const& token, std::chrono::milliseconds timeout,
                                       bool& sent);

class http_client
{
public:
    explicit http_client(client_settings const& settings) : settings_(settings) {}

    // Tries the daemons in order, starting with the one that responded last, until one responds;
    // throws command_error on timeout. Requests must be idempotent, as all API requests are. After
    // a status of 500 or above the next daemon is tried; the last such response is returned if
    // there is no other.
    http_reply request(std::string_view method, std::string const& target,
                       std::string const& body = {});

    // Sends a GET request and returns the JSON object; throws command_error unless the status is
    // 200.
    boost::json::object get(std::string const& target);

private:
    client_settings const& settings_;
    std::size_t first_host_{}; // index of the daemon tried first: the one that responded last
};

// Parses the body as a JSON object; throws command_error if it is not one.
boost::json::object parse_body(http_reply const& reply);
// Throws command_error with the message and findings of the response.
[[noreturn]] void throw_rejection(http_reply const& reply);

} // namespace chivelever::client

#endif
