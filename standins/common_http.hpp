// A small asynchronous HTTP server and client on Boost.Beast. Pistache serves the product's own
// endpoints; the stand-ins need control of the connection (close it, or never answer), which its
// response writer does not give.
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
    bool close{};      // closes the connection without an answer
};

// May be called later. If all copies are destroyed uncalled, the connection closes.
using http_responder = std::function<void(http_reply)>;
using http_handler = std::function<void(http_call const&, http_responder)>;

// Serves until the io_context stops. The number of waiting requests is bounded by file descriptors
// only, because a waiting request holds no thread.
void serve_http(asio::io_context& io, endpoint listen, http_handler handler);

// One request; the callback gets status 0 if there was no answer within the limit.
void fetch_http(asio::io_context& io, endpoint server, std::string const& target,
                steady::duration limit, std::function<void(unsigned, std::string)> done);

// The parsed JSON object of a body; an empty object if it is not one.
json::object parse_object(std::string const& body);

} // namespace chivelever::standins

#endif
