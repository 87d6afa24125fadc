// Where a new flow goes. Answers uneven load at the worst seconds: long flows that turn busy at
// once beside flows of one request, hosts that all see the same emptiest upstream, a zone that
// bears no more, cold upstreams that fall over under full load, and upstreams that do not answer.
#ifndef CHIVELEVER_COORDINATION_PLACEMENT_HPP
#define CHIVELEVER_COORDINATION_PLACEMENT_HPP

#include "coordination/deployment_view.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/upstream_health.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>

namespace chivelever
{

struct placement_settings
{
    std::string zone;         // of this host
    double cold_overage{1.5}; // a cold upstream bears its rate times this
    double cold_slack{5};     // and this many more requests in a second
};

// A flow that is to be placed.
struct placement_request
{
    std::string const& service;
    std::span<flow_token const> excluded; // upstreams that did not answer it
    bool many_requests{};                 // it will probably carry many requests
};

// What the rest of the fleet knows that placement weighs.
struct fleet_picture
{
    std::function<upstream_load(flow_token)> other_load; // flows and mean_waiting
    std::function<bool(std::string const& zone)> zone_reachable;
    std::size_t hosts_in_zone{1}; // of this host, itself included
};

struct placement_choice
{
    flow_token upstream; // 0: none can take the flow
    double score{};
    std::uint32_t candidates{};
};

class placement
{
public:
    placement(placement_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed)
    {
    }

    placement_choice choose(placement_request const& request, deployment_view const& view,
                            flow_table const& flows, upstream_health const& health,
                            fleet_picture const& fleet, time_point now);
    // One of a route's services, by weight.
    std::string const& pick_service(route_entry const& route, flow_ends const& flow) const;

private:
    bool cold_admits(known_upstream const& u, deployment_view const& view,
                     fleet_picture const& fleet, time_point now);
    double score(known_upstream const& u, bool many_requests, flow_table const& flows,
                 upstream_health const& health, fleet_picture const& fleet, bool reachable,
                 time_point now) const;

    placement_settings settings_;
    std::minstd_rand random_;
    std::unordered_map<std::uint32_t, std::deque<time_point>> cold_openings_;
};

} // namespace chivelever

#endif
