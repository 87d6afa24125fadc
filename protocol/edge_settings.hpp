// Settings of an edge host, an INI file.
#ifndef CHIVELEVER_PROTOCOL_EDGE_SETTINGS_HPP
#define CHIVELEVER_PROTOCOL_EDGE_SETTINGS_HPP

#include "state/state.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chivelever
{

struct edge_settings
{
    std::string name;
    std::string zone;
    std::uint32_t ip{};               // of this host; other hosts and upstreams reach it there
    std::uint16_t peer_port{};        // between hosts, UDP and TCP; the same on all of them
    std::vector<std::uint32_t> seeds; // hosts to ask first; they may be gone
    endpoint packets;
    endpoint ready;
    endpoint store;
    double cold_overage{1.5}; // a cold upstream bears its rate times this, a second
    double cold_slack{5};     // and this many requests more
    duration grace{};         // from the request to stop until the process is killed
    auto operator<=>(edge_settings const&) const = default;
};

// Reads the text of a settings file; nothing if a finding makes it unusable. Unknown keys are left
// alone: newer platforms may fill in more.
std::optional<edge_settings> parse_edge_settings(std::string_view text, std::string const& file,
                                                 findings& problems);

} // namespace chivelever

#endif
