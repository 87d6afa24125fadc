#include "transport/http_server.hpp"

#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <stdexcept>

namespace chivelever
{

namespace
{

namespace http = Pistache::Http;

constexpr std::size_t max_request_bytes = 1024 * 1024;
constexpr std::string_view bearer = "Bearer ";

std::string bearer_token(http::Request const& request)
{
    auto const raw = request.headers().tryGetRaw("Authorization");
    if (!raw)
        return {};
    std::string const value = raw->value();
    return value.starts_with(bearer) ? value.substr(bearer.size()) : std::string{};
}

class handler_impl : public http::Handler
{
public:
    HTTP_PROTOTYPE(handler_impl)

    explicit handler_impl(http_handler handle) : handle_(std::move(handle)) {}

    void onRequest(http::Request const& request, http::ResponseWriter writer) override
    {
        std::string query = request.query().as_str();
        if (query.starts_with('?'))
            query.erase(0, 1);
        http_response response;
        try
        {
            response = handle_({http::methodString(request.method()), request.resource(), query,
                                request.body(), bearer_token(request)});
        }
        catch (std::exception const& e)
        {
            response = {500, "text/plain", std::string("internal error: ") + e.what() + "\n"};
        }
        writer.setMime(http::Mime::MediaType::fromString(response.content_type));
        writer.send(static_cast<http::Code>(response.status), response.body);
    }

private:
    http_handler handle_;
};

} // namespace

struct http_server::impl
{
    explicit impl(endpoint local) : server(Pistache::Address(to_string(local))) {}
    http::Endpoint server;
};

http_server::http_server(endpoint local, int threads, http_handler handler)
    : impl_(std::make_unique<impl>(local))
{
    auto const options = http::Endpoint::options()
                             .threads(threads)
                             .flags(Pistache::Tcp::Options::ReuseAddr)
                             .maxRequestSize(max_request_bytes)
                             .maxResponseSize(4 * max_request_bytes);
    impl_->server.init(options);
    impl_->server.setHandler(http::make_handler<handler_impl>(std::move(handler)));
    try
    {
        impl_->server.serveThreaded();
    }
    catch (std::exception const& e)
    {
        throw std::runtime_error("cannot listen on " + to_string(local) + ": " + e.what());
    }
}

http_server::~http_server()
{
    impl_->server.shutdown();
}

} // namespace chivelever
