#include "coordination/service_capacity.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Entries, health and reports change a few times a second at most.
constexpr duration compute_interval = 100ms;
// From this share of the limit on, upstreams are compared by own pending requests: hosts that
// compare reports half a second old choose the same upstreams (docs/hard-load.md, part 3).
constexpr double rotation_share = 0.7;
// The limit of a priority without openings for this long no longer counts.
constexpr duration limit_lifetime = 1s;
constexpr duration service_timeout = 60s;
constexpr double decision_time_constant_s = 1.0;
// Minimum share at which a service is reported as overloaded, as in overload_control.
constexpr double min_reported_share = 0.05;
// Fewer decisions say nothing about the share that is refused.
constexpr double min_decisions = 5;
constexpr double milli_per_unit = 1000;

std::uint32_t to_milli(double value)
{
    return static_cast<std::uint32_t>(std::clamp(value * milli_per_unit, 0.0, 4e9));
}

double own_pending(std::vector<zone_room> const& rooms)
{
    return std::accumulate(rooms.begin(), rooms.end(), 0.0,
                           [](double sum, zone_room const& r) { return sum + r.own_pending; });
}

} // namespace

capacity_policy make_capacity_policy(capacity_admission& admission)
{
    return {[&admission](std::string const& service) { return admission.applies_to(service); },
            [&admission](admission_query const& q, time_point now)
            { return admission.admit(q, now); },
            [&admission](std::string const& service, time_point now)
            { return admission.demand(service, now); }};
}

void service_capacity::decision_counts::decay(time_point now)
{
    double const elapsed_s = std::chrono::duration<double>(now - at).count();
    double const factor = std::exp(-std::max(0.0, elapsed_s) / decision_time_constant_s);
    asked *= factor;
    refused *= factor;
    at = now;
}

void service_capacity::record_opening(std::string const& service, route_entry const& route,
                                      time_point now)
{
    admission_.record_opening(service, route.destination, route.priority, route.latency_objective,
                              now);
}

void service_capacity::record_request(std::string const& service, std::uint32_t priority,
                                      time_point now)
{
    admission_.record_request(service, priority, now);
}

void service_capacity::record_answer(std::string const& service, duration answer_time,
                                     bool had_free_slot)
{
    admission_.record_answer(service, answer_time, had_free_slot);
}

double service_capacity::usable_slots(known_upstream const& u, time_point now) const
{
    if (!view_.accepts_new_flows(u, now) || health_.status(u.token, now) != health_status::healthy)
        return 0;
    if (placement::is_cold(u, view_, health_, now) && !place_.may_use_cold(u, view_, fleet_))
        return 0;
    double const share =
        fleet_.recoveries == nullptr ? 1.0 : fleet_.recoveries->capacity_share(u.token, now);
    return share * u.entry.slots;
}

void service_capacity::compute(std::string const& service, service_state& s, time_point now) const
{
    s.computed_at = now;
    s.rooms.clear();
    for (auto const& [zone, upstreams] : view_.upstreams_of(service))
    {
        if (zone != zone_ && !fleet_.zone_reachable(zone))
            continue;
        zone_room room{zone, 0, 0};
        for (flow_token const t : upstreams)
            if (known_upstream const* const u = view_.find(t); u != nullptr)
                room.slots += usable_slots(*u, now);
        s.rooms.push_back(std::move(room));
    }
    s.others = fleet_.load_on_service ? fleet_.load_on_service(service) : fleet_load{};
    if (std::ranges::find(s.others.demands, zone_, &zone_demand::zone) == s.others.demands.end())
        s.others.demands.push_back({zone_, fleet_.hosts_in_zone, 0, {}, {}, false});
}

// Looks only at upstreams with pending requests: a host has as many as its limit allows, far fewer
// than the service has upstreams.
void service_capacity::count_own_pending(std::string const& service, service_state& s,
                                         time_point now) const
{
    for (zone_room& room : s.rooms)
        room.own_pending = 0;
    for (std::uint32_t const token : flows_.busy_upstreams())
    {
        known_upstream const* const u = view_.find({token});
        if (u == nullptr || u->entry.service != service || usable_slots(*u, now) <= 0)
            continue;
        auto const room = std::ranges::find(s.rooms, u->entry.zone, &zone_room::zone);
        if (room == s.rooms.end())
            continue;
        // After a change of the fabric's hash, requests whose answers other hosts have seen would
        // keep this host at its limit until their flows expire.
        upstream_load const load = flows_.load(u->token);
        room->own_pending +=
            load.pending_requests - std::min(load.pending_requests, load.silent_requests);
    }
}

