#include "coordination/placement.hpp"

#include <algorithm>
#include <cmath>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Cost of an open flow relative to a pending request: a long flow is busy for about this share of
// the time (one request per second of 25 to 40 ms).
constexpr double open_flow_weight = 0.04;
// Weight of currently pending requests for a long flow, which outlasts them.
constexpr double current_load_weight = 0.25;
// Cost of another zone, in requests per slot. Cross-zone traffic pays off when all local slots are
// busy, since waiting for a full service time costs callers more than the traffic does.
constexpr double other_zone_cost = 0.9;
// Costs of cold, unreachable, suspected and silent upstreams. Higher than any load, so that such an
// upstream is chosen only if there is no other.
constexpr double cold_cost = 10.0;
constexpr double unreachable_cost = 100.0;
constexpr double suspected_cost = 200.0;
constexpr double silent_cost = 1000.0;
// Cost of an upstream without a recent answer while the view is stale. Within the queue that an
// upstream has per slot, so that the others are preferred but not overfilled.
constexpr double unconfirmed_cost = 2.0;
constexpr duration cold_rate_window = 1s;
// Hosts of a large zone that may use the same cold upstream.
constexpr double max_cold_owners = 4;

} // namespace

std::string const& placement::pick_service(route_entry const& route,
                                           flow_endpoints const& flow) const
{
    std::uint64_t total = 0;
    for (route_target const& t : route.targets)
        total += t.weight;
    if (total == 0)
        return route.targets.front().service;
    std::uint64_t at = hash_value(flow) % total;
    for (route_target const& t : route.targets)
    {
        if (at < t.weight)
            return t.service;
        at -= t.weight;
    }
    return route.targets.back().service;
}

// A cold upstream is used only by hosts of its own zone. In a small zone each host keeps to an
// equal share of the limit, and one more share is reserved for a host that joins. Where a share
// would be below one flow, a few hosts by rank have the upstream to themselves. They use half of
// the limit, so that it holds while the hosts of the zone disagree about the ranks.
std::size_t placement::cold_share(known_upstream const& u, deployment_view const& view,
                                  fleet_state const& fleet) const
{
    service_entry const* const service = view.service(u.entry.service);
    if (u.entry.zone != settings_.zone || service == nullptr || !fleet.settled)
        return 0;
    double const bound =
        service->cold_requests_per_s * settings_.cold_overage + settings_.cold_slack;
    double const equal_share = bound / static_cast<double>(fleet.hosts_in_zone + 1);
    if (equal_share >= 1)
        return static_cast<std::size_t>(equal_share);
    double const owners = std::clamp(std::floor(bound / 2), 1.0, max_cold_owners);
    if (bound < 1 || static_cast<double>(fleet.zone_rank(u.token)) >= owners)
        return 0;
    return std::max<std::size_t>(1, static_cast<std::size_t>(bound / (2 * owners)));
}

bool placement::cold_upstream_admits(known_upstream const& u, deployment_view const& view,
                                     fleet_state const& fleet, time_point now)
{
    auto& times = recent_cold_flows_[u.token.value];
    while (!times.empty() && now - times.front() > cold_rate_window)
        times.pop_front();
    return times.size() < cold_share(u, view, fleet);
}

bool placement::is_cold(known_upstream const& u, deployment_view const& view,
                        upstream_health const& health, time_point now)
{
    if (now < u.cold_until)
        return true;
    time_point const returned = health.returned_at(u.token);
    if (returned == time_point{})
        return false;
    service_entry const* const service = view.service(u.entry.service);
    return service != nullptr && now < returned + service->cold_time &&
           !view.shows_restarts_since(returned, now);
}

slow_start_query placement::recovery_of(known_upstream const& u, std::string const& zone,
                                        flow_table const& flows, fleet_state const& fleet)
{
    return {u.entry.slots,
            flows.load(u.token).pending_requests,
            fleet.zone_rank(u.token),
            fleet.hosts_in_zone,
            u.entry.zone == zone,
            fleet.in_contact};
}

bool placement::slow_start_admits(candidate_search const& search, known_upstream const& u,
                                  time_point now) const
{
    slow_start const* const recoveries = search.fleet.recoveries;
    return !search.slow_starts || !recoveries->active(u.token) ||
           recoveries->admits(u.token, recovery_of(u, settings_.zone, search.flows, search.fleet),
                              now);
}

double placement::cost(known_upstream const& u, candidate_search const& search, bool cold,
                       bool reachable, time_point now) const
{
    bool const long_flow = search.request.long_flow;
    upstream_load const own = search.flows.load(u.token);
    upstream_load const others = search.fleet.peer_load(u.token);
    double const mean =
        search.flows.mean_pending_requests(u.token, now) + others.mean_pending_requests;
    double const open_flows = own.flows + others.flows;
    // A single-request flow ends before the load changes, so current pending requests matter. A
    // long flow stays, so the mean load matters.
    double const load = long_flow ? mean + open_flow_weight * open_flows +
                                        current_load_weight * own.pending_requests
                                  : own.pending_requests + others.mean_pending_requests;
    double cost_sum = load / std::max<std::uint32_t>(1, u.entry.slots);
    if (u.entry.zone != settings_.zone)
        cost_sum += other_zone_cost;
    if (cold)
        cost_sum += cold_cost;
    if (!reachable)
        cost_sum += unreachable_cost;
    if (search.health.lacks_recent_answer(u.token, now))
        cost_sum += unconfirmed_cost;
    health_status const status = search.health.status(u.token, now);
    if (status == health_status::suspected)
        cost_sum += suspected_cost;
    if (status == health_status::silent)
        cost_sum += silent_cost;
    return cost_sum;
}

