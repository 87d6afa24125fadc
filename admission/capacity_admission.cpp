#include "admission/capacity_admission.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Computing shares and the routes in use costs as much as several decisions, and the reports behind
// them are older than this anyway.
constexpr duration update_period = 50ms;
// Long enough for several arrivals at a host with 12 per second, and shorter than the time in which
// callers give up.
constexpr duration arrival_time_constant = 500ms;

// Half-life of 5 s: a route stays in use over a pause of its callers.
constexpr duration route_time_constant{7'213'475};
constexpr double min_route_share = 0.02;
constexpr double min_openings = 50; // with fewer, a share of 0.02 is less than one opening
constexpr double forgotten_openings = 0.01;
constexpr std::size_t max_routes = 1024;
constexpr std::size_t max_priorities = 4;

// Responses in the mean of the service time, and the number without which it is not used.
constexpr std::uint32_t mean_answers = 64;
constexpr std::uint32_t min_answers = 20;
constexpr double assumed_service_time = 1.0 / 8; // of the objective

// Pending requests per slot. The share of the objective leaves a margin for the upstreams that have
// more than the mean. At least 1.5 keeps the slots busy, and upstreams reject at 5.
constexpr double queued_share_of_objective = 0.3;
constexpr double min_depth = 1.5;
constexpr double max_depth = 3;

// Limit of the priorities above the lowest one.
constexpr double headroom_factor = 2;
// Use of capacity that other hosts of the zone leave unused.
constexpr double max_zone_use = 0.8;
constexpr double borrowing_factor = 2;
constexpr double min_borrowing_limit = 4;
// A host that hears no one must not refuse at half load. In a fleet of 300 with 240 slots it has
// 0.4 requests pending on average, and more than 6 in less than one of a million arrivals.
constexpr double min_limit_without_reports = 6;
constexpr double min_priority_share = 0.1;
// Share of the limit in use from which callers over their share are refused.
constexpr double caller_check_share = 0.7;

// Counts of a service without openings for this long are dropped, and its state after an hour.
constexpr duration service_timeout = 60s;
constexpr duration state_timeout = 1h;

double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

std::string_view to_string(admission_reason r)
{
    constexpr std::array<std::string_view, 5> names{
        "within_share", "zone_has_room", "minimum_share", "no_room", "caller_over_share"};
    return names[static_cast<std::size_t>(r)];
}

double capacity_admission::decayed_count::read(time_point now, duration time_constant) const
{
    return now <= at ? value : value * std::exp(-to_seconds(now - at) / to_seconds(time_constant));
}

void capacity_admission::decayed_count::add(time_point now, duration time_constant)
{
    value = read(now, time_constant) + 1;
    at = std::max(at, now);
}

bool capacity_admission::applies_to(std::string const& service) const
{
    auto const it = services_.find(service);
    return settings_.enabled && it != services_.end() && it->second.applies;
}

void capacity_admission::evaluate_routes(service_state& s, time_point now)
{
    s.routes_evaluated_at = now;
    double total = 0;
    for (auto const& [destination, r] : s.routes)
        total += r.openings.read(now, route_time_constant);
    if (total < min_openings)
        return;
    std::uint32_t highest = 0;
    std::uint32_t lowest = 0;
    duration objective{};
    bool first = true;
    bool common_objective = true;
    for (auto const& [destination, r] : s.routes)
    {
        if (r.openings.read(now, route_time_constant) < min_route_share * total)
            continue;
        highest = first ? r.priority : std::min(highest, r.priority);
        lowest = first ? r.priority : std::max(lowest, r.priority);
        common_objective = common_objective && (first || r.objective == objective);
        objective = r.objective;
        first = false;
    }
    s.lowest_priority = lowest;
    s.objective = objective;
    s.applies = highest < lowest && common_objective && objective > duration{};
}

void capacity_admission::record_opening(std::string const& service, endpoint destination,
                                        std::uint32_t priority, duration objective, time_point now)
{
    if (!settings_.enabled)
        return;
    service_state& s = services_[service];
    s.last_used = now;
    if (s.routes.size() < max_routes || s.routes.contains(destination))
    {
        route_usage& r = s.routes[destination];
        r.openings.add(now, route_time_constant);
        r.priority = priority;
        r.objective = objective;
    }
    if (now - s.routes_evaluated_at >= update_period)
        evaluate_routes(s, now);
}

// A priority beyond the maximum is counted with the next higher one that is tracked.
capacity_admission::priority_load& capacity_admission::load_of(service_state& s,
                                                               std::uint32_t priority)
{
    auto const it = std::ranges::lower_bound(s.loads, priority, {}, &priority_load::priority);
    if (it != s.loads.end() && it->priority == priority)
        return *it;
    if (s.loads.size() < max_priorities)
        return *s.loads.insert(it, priority_load{priority, {}, {}, {}, {}});
    return it == s.loads.begin() ? *it : *std::prev(it);
}

