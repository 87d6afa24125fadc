// Messages between the edge hosts of a deployment.
#ifndef CHIVELEVER_STATE_PEER_MESSAGES_HPP
#define CHIVELEVER_STATE_PEER_MESSAGES_HPP

#include "state/edge_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivelever
{

// Load from the reporting host on one upstream.
struct reported_load
{
    flow_token upstream;
    std::uint32_t flows{};
    // Unanswered requests, averaged over about one second, in 1/1000.
    std::uint32_t mean_pending_milli{};
    auto operator<=>(reported_load const&) const = default;
};

// Address and zone of another host.
struct peer_address
{
    std::uint32_t ip{};
    std::string zone;
    auto operator<=>(peer_address const&) const = default;
};

// Heartbeat, sent to other hosts several times a second and immediately after a read of the store.
// Ages are relative to the time of sending.
struct peer_heartbeat
{
    peer_address sender;
    bool leaving{};                 // the sender is shutting down
    std::uint64_t as_of{};          // store revision of the sender's view
    std::uint64_t digest{};         // hash of the contents of the view
    std::uint64_t config_version{}; // 0: no configuration loaded yet
    std::uint32_t view_age_ms{};    // time since the view was known to be current
    std::vector<reported_load> loads;
    std::vector<flow_token> suspected_upstreams; // upstreams that do not respond to the sender
    std::vector<peer_address> known_peers; // some of the hosts whose heartbeats the sender receives
    bool operator==(peer_heartbeat const&) const = default;
};

// View sent to a host that has an older one: either complete, or only the changes since the
// receiver's revision.
struct peer_view
{
    std::uint32_t view_age_ms{};
    bool complete{};
    std::uint64_t digest{};     // hash of the complete view, to verify the result
    operator_listing operators; // without the configuration if the receiver already has it
    // 0: the configuration is complete. Otherwise it has only the routes added or changed since
    // this version.
    std::uint64_t config_base{};
    std::vector<endpoint> dropped_routes; // routes removed since config_base
    upstream_listing upstreams;       // all entries, or those written since the receiver's revision
    std::vector<std::string> removed; // upstreams removed since that revision; empty if complete
    bool operator==(peer_view const&) const = default;
};

} // namespace chivelever

#endif