void placement::compare_zone(candidate_search& search, std::vector<flow_token> const& upstreams,
                             bool reachable, time_point now)
{
    placement_choice& best = search.best;
    for (flow_token const token : upstreams)
    {
        known_upstream const* const u = search.view.find(token);
        if (u == nullptr || !search.view.accepts_new_flows(*u, now) ||
            std::ranges::find(search.request.excluded, token) != search.request.excluded.end())
            continue;
        ++best.candidates;
        bool const cold = is_cold(*u, search.view, search.health, now);
        if (cold && !cold_upstream_admits(*u, search.view, search.fleet, now))
            continue;
        if (!slow_start_admits(search, *u, now))
            continue;
        double const candidate_cost = cost(*u, search, cold, reachable, now);
        bool const better = best.upstream.value == 0 || candidate_cost < best.cost - 1e-9;
        bool const tie = !better && std::abs(candidate_cost - best.cost) <= 1e-9;
        // Random tie-breaking: hosts that see equal loads must not all choose the same upstream.
        if (tie)
            ++search.ties;
        if (better || (tie && random_() % (search.ties + 1) == 0))
        {
            if (better)
                search.ties = 0;
            best.upstream = token;
            best.cost = candidate_cost;
        }
    }
}

void placement::rotate(candidate_search& search, std::vector<flow_token> const& upstreams,
                       time_point now)
{
    std::uint64_t& position = rotation_positions_[search.request.service];
    placement_choice& best = search.best;
    std::uint64_t best_distance = 0;
    for (flow_token const token : upstreams)
    {
        known_upstream const* const u = search.view.find(token);
        if (u == nullptr || !search.view.accepts_new_flows(*u, now) ||
            is_cold(*u, search.view, search.health, now) ||
            search.health.status(token, now) != health_status::healthy ||
            search.health.lacks_recent_answer(token, now) || !slow_start_admits(search, *u, now) ||
            std::ranges::find(search.request.excluded, token) != search.request.excluded.end())
            continue;
        ++best.candidates;
        double const load = search.flows.load(token).pending_requests /
                            static_cast<double>(std::max<std::uint32_t>(1, u->entry.slots));
        // Distance from the upstream that was chosen last, which comes last.
        std::uint64_t const distance = hash_pair(token.value, rotation_seed_) - position - 1;
        if (best.upstream.value == 0 || load < best.cost ||
            (load <= best.cost && distance < best_distance))
        {
            best.upstream = token;
            best.cost = load;
            best_distance = distance;
        }
    }
    if (best.upstream.value != 0)
        position = hash_pair(best.upstream.value, rotation_seed_);
}

void placement::compare_least_loaded_zone(candidate_search& search, time_point now)
{
    zone_load const* best = nullptr;
    double best_cost = 0;
    for (zone_load const& z : search.request.capacity->zones)
    {
        if (z.slots <= 0)
            continue;
        double const cost = z.expected / z.slots + (z.zone == settings_.zone ? 0 : other_zone_cost);
        if (best == nullptr || cost < best_cost)
        {
            best = &z;
            best_cost = cost;
        }
    }
    if (best == nullptr)
        return;
    auto const& zones = search.view.upstreams_of(search.request.service);
    auto const upstreams = zones.find(best->zone);
    if (upstreams == zones.end())
        return;
    if (search.request.capacity->rotate)
        rotate(search, upstreams->second, now);
    else
        compare_zone(search, upstreams->second, true, now);
}

// Compares the upstreams of all zones by their own loads.
void placement::compare_all_zones(candidate_search& search, time_point now)
{
    auto const& zones = search.view.upstreams_of(search.request.service);
    auto const local = zones.find(settings_.zone);
    if (local != zones.end())
        compare_zone(search, local->second, true, now);
    // No upstream of another zone costs less than its distance, so that most openings look at the
    // upstreams of this zone only.
    if (search.best.upstream.value == 0 || search.best.cost >= other_zone_cost)
        for (auto const& [zone, upstreams] : zones)
            if (zone != settings_.zone)
                compare_zone(search, upstreams, search.fleet.zone_reachable(zone), now);
}

placement_choice placement::choose(placement_request const& request, deployment_view const& view,
                                   flow_table const& flows, upstream_health const& health,
                                   fleet_state const& fleet, time_point now)
{
    bool const slow_starts = fleet.recoveries != nullptr && fleet.recoveries->active_count() > 0 &&
                             fleet.slow_start_applies && fleet.slow_start_applies(request.service);
    candidate_search search{request, view, flows, health, fleet, slow_starts, {}, 0};
    if (request.capacity != nullptr)
        compare_least_loaded_zone(search, now);
    // Also if that zone has no upstream left that did not fail for this flow.
    if (search.best.upstream.value == 0)
    {
        search.best = {};
        compare_all_zones(search, now);
    }
    placement_choice const& best = search.best;
    known_upstream const* const chosen = view.find(best.upstream);
    if (best.upstream.value != 0 && is_cold(*chosen, view, health, now))
        recent_cold_flows_[best.upstream.value].push_back(now);
    else if (!recent_cold_flows_.empty() && chosen != nullptr)
        recent_cold_flows_.erase(best.upstream.value);
    return best;
}

} // namespace chivelever
