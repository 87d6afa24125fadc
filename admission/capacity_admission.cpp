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

// Pending requests are a whole number, and rounding a limit of 8.5 up adds 33 requests at 66 hosts,
// so it is rounded to the nearest number. In the replay with 66 hosts and three seeds, upstreams
// reject 0.023 of the offers with it and 0.028 without it.
constexpr double half_request = 0.5;

// Limit of the priorities above the lowest one.
constexpr double headroom_factor = 2;
// Use of capacity that other hosts of the zone leave unused.
constexpr double max_zone_use = 0.8;
constexpr double borrowing_factor = 2;
constexpr double min_borrowing_limit = 4;
// At half load, with random arrivals, a host has this many requests pending per slot of its share,
// and must not refuse any: requests that wait count as a quarter. Seven standard deviations are
// exceeded by less than one arrival in a million, also with less than one request on average.
constexpr double half_load_pending = 0.625;
constexpr double half_load_deviations = 7;
// Peaks are admitted while the mean of the pending requests is below this share of the limit.
constexpr double max_mean_at_peak = 0.5;
constexpr duration pending_time_constant = 200ms;
// Beyond the minimum, a host borrows only if it has been at its limit for as long as the reports
// are old. When the load rises at all hosts at once, older reports show free capacity to each of
// them: a replay with reports 0.4 s old had half of its rejections in the first half second.
constexpr duration at_limit_timeout = 1s;
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

// Whether the zone's other hosts leave capacity unused that this one may have.
bool capacity_admission::zone_has_room(service_state& s, admission_query const& query, double depth,
                                       time_point now, admission_result& result)
{
    if (now - s.at_limit_last > at_limit_timeout)
        s.at_limit_since = now;
    s.at_limit_last = now;
    bool const reports_cover = now - s.at_limit_since >= s.share.zone_age;
    double const limit = std::max(reports_cover ? borrowing_factor * depth * s.share.host : 0.0,
                                  min_borrowing_limit);
    if (!s.share.zone_heard || result.pending >= limit)
        return false;
    double zone_pending = result.pending;
    for (zone_demand const& d : query.demands)
        if (d.zone == query.own_zone)
            zone_pending += d.other_pending;
    if (!(zone_pending < max_zone_use * depth * s.share.zone))
        return false;
    result.limit = limit;
    return true;
}

// Whether the priority has less than its minimum share of the limit pending.
bool capacity_admission::below_minimum(service_state const& s, priority_load const& load,
                                       time_point now, admission_result const& result)
{
    double placed = 0;
    for (priority_load const& l : s.loads)
        placed += l.placed.read(now, arrival_time_constant);
    double const part = placed > 0 ? load.placed.read(now, arrival_time_constant) / placed : 0.0;
    return result.pending < 1 || result.pending * part < min_priority_share * result.limit;
}

// Sets the limit.
admission_reason capacity_admission::decide(service_state& s, priority_load const& load,
                                            admission_query const& query, time_point now,
                                            admission_result& result)
{
    double const depth =
        std::clamp(to_seconds(s.objective) * queued_share_of_objective / service_time_s(s),
                   min_depth, max_depth);
    double const base = depth * s.share.host;
    result.limit = base * (query.priority < s.lowest_priority ? headroom_factor : 1);
    if (s.mean_pending < max_mean_at_peak * base)
    {
        double const mean = half_load_pending * s.share.host;
        result.limit = std::max(result.limit, mean + half_load_deviations * std::sqrt(mean));
    }
    if (result.pending > caller_check_share * result.limit &&
        !load.callers.within_share(query.caller.address, now))
        return admission_reason::caller_over_share;
    if (result.pending + half_request < result.limit)
        return admission_reason::within_share;
    if (zone_has_room(s, query, depth, now, result))
        return admission_reason::zone_has_room;
    return below_minimum(s, load, now, result) ? admission_reason::minimum_share
                                               : admission_reason::no_room;
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
    s.mean_pending +=
        (result.pending - s.mean_pending) *
        (1 - std::exp(-to_seconds(now - s.pending_at) / to_seconds(pending_time_constant)));
    s.pending_at = now;
    priority_load& load = load_of(s, query.priority);
    result.reason = decide(s, load, query, now, result);
    result.admitted = result.reason < admission_reason::no_room;
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
