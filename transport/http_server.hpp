// The HTTP server of the operator API.
#ifndef CHIVELEVER_TRANSPORT_HTTP_SERVER_HPP
#define CHIVELEVER_TRANSPORT_HTTP_SERVER_HPP

#include "state/state.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chivelever
{

struct http_request
{
    std::string method;
    std::string path;
    std::string query; // without the question mark
    std::string body;
    std::string token; // from the Authorization header, without "Bearer "
    auto operator<=>(http_request const&) const = default;
};
struct http_response
{
    int status{200};
    std::string content_type{"application/json"};
    std::string body;
    // Released when the client has received the response: it has closed the connection, sent its
    // next request, or not done so in time. Only http_listener honours it.
    std::shared_ptr<void const> transfer{};
    auto operator<=>(http_response const&) const = default;
};
using http_handler = std::function<http_response(http_request const&)>;

class http_server
{
public:
    // Starts to listen; throws std::runtime_error if the address is in use.
    http_server(endpoint local, int threads, http_handler handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace chivelever

#endif
