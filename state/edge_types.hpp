// Platform data of an edge host: routes, upstreams and evacuated zones. The platform adapter fills
// in these types; the routing decisions read them.
#ifndef CHIVELEVER_STATE_EDGE_TYPES_HPP
#define CHIVELEVER_STATE_EDGE_TYPES_HPP

#include "state/ids.hpp"
#include "state/store_position.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

// Identifies the upstream of a flow in each packet of the flow. Derived from the upstream's name
// alone, so that a host that has just started resolves it like any other host. 0 means none.
using flow_token = strong_id<struct flow_token_tag, std::uint32_t>;

// Id of a lease in the store, which removes the keys attached to the lease when it expires without
// a renewal. 0 means none.
using store_lease = strong_id<struct store_lease_tag, std::uint64_t>;

flow_token make_flow_token(std::string_view upstream_name);

// Store entry of one upstream process, as the upstream last wrote it.
struct upstream_entry
{
    std::string name;                 // unique per upstream; may stay the same across a restart
    std::uint64_t datagram_address{}; // written at the start of each datagram to the upstream
    endpoint address;
    std::string service;
    std::string zone;
    std::uint32_t slots{1}; // requests that it processes concurrently
    bool draining{};
    std::uint32_t cold_left_ms{}; // remaining cold-start time when the entry was written
    std::int64_t started_unix_ms{};
    store_position revision; // at which the entry was written
    // Increases with each entry that the upstream writes after one start; 0 if unknown. Unlike the
    // revision, it still tells which of two entries is older after a restore of the store.
    std::uint64_t write_number{};
    bool operator==(upstream_entry const&) const = default;
};

// A service that receives a weighted share of a route's new flows.
struct route_target
{
    std::string service;
    std::uint32_t weight{1};
    auto operator<=>(route_target const&) const = default;
};

struct route_entry
{
    endpoint destination; // address to which callers send
    std::vector<route_target> targets;
    std::uint32_t priority{}; // 0 is the highest
    duration timeout{};
    duration latency_objective{};
    auto operator<=>(route_entry const&) const = default;
};

struct service_entry
{
    std::string name;
    double cold_requests_per_s{}; // rate that a cold upstream can serve; 0: unlimited
    duration cold_time{};
    auto operator<=>(service_entry const&) const = default;
};

// A complete configuration by the operators. Versions increase, not necessarily by one.
struct edge_config
{
    std::uint64_t version{};
    std::vector<route_entry> routes;
    std::vector<service_entry> services;
    duration idle_limit{}; // an idle flow may be dropped after this time
    bool operator==(edge_config const&) const = default;
};

// Data written by operators: the configuration and the evacuated zones.
struct operator_listing
{
    store_position as_of; // of this listing
    std::optional<edge_config> config;
    std::set<std::string> evacuated_zones;
    bool operator==(operator_listing const&) const = default;
};

// All upstream entries at one position in the store.
struct upstream_listing
{
    store_position as_of;
    std::vector<upstream_entry> entries;
    bool operator==(upstream_listing const&) const = default;
};

} // namespace chivelever

#endif
