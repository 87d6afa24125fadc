// Asynchronous HTTP server and client on Boost.Beast. The product uses Pistache, but its response
// writer cannot close a connection or leave a request unanswered, as the stand-ins must.
#ifndef CHIVELEVER_STANDINS_COMMON_HTTP_HPP
#define CHIVELEVER_STANDINS_COMMON_HTTP_HPP

#include "standins/common.hpp"

#include <functional>
#include <map>
#include <string>

namespace chivelever::standins
{

struct http_call
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

struct http_reply
{
    unsigned status{200};
    std::string body;
    std::string index; // X-Consul-Index, if not empty
    bool close{};      // close the connection without an answer
};

// May be called asynchronously. If all copies are destroyed without a call, the connection closes.
using http_responder = std::function<void(http_reply)>;
using http_handler = std::function<void(http_call const&, http_responder)>;

// Serves until the io_context stops. Pending requests hold no thread, so only file descriptors
// limit their number.
void serve_http(asio::io_context& io, endpoint listen, http_handler handler);

// Sends a GET request; the callback receives status 0 if there is no answer within the limit.
void fetch_http(asio::io_context& io, endpoint server, std::string const& target,
                steady::duration limit, std::function<void(unsigned, std::string)> done);

// Parses a JSON object; returns an empty object if the body is not one.
json::object parse_object(std::string const& body);

} // namespace chivelever::standins

#endif