void capacity_admission::record_request(std::string const& service, std::uint32_t priority,
                                        time_point now)
{
    auto const it = services_.find(service);
    if (it == services_.end())
        return;
    it->second.last_used = now;
    priority_load& load = load_of(it->second, priority);
    load.started.add(now, arrival_time_constant);
    load.placed.add(now, arrival_time_constant);
}

void capacity_admission::record_answer(std::string const& service, duration answer_time,
                                       bool had_free_slot)
{
    auto const it = services_.find(service);
    if (it == services_.end() || !had_free_slot || answer_time <= duration{})
        return;
    service_state& s = it->second;
    s.answers = std::min(s.answers + 1, mean_answers);
    s.service_time_s += (to_seconds(answer_time) - s.service_time_s) / s.answers;
}

double capacity_admission::service_time_s(service_state const& s)
{
    return s.answers >= min_answers ? s.service_time_s
                                    : to_seconds(s.objective) * assumed_service_time;
}

std::map<std::uint32_t, double> capacity_admission::demand(service_state const& s, time_point now)
{
    std::map<std::uint32_t, double> out;
    for (priority_load const& l : s.loads)
        out[l.priority] = (l.started.read(now, arrival_time_constant) +
                           l.refused.read(now, arrival_time_constant)) /
                          to_seconds(arrival_time_constant) * service_time_s(s);
    return out;
}

std::map<std::uint32_t, double> capacity_admission::demand(std::string const& service,
                                                           time_point now) const
{
    auto const it = services_.find(service);
    return it == services_.end() ? std::map<std::uint32_t, double>{} : demand(it->second, now);
}

// Fills in everything but the pending requests and the age.
void capacity_admission::decide(service_state& s, priority_load const& load,
                                admission_query const& query, time_point now,
                                admission_result& result)
{
    double const depth =
        std::clamp(to_seconds(s.objective) * queued_share_of_objective / service_time_s(s),
                   min_depth, max_depth);
    double const base =
        std::max(depth * s.share.host, s.share.zone_heard ? 0.0 : min_limit_without_reports);
    result.limit = base * (query.priority < s.lowest_priority ? headroom_factor : 1);
    auto const admit_as = [&result](admission_reason reason)
    {
        result.admitted = reason < admission_reason::no_room;
        result.reason = reason;
    };
    if (result.pending > caller_check_share * result.limit &&
        !load.callers.within_share(query.caller.address, now))
        return admit_as(admission_reason::caller_over_share);
    if (result.pending < result.limit)
        return admit_as(admission_reason::within_share);
    double const borrowing_limit = std::max(borrowing_factor * base, min_borrowing_limit);
    if (s.share.zone_heard && result.pending < borrowing_limit)
    {
        double zone_pending = result.pending;
        for (zone_demand const& d : query.demands)
            if (d.zone == query.own_zone)
                zone_pending += d.other_pending;
        if (zone_pending < max_zone_use * depth * s.share.zone)
        {
            result.limit = borrowing_limit;
            return admit_as(admission_reason::zone_has_room);
        }
    }
    double placed = 0;
    for (priority_load const& l : s.loads)
        placed += l.placed.read(now, arrival_time_constant);
    double const own_part =
        placed > 0 ? load.placed.read(now, arrival_time_constant) / placed : 0.0;
    bool const minimum =
        result.pending < 1 || result.pending * own_part < min_priority_share * result.limit;
    admit_as(minimum ? admission_reason::minimum_share : admission_reason::no_room);
}

admission_result capacity_admission::admit(admission_query const& query, time_point now)
{
    service_state& s = services_[query.service];
    s.last_used = now;
    if (s.objective <= duration{})
        s.objective = query.objective;
    if (now - s.share_at >= update_period)
    {
        s.share = share_capacity(query.rooms, query.demands, query.own_zone, demand(s, now));
        s.share_at = now;
    }
    admission_result result;
    result.age = s.share.age;
    for (zone_room const& r : query.rooms)
        result.pending += r.own_pending;
    // Without a usable upstream there is nothing to share; the router responds.
    if (s.share.capacity <= 0)
        return result;
    priority_load& load = load_of(s, query.priority);
    decide(s, load, query, now, result);
    (result.admitted ? load.placed : load.refused).add(now, arrival_time_constant);
    load.callers.record(query.caller.address, result.admitted, now);
    return result;
}

// Keeps whether the policy applies to a service that has had no openings for a while.
void capacity_admission::expire(time_point now)
{
    for (auto& [service, s] : services_)
    {
        std::erase_if(
            s.routes, [now](auto const& r)
            { return r.second.openings.read(now, route_time_constant) < forgotten_openings; });
        for (priority_load& l : s.loads)
            l.callers.expire(now);
        if (now - s.last_used > service_timeout)
            s.loads.clear();
    }
    std::erase_if(services_,
                  [now](auto const& s)
                  {
                      duration const unused = now - s.second.last_used;
                      return unused > state_timeout ||
                             (unused > service_timeout && !s.second.applies);
                  });
}

} // namespace chivelever
