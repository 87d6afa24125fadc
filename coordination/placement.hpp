// Chooses the upstream for a new flow by load, zone, warm-up state and health. Single-request flows
// are placed by pending requests, long flows by mean load, because long flows may become busy at
// the same time. The load includes reports of other hosts, and ties are broken at random, so that
// hosts do not all pick the same least loaded upstream. Other zones are used when the local one is
// saturated. The rate of new flows to cold upstreams is limited, because they fail under full load.
#ifndef CHIVELEVER_COORDINATION_PLACEMENT_HPP
#define CHIVELEVER_COORDINATION_PLACEMENT_HPP

#include "admission/admission.hpp"
#include "coordination/deployment_view.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/service_loads.hpp"
#include "coordination/upstream_health.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelever
{

struct placement_settings
{
    std::string zone;         // of this host
    double cold_overage{1.5}; // factor of the service's `cold_requests_per_s`
    double cold_slack{5};     // added to that product, in requests per second
};

// Expected load on the upstreams of a service in one reachable zone.
struct zone_load
{
    std::string zone;
    double slots{};
    double expected{}; // unanswered requests of all hosts
    auto operator<=>(zone_load const&) const = default;
};

// Placement of a service with admission by capacity.
struct capacity_placement
{
    std::vector<zone_load> zones;
    // This host is close to its limit: upstreams are compared by its own pending requests.
    bool rotate{};
    bool operator==(capacity_placement const&) const = default;
};

// Parameters of a new flow.
struct placement_request
{
    std::string const& service;
    std::span<flow_token const> excluded; // upstreams that did not answer its SYN
    bool long_flow{};                     // expected to carry more than one request
    capacity_placement const* capacity{}; // null: the upstreams of all zones are compared
};

// Fleet-wide state used by placement.
struct fleet_state
{
    std::function<upstream_load(flow_token)> peer_load; // sets only flows and mean_pending_requests
    std::function<bool(std::string const& zone)> zone_reachable;
    // Position of this host among the hosts of its zone in an order that differs per upstream.
    std::function<std::size_t(flow_token)> zone_rank;
    std::size_t hosts_in_zone{1}; // hosts in this host's zone, itself included
    // Whether upstreams of the service that have started or recovered are subject to slow start;
    // empty: no service.
    std::function<bool(std::string const& service)> slow_start_applies;
    slow_start* recoveries{}; // upstreams in slow start; may be null
    bool in_contact{true};    // other hosts are heard, or the zone has no others
    bool settled{true};       // whether this host has had time to hear the hosts of its zone
    // Load of the other hosts on a service; empty if there are no reports.
    std::function<fleet_load(std::string const& service)> load_on_service{};
};

struct placement_choice
{
    flow_token upstream; // 0 if none accepts the flow
    double cost{};
    std::uint32_t candidates{}; // upstreams that take new flows, cold ones included
};

class placement
{
public:
    placement(placement_settings settings, std::uint64_t seed)
        : settings_(std::move(settings)), random_(seed), rotation_seed_(seed)
    {
    }

    placement_choice choose(placement_request const& request, deployment_view const& view,
                            flow_table const& flows, upstream_health const& health,
                            fleet_state const& fleet, time_point now);
    // Whether this host may place new flows on the cold upstream, at a limited rate.
    bool may_use_cold(known_upstream const& u, deployment_view const& view,
                      fleet_state const& fleet) const
    {
        return cold_share(u, view, fleet) > 0;
    }
    // Selects one of the route's services by weight.
    std::string const& pick_service(route_entry const& route, flow_endpoints const& flow) const;

    // Whether the upstream is in a cold start, by its entry or because it has just come back after
    // failing its probes. It may then have been restarted although the entry does not show it yet.
    static bool is_cold(known_upstream const& u, deployment_view const& view,
                        upstream_health const& health, time_point now);
    // What slow start needs to know of the upstream at this host.
    static slow_start_query recovery_of(known_upstream const& u, std::string const& zone,
                                        flow_table const& flows, fleet_state const& fleet);
    std::string const& zone() const { return settings_.zone; }

private:
    // New flows per second that this host may place on the cold upstream.
    std::size_t cold_share(known_upstream const& u, deployment_view const& view,
                           fleet_state const& fleet) const;
    bool cold_upstream_admits(known_upstream const& u, deployment_view const& view,
                              fleet_state const& fleet, time_point now);
    // State of one choice while the upstreams of several zones are compared.
    struct candidate_search
    {
        placement_request const& request;
        deployment_view const& view;
        flow_table const& flows;
        upstream_health const& health;
        fleet_state const& fleet;
        bool slow_starts{}; // some upstreams of the service may be in slow start
        placement_choice best;
        std::uint32_t ties{};
    };
    bool slow_start_admits(candidate_search const& search, known_upstream const& u,
                           time_point now) const;
    void compare_zone(candidate_search& search, std::vector<flow_token> const& upstreams,
                      bool reachable, time_point now);
    void compare_all_zones(candidate_search& search, time_point now);
    // Compares the upstreams of the zone with the least expected load per slot.
    void compare_least_loaded_zone(candidate_search& search, time_point now);
    // Chooses by own pending requests, with ties in an order of this host's own.
    void rotate(candidate_search& search, std::vector<flow_token> const& upstreams, time_point now);
    double cost(known_upstream const& u, candidate_search const& search, bool cold, bool reachable,
                time_point now) const;

    placement_settings settings_;
    std::minstd_rand random_;
    std::unordered_map<std::uint32_t, std::deque<time_point>> recent_cold_flows_;
    std::uint64_t rotation_seed_;
    std::map<std::string, std::uint64_t> rotation_positions_; // by service
};

} // namespace chivelever

#endif
