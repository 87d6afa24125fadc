#include "coordination/placement.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Cost of an open flow beside a waiting request: a long flow is busy for about this share of the
// time (one request a second of 25 to 40 ms).
constexpr double open_flow_weight = 0.04;
// What waits at this moment counts little for a flow that stays.
constexpr double present_weight = 0.25;
// Another zone is worth its bytes when all slots of the own zone are taken: a wait of a service
// time costs callers more than the bytes cost.
constexpr double other_zone_cost = 0.9;
// Above any load: such an upstream is taken only if there is no other.
constexpr double cold_cost = 10.0;
constexpr double unreachable_cost = 100.0;
constexpr double suspicion_cost = 200.0;
constexpr double silent_cost = 1000.0;
constexpr duration cold_window = 1s;

} // namespace

std::string const& placement::pick_service(route_entry const& route, flow_ends const& flow) const
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

// Only hosts of the upstream's own zone use it while it is cold, and each keeps to an equal share
// of what it bears, so that the sum over all hosts stays within the bound without any message. A
// place is kept free for a host that joins.
bool placement::cold_admits(known_upstream const& u, deployment_view const& view,
                            fleet_picture const& fleet, time_point now)
{
    service_entry const* const service = view.service(u.entry.service);
    if (u.entry.zone != settings_.zone || service == nullptr)
        return false;
    double const bound =
        service->cold_requests_per_s * settings_.cold_overage + settings_.cold_slack;
    auto const share =
        static_cast<std::size_t>(bound / static_cast<double>(fleet.hosts_in_zone + 1));
    auto& times = cold_openings_[u.token.value];
    while (!times.empty() && now - times.front() > cold_window)
        times.pop_front();
    return times.size() < share;
}

double placement::score(known_upstream const& u, bool many_requests, flow_table const& flows,
                        upstream_health const& health, fleet_picture const& fleet, bool reachable,
                        time_point now) const
{
    upstream_load const own = flows.load(u.token);
    upstream_load const others = fleet.other_load(u.token);
    double const mean = flows.mean_waiting(u.token, now) + others.mean_waiting;
    double const open_flows = own.flows + others.flows;
    // A flow of one request is gone before the load changes: the requests that wait now decide. A
    // long flow stays, so that what the upstream bears on average decides.
    double const load = many_requests
                            ? mean + open_flow_weight * open_flows + present_weight * own.waiting
                            : own.waiting + others.mean_waiting;
    double s = load / std::max<std::uint32_t>(1, u.entry.slots);
    if (u.entry.zone != settings_.zone)
        s += other_zone_cost;
    if (now < u.cold_until)
        s += cold_cost;
    if (!reachable)
        s += unreachable_cost;
    upstream_verdict const verdict = health.verdict(u.token, now);
    if (verdict == upstream_verdict::suspected)
        s += suspicion_cost;
    if (verdict == upstream_verdict::silent)
        s += silent_cost;
    return s;
}

placement_choice placement::choose(placement_request const& request, deployment_view const& view,
                                   flow_table const& flows, upstream_health const& health,
                                   fleet_picture const& fleet, time_point now)
{
    placement_choice best;
    std::uint32_t ties = 0;
    // Asked once for each zone: the answer takes a look at every other host.
    std::map<std::string_view, bool> reachable;
    auto const zone_reachable = [&](std::string const& zone)
    {
        auto const [it, fresh] = reachable.try_emplace(zone);
        if (fresh)
            it->second = fleet.zone_reachable(zone);
        return it->second;
    };
    for (flow_token const token : view.upstreams_of(request.service))
    {
        known_upstream const* const u = view.find(token);
        if (u == nullptr || !view.takes_new_flows(*u, now) ||
            std::ranges::find(request.excluded, token) != request.excluded.end())
            continue;
        ++best.candidates;
        if (now < u->cold_until && !cold_admits(*u, view, fleet, now))
            continue;
        double const s = score(*u, request.many_requests, flows, health, fleet,
                               zone_reachable(u->entry.zone), now);
        bool const better = best.upstream.value == 0 || s < best.score - 1e-9;
        bool const tie = !better && std::abs(s - best.score) <= 1e-9;
        // Hosts that see equal loads must not all take the same upstream.
        if (tie)
            ++ties;
        if (better || (tie && random_() % (ties + 1) == 0))
        {
            if (better)
                ties = 0;
            best.upstream = token;
            best.score = s;
        }
    }
    known_upstream const* const chosen = view.find(best.upstream);
    if (best.upstream.value != 0 && now < chosen->cold_until)
        cold_openings_[best.upstream.value].push_back(now);
    else if (!cold_openings_.empty() && chosen != nullptr)
        cold_openings_.erase(best.upstream.value);
    return best;
}

} // namespace chivelever
