// What a host knows of the platform it serves on: routes, upstreams and evacuated zones, as values
// that say what they hold. The platform adapter fills them in; the decisions read them.
#ifndef CHIVELEVER_STATE_EDGE_TYPES_HPP
#define CHIVELEVER_STATE_EDGE_TYPES_HPP

#include "state/ids.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

// Names the upstream of a flow in each packet of the flow. It is derived from the upstream's id
// alone, so that a host that has just started maps it like any other. 0 names none.
using flow_token = strong_id<struct flow_token_tag, std::uint32_t>;

// A lease of the store: what hangs on it is removed when nobody renews it. 0 names none.
using store_lease = strong_id<struct store_lease_tag, std::uint64_t>;

flow_token token_of(std::string_view upstream_name);

// The incarnation of one upstream as it last described itself.
struct upstream_entry
{
    std::string name;                 // its id; an upstream may start again under the same one
    std::uint64_t datagram_address{}; // the number that a datagram to it must carry
    endpoint address;
    std::string service;
    std::string zone;
    std::uint32_t slots{1}; // requests that it works on at the same time
    bool draining{};
    std::uint32_t cold_left_ms{}; // how much longer it was cold when it wrote the entry
    std::int64_t started_unix_ms{};
    std::uint64_t revision{}; // of the store, at the write of this entry
    bool operator==(upstream_entry const&) const = default;
};

// A part of a route's new flows goes to this service.
struct route_target
{
    std::string service;
    std::uint32_t weight{1};
    auto operator<=>(route_target const&) const = default;
};

struct route_entry
{
    endpoint destination; // what callers address
    std::vector<route_target> targets;
    std::uint32_t priority{}; // 0 is the highest
    duration timeout{};
    duration latency_objective{};
    auto operator<=>(route_entry const&) const = default;
};

struct service_entry
{
    std::string name;
    double cold_requests_per_s{}; // what one upstream bears while it is cold; 0: not limited
    duration cold_time{};
    auto operator<=>(service_entry const&) const = default;
};

// One whole configuration by the operators. Versions grow, in uneven steps.
struct edge_config
{
    std::uint64_t version{};
    std::vector<route_entry> routes;
    std::vector<service_entry> services;
    duration idle_limit{}; // an idle flow may be forgotten after this time
    bool operator==(edge_config const&) const = default;
};

// What the operators have written: the configuration and the zones that are evacuated.
struct operator_listing
{
    std::uint64_t as_of{}; // revision of the store that this listing shows
    std::optional<edge_config> config;
    std::set<std::string> evacuated_zones;
    bool operator==(operator_listing const&) const = default;
};

// All entries of upstreams at one revision of the store.
struct upstream_listing
{
    std::uint64_t as_of{};
    std::vector<upstream_entry> entries;
    bool operator==(upstream_listing const&) const = default;
};

} // namespace chivelever

#endif
