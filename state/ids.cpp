#include "state/ids.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace chivelever
{

std::string to_string(endpoint const& e)
{
    char text[INET_ADDRSTRLEN]{};
    in_addr const raw{htonl(e.address)};
    ::inet_ntop(AF_INET, &raw, text, sizeof text);
    return std::string(text) + ":" + std::to_string(e.port);
}

endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    // inet_pton stops at a null character.
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
        return {};
    in_addr raw{};
    if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &raw) != 1)
        return {};
    std::uint16_t port{};
    char const* const end = text.data() + text.size();
    auto const [last, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || last != end)
        return {};
    return {ntohl(raw.s_addr), port};
}

} // namespace chivelever
