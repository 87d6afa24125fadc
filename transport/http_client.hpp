// Blocking HTTP requests with a timeout.
#ifndef CHIVELEVER_TRANSPORT_HTTP_CLIENT_HPP
#define CHIVELEVER_TRANSPORT_HTTP_CLIENT_HPP

#include "state/state.hpp"

#include <atomic>
#include <map>
#include <optional>
#include <string>

namespace chivelever
{

struct http_reply
{
    int status{};
    std::string body;
    // Only of replies of the event loop's connection; names in lower case. Repeated headers are
    // joined by a comma.
    std::map<std::string, std::string> headers;
    // The value of a header, or an empty text if there is none.
    std::string header(std::string const& name) const
    {
        auto const it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
    auto operator<=>(http_reply const&) const = default;
};

// Sends one request on a new connection. Returns nothing if no complete reply arrives within the
// timeout, or once `cancelled` is set.
std::optional<http_reply> http_call(endpoint server, std::string const& method,
                                    std::string const& target, std::string const& body,
                                    duration timeout, std::atomic<bool> const* cancelled = nullptr);

} // namespace chivelever

#endif