service_capacity::service_state& service_capacity::update(std::string const& service,
                                                          time_point now)
{
    service_state& s = services_[service];
    s.last_used = now;
    if (s.computed_at == time_point{} || now - s.computed_at >= compute_interval)
        compute(service, s, now);
    count_own_pending(service, s, now);
    return s;
}

std::optional<admission_result> service_capacity::admit(std::string const& service,
                                                        route_entry const& route, endpoint caller,
                                                        time_point now)
{
    if (!fleet_.settled)
        return std::nullopt;
    service_state& s = update(service, now);
    if (std::ranges::none_of(s.rooms, [](zone_room const& r) { return r.slots > 0; }))
        return std::nullopt;
    admission_result const result =
        policy.admit({service, route.destination, route.priority, route.latency_objective, caller,
                      zone_, s.rooms, s.others.demands},
                     now);
    if (route.priority >= s.limit_priority || now - s.limit_at > limit_lifetime)
    {
        s.limit = result.limit;
        s.limit_priority = route.priority;
        s.limit_at = now;
    }
    s.decisions.decay(now);
    s.decisions.asked += 1;
    s.decisions.refused += result.admitted ? 0 : 1;
    return result;
}

capacity_placement const* service_capacity::placement_loads(std::string const& service,
                                                            time_point now)
{
    if (!applies_to(service))
        return nullptr;
    service_state& s = update(service, now);
    auto const own = std::ranges::find(s.others.demands, zone_, &zone_demand::zone);
    auto const hosts = static_cast<double>(std::max<std::size_t>(1, own->hosts));
    s.loads.zones.clear();
    for (zone_room const& r : s.rooms)
    {
        auto const remote = s.others.remote_pending.find(r.zone);
        // Hosts of one zone behave alike. Their reports are up to a second old and would make the
        // spillover oscillate.
        double const expected = r.own_pending * hosts +
                                (remote == s.others.remote_pending.end() ? 0.0 : remote->second);
        s.loads.zones.push_back({r.zone, r.slots, expected});
    }
    s.loads.rotate = s.limit > 0 && own_pending(s.rooms) >= rotation_share * s.limit;
    return &s.loads;
}

std::vector<service_load> service_capacity::own_loads(std::set<std::string> const& reported,
                                                      time_point now)
{
    std::set<std::string> names;
    for (std::string const& service : reported)
        if (!view_.upstreams_of(service).empty())
            names.insert(service);
    for (std::string const& service : services())
        names.insert(service);
    std::vector<service_load> out;
    for (std::string const& service : names)
    {
        service_load l;
        l.service = service;
        // The number at this moment, not the mean: the sum over the hosts of a zone is steady, and
        // a mean would delay the reaction of the others to a burst by another second.
        for (zone_room const& r : update(service, now).rooms)
            if (r.own_pending > 0)
                l.pending.push_back({r.zone, to_milli(r.own_pending)});
        for (auto const& [priority, slots] : policy.demand(service, now))
            if (l.demand.size() < max_reported_priorities)
                l.demand.push_back({priority, to_milli(slots)});
        out.push_back(std::move(l));
    }
    return out;
}

std::map<std::string, double> service_capacity::overloaded(time_point now) const
{
    std::map<std::string, double> out;
    for (auto const& [service, s] : services_)
    {
        decision_counts d = s.decisions;
        d.decay(now);
        if (d.asked >= min_decisions && d.refused >= min_reported_share * d.asked)
            out[service] = d.refused / d.asked;
    }
    return out;
}

std::vector<std::string> service_capacity::services() const
{
    std::vector<std::string> out;
    for (auto const& [service, s] : services_)
        if (applies_to(service))
            out.push_back(service);
    return out;
}

capacity_status service_capacity::status(std::string const& service, time_point now)
{
    capacity_status out;
    auto const it = services_.find(service);
    if (it == services_.end())
        return out;
    count_own_pending(service, it->second, now);
    out.pending = own_pending(it->second.rooms);
    out.limit = it->second.limit;
    for (auto const& [priority, slots] : policy.demand(service, now))
        out.demand += slots;
    return out;
}

void service_capacity::expire(time_point now)
{
    admission_.expire(now);
    std::erase_if(services_,
                  [&](auto const& s) { return now - s.second.last_used > service_timeout; });
}

} // namespace chivelever
