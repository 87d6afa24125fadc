// HTTP requests with a time limit.
#ifndef CHIVELEVER_TRANSPORT_HTTP_CLIENT_HPP
#define CHIVELEVER_TRANSPORT_HTTP_CLIENT_HPP

#include "state/state.hpp"

#include <atomic>
#include <optional>
#include <string>

namespace chivelever
{

struct http_reply
{
    int status{};
    std::string body;
    auto operator<=>(http_reply const&) const = default;
};

// One request on a connection of its own. Nothing if no whole reply came within the time limit,
// or once `cancelled` is set.
std::optional<http_reply> http_call(endpoint server, std::string const& method,
                                    std::string const& target, std::string const& body,
                                    duration limit, std::atomic<bool> const* cancelled = nullptr);

} // namespace chivelever

#endif
