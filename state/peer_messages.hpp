// Messages between the edge hosts of a deployment.
#ifndef CHIVELEVER_STATE_PEER_MESSAGES_HPP
#define CHIVELEVER_STATE_PEER_MESSAGES_HPP

#include "state/caller_packet.hpp"
#include "state/edge_types.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
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

// Latest evidence that a host is alive, received from it directly or relayed by another host.
struct observed_host
{
    peer_address host;
    // Age of the evidence; nullopt if the host is only known by its address.
    std::optional<std::uint32_t> age_ms;
    auto operator<=>(observed_host const&) const = default;
};

// Latest direct contact between the sender's zone and another zone.
struct observed_zone
{
    std::string zone;
    std::uint32_t age_ms{};
    auto operator<=>(observed_zone const&) const = default;
};

// Latest answer of an upstream that passed through any host of the sender's zone.
struct observed_answer
{
    flow_token upstream;
    std::uint32_t age_ms{};
    auto operator<=>(observed_answer const&) const = default;
};

// Unanswered requests at the upstreams of one zone.
struct zone_pending
{
    std::string zone;
    std::uint32_t pending_milli{}; // in 1/1000
    auto operator<=>(zone_pending const&) const = default;
};

// Slots that the arrivals of one priority would keep busy, refused ones included.
struct priority_demand
{
    std::uint32_t priority{};
    std::uint32_t milli_slots{}; // in 1/1000
    auto operator<=>(priority_demand const&) const = default;
};

// Priorities in the report on one service; keeps the size of a heartbeat bounded.
inline constexpr std::size_t max_reported_priorities = 4;

// Load on one service. In a heartbeat within a zone it is the sender's own; in one to another zone
// it is the sum over the hosts of the sender's zone.
struct service_load
{
    std::string service;
    std::uint32_t hosts{1}; // that the figures cover
    std::uint32_t age_ms{}; // of the oldest figure
    std::vector<zone_pending> pending;
    std::vector<priority_demand> demand;
    auto operator<=>(service_load const&) const = default;
};

// An upstream of the sender's zone that has come back after it failed its probes, or that is in
// slow start.
struct recovering_upstream
{
    flow_token upstream;
    std::optional<std::uint32_t> returned_ms; // time since its return
    std::optional<std::uint32_t> started_ms;  // time since the beginning of its slow start
    std::uint32_t level{};                    // of the sender in this slow start
    auto operator<=>(recovering_upstream const&) const = default;
};

// Heartbeat, sent to other hosts several times a second and immediately after a read of the store.
// Ages are relative to the time of sending.
struct peer_heartbeat
{
    peer_address sender;
    bool leaving{};                 // the sender is shutting down
    store_position as_of;           // of the sender's view
    std::uint64_t digest{};         // hash of the contents of the view
    std::uint64_t config_version{}; // 0: no configuration loaded yet
    std::uint32_t view_age_ms{};    // time since the view was known to be current
    std::vector<reported_load> loads;
    std::vector<flow_token> suspected_upstreams; // upstreams that do not respond to the sender
    // Hosts that the sender believes to be alive; nullopt from a host of an earlier version.
    std::optional<std::uint32_t> known_hosts;
    std::vector<observed_host> observed_hosts;     // a sample of the fleet
    std::vector<observed_zone> observed_zones;     // only between hosts of one zone
    std::vector<observed_answer> observed_answers; // only between hosts of one zone
    std::vector<service_load> service_loads;       // of services with admission by capacity
    std::vector<recovering_upstream> recovering;   // of the sender's zone
    bool operator==(peer_heartbeat const&) const = default;
};

// The upstream of one flow. The sequence number of the SYN distinguishes the flow from an earlier
// one with the same addresses and ports.
struct flow_owner
{
    flow_endpoints flow;
    std::uint32_t first_sequence{};
    flow_token upstream; // 0 in an inquiry
    bool open{};         // the caller has accepted this upstream's answer
    auto operator<=>(flow_owner const&) const = default;
};

// Sent to the hosts of a zone when copies of a SYN may have reached several hosts or upstreams.
struct flow_report
{
    std::vector<flow_owner> asked; // flows whose upstream the sender wants to know
    std::vector<flow_owner> known;
    bool operator==(flow_report const&) const = default;
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
