// Settings of an edge host, read from an INI file.
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

// What decides whether a service has capacity for a new flow.
enum class admission_policy : std::uint8_t
{
    answer_time, // overload_control for all services
    capacity     // capacity_admission for the services to which it applies
};

struct edge_settings
{
    std::string name;
    std::string zone;
    std::uint32_t ip{};        // of this host, reachable for other hosts and upstreams
    std::uint16_t peer_port{}; // for traffic between hosts, UDP and TCP; the same on all hosts
    std::vector<std::uint32_t> seeds; // hosts contacted first; may no longer exist
    bool first_start{}; // the whole system starts for the first time, usually with an empty store
    endpoint packets;
    endpoint ready;
    endpoint store;
    double cold_overage{1.5}; // a cold upstream accepts its cold request rate times this factor
    double cold_slack{5};     // plus this many requests per second
    duration grace{};         // from the stop request until the process is killed
    admission_policy admission{admission_policy::answer_time};
    auto operator<=>(edge_settings const&) const = default;
};

// Parses the text of a settings file; returns nullopt if a finding makes it unusable. Unknown keys
// are ignored, because newer platforms may write additional ones.
std::optional<edge_settings> parse_edge_settings(std::string_view text, std::string const& file,
                                                 findings& found);

} // namespace chivelever

#endif
