#include "admission/slow_start.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Pending requests per slot that count as the full share: two keep the slots busy under varying
// load (capacity_admission.hpp).
constexpr std::uint32_t full_requests_per_slot = 2;
// A response is good if it takes at most this many times as long as usual.
constexpr int good_response_factor = 2;
// Until this many responses of a service are known, its objective is the bound.
constexpr std::uint32_t min_usual_responses = 20;
constexpr double usual_response_weight = 0.05;
// Good responses for this long end the slow start, and so does the absence of any report from the
// upstream's zone, if that is another one.
constexpr duration max_slow_start = 10s;
// Levels are reported in heartbeats. In a zone of 22 hosts one hears a given other host about every
// 0.7 s.
constexpr duration report_lifetime = 2s;
// A host that has ended the slow start reports the full level for this long, so that the others do
// not take its silence for a failure.
constexpr duration report_after_end = 5s;
// If no host reports a level for this long, the next one by rank takes over.
constexpr duration takeover_interval = 2s;
// Time at the full level before the end. The mean load that hosts report covers about one second;
// in a replay with 22 hosts, an earlier end let all of them choose an upstream that still seemed
// idle.
constexpr duration full_level_hold = 1s;
// Unanswered packets of one incident arrive together and halve the level once.
constexpr duration failure_interval = 100ms;
// Observations of one start differ by the time on the way. The store may show a restart only after
// an outage, long after the hosts have seen the upstream return.
constexpr duration same_start_margin = 2s;
constexpr duration same_restart_margin = 10s;
constexpr duration retention = 60s;
constexpr std::size_t max_changes = 256; // bounds the memory between two calls of take_changes
constexpr std::size_t max_recoveries = 4096;

} // namespace

std::string_view to_string(slow_start_cause c)
{
    constexpr std::array<std::string_view, 10> names{
        "listed",     "restarted",     "returned",    "zone_returned", "reported",
        "good_round", "slow_response", "no_response", "full_share",    "time_elapsed"};
    return names[static_cast<std::size_t>(c)];
}

// The lowest level that other hosts have reported recently; 0 if there is none.
std::uint32_t slow_start::reported_minimum(recovery const& r, time_point now)
{
    std::uint32_t lowest = 0;
    for (auto const& [host, reported] : r.levels)
        if (now - reported.at < report_lifetime)
            lowest = lowest == 0 ? reported.level : std::min(lowest, reported.level);
    return lowest;
}

// A host that hears no other one cannot know the load that they cause, and stays at one request.
std::uint32_t slow_start::effective_level(recovery const& r, bool in_contact, time_point now)
{
    if (!in_contact)
        return 1;
    std::uint32_t const reported = reported_minimum(r, now);
    bool const recent = r.level > 0 && now - r.last_response < report_lifetime;
    if (reported == 0)
        return recent ? r.level : 1;
    return recent ? std::min(r.level, reported) : reported;
}

// The level is divided among the hosts in the order of their ranks.
std::uint32_t slow_start::allowance(recovery const& r, slow_start_query const& query,
                                    time_point now)
{
    if (!query.own_zone)
        return now - std::max(r.started, r.last_report) < max_slow_start
                   ? 0
                   : std::numeric_limits<std::uint32_t>::max();
    std::uint32_t const level = effective_level(r, query.in_contact, now);
    // The host before this one by rank may have failed, or may have no requests for the service.
    time_point const silent_since = std::max({r.started, r.last_report, r.last_response});
    auto const skipped = static_cast<std::size_t>((now - silent_since) / takeover_interval);
    std::size_t const rank = query.rank - std::min(query.rank, skipped);
    std::size_t const hosts = std::max<std::size_t>(1, query.hosts_in_zone);
    return static_cast<std::uint32_t>(level / hosts + (rank < level % hosts ? 1 : 0));
}

duration slow_start::usual_time(std::string const& service) const
{
    auto const it = usual_.find(service);
    if (it == usual_.end() || it->second.count < min_usual_responses)
        return {};
    return duration(static_cast<duration::rep>(it->second.mean_us));
}

void slow_start::record_change(flow_token upstream, recovery const& r, slow_start_cause cause,
                               duration response_time, duration usual, time_point now)
{
    if (changes_.size() >= max_changes)
        return;
    auto const reporting = std::ranges::count_if(
        r.levels, [&](auto const& item) { return now - item.second.at < report_lifetime; });
    changes_.push_back({upstream, cause, std::max<std::uint32_t>(1, r.level),
                        effective_level(r, true, now), r.full, response_time, usual,
                        static_cast<std::size_t>(reporting)});
}

void slow_start::begin(flow_token upstream, recovery& r, slow_start_cause cause,
                       std::uint32_t slots, time_point started, time_point now)
{
    if (r.started == time_point{} || r.ended)
        ++active_count_;
    r = {};
    r.full = std::max<std::uint32_t>(1, slots) * full_requests_per_slot;
    r.started = started;
    r.round_started = now;
    record_change(upstream, r, cause, {}, {}, now);
}

void slow_start::end(flow_token upstream, recovery& r, slow_start_cause cause, time_point now)
{
    --active_count_;
    r.ended = true;
    r.ended_at = now;
    r.level = r.full;
    r.levels.clear();
    record_change(upstream, r, cause, {}, {}, now);
}

void slow_start::start(flow_token upstream, slow_start_cause cause, std::uint32_t slots,
                       time_point started, time_point now)
{
    auto const it = recoveries_.find(upstream.value);
    duration const margin =
        cause == slow_start_cause::restarted ? same_restart_margin : same_start_margin;
    bool const known = it != recoveries_.end();
    if (known ? started <= it->second.started + margin : recoveries_.size() >= max_recoveries)
        return;
    begin(upstream, recoveries_[upstream.value], cause, slots, started, now);
}

bool slow_start::active(flow_token upstream) const
{
    auto const it = recoveries_.find(upstream.value);
    return it != recoveries_.end() && !it->second.ended;
}

bool slow_start::admits(flow_token upstream, slow_start_query const& query, time_point now) const
{
    auto const it = recoveries_.find(upstream.value);
    if (it == recoveries_.end() || it->second.ended)
        return true;
    return query.own_pending < allowance(it->second, query, now);
}

double slow_start::capacity_share(flow_token upstream, time_point now) const
{
    auto const it = recoveries_.find(upstream.value);
    if (it == recoveries_.end() || it->second.ended)
        return 1;
    recovery const& r = it->second;
    return std::min(1.0, static_cast<double>(effective_level(r, true, now)) / r.full);
}

void slow_start::record_response(flow_token upstream, std::string const& service,
                                 duration response_time, duration objective,
                                 slow_start_query const& query, time_point now)
{
    auto const it = recoveries_.find(upstream.value);
    if (it == recoveries_.end() || it->second.ended)
    {
        usual_response& u = usual_[service];
        auto const us = static_cast<double>(response_time.count());
        u.mean_us = u.count == 0 ? us : u.mean_us + usual_response_weight * (us - u.mean_us);
        u.count = std::min(u.count + 1, min_usual_responses);
        return;
    }
    recovery& r = it->second;
    time_point const sent = now - response_time;
    if (sent < r.started)
        return;
    std::uint32_t const lowest = effective_level(r, query.in_contact, now);
    if (r.level == 0)
        r.level = lowest;
    r.last_response = now;
    duration const usual = usual_time(service);
    if (response_time > (usual == duration{} ? objective : usual * good_response_factor))
    {
        // A request sent before the level halved says nothing about the lower level.
        if (sent >= r.halved_at)
            halve(upstream, r, slow_start_cause::slow_response, response_time, usual, now);
        return;
    }
    if (r.good_since == time_point{})
        r.good_since = now;
    if (now - r.good_since >= max_slow_start)
    {
        end(upstream, r, slow_start_cause::time_elapsed, now);
        return;
    }
    if (lowest != r.round_level)
    {
        r.round_level = lowest;
        r.round_responses = 0;
    }
    // A round consists of requests that were sent at its level. A host leads the others by one
    // doubling at most, since their lower level applies.
    if (sent < r.round_started || r.level > lowest)
        return;
    std::uint32_t const own_requests = std::clamp(allowance(r, query, now), 1U, lowest);
    if (++r.round_responses < own_requests)
        return;
    if (lowest >= r.full)
    {
        if (now - r.round_started >= full_level_hold)
            end(upstream, r, slow_start_cause::full_share, now);
        return;
    }
    if (!query.in_contact)
        return;
    r.level = std::min(r.level * 2, r.full);
    r.round_started = now;
    r.round_responses = 0;
    record_change(upstream, r, slow_start_cause::good_round, response_time, usual, now);
}

void slow_start::halve(flow_token upstream, recovery& r, slow_start_cause cause,
                       duration response_time, duration usual, time_point now)
{
    bool const changed = r.level > 1;
    r.level = std::max<std::uint32_t>(1, r.level / 2);
    r.round_started = r.halved_at = now;
    r.round_responses = 0;
    r.good_since = {};
    r.last_response = now; // makes this host report the level
    if (changed)
        record_change(upstream, r, cause, response_time, usual, now);
}

void slow_start::record_failure(flow_token upstream, time_point now)
{
    auto const it = recoveries_.find(upstream.value);
    if (it == recoveries_.end() || it->second.ended ||
        now - it->second.halved_at < failure_interval)
        return;
    recovery& r = it->second;
    if (r.level == 0)
        r.level = effective_level(r, true, now);
    halve(upstream, r, slow_start_cause::no_response, {}, {}, now);
}

void slow_start::record_report(std::uint32_t host, slow_start_report const& report,
                               std::uint32_t slots, time_point now)
{
    time_point const started = now - report.started;
    auto it = recoveries_.find(report.upstream.value);
    if (it == recoveries_.end() || started > it->second.started + same_start_margin)
    {
        // Also known to a host that has just started, or that did not use the upstream while it
        // was silent. The report of a completed one tells such a host nothing.
        if (recoveries_.size() >= max_recoveries ||
            report.level >= std::max<std::uint32_t>(1, slots) * full_requests_per_slot)
            return;
        it = recoveries_.try_emplace(report.upstream.value).first;
        begin(report.upstream, it->second, slow_start_cause::reported, slots, started, now);
    }
    recovery& r = it->second;
    if (r.ended || started < r.started - same_start_margin)
        return;
    r.levels[host] = {std::clamp(report.level, 1U, r.full), now};
    r.last_report = now;
    // A host without recent responses of its own follows the others.
    bool const recent = r.level > 0 && now - r.last_response < report_lifetime;
    if (!recent && reported_minimum(r, now) >= r.full)
        end(report.upstream, r, slow_start_cause::full_share, now);
}

std::vector<slow_start_report> slow_start::reports(time_point now) const
{
    std::vector<slow_start_report> out;
    for (auto const& [token, r] : recoveries_)
    {
        bool const reports = r.ended ? now - r.ended_at < report_after_end
                                     : r.level > 0 && now - r.last_response < report_lifetime;
        if (reports)
            out.push_back({{token}, now - r.started, r.level});
    }
    // The lowest first: in a heartbeat without room for all, they are the ones that apply.
    std::ranges::sort(out, [](auto const& a, auto const& b)
                      { return std::pair(a.level, a.started) < std::pair(b.level, b.started); });
    return out;
}

std::vector<slow_start_change> slow_start::take_changes()
{
    return std::exchange(changes_, {});
}

void slow_start::expire(time_point now)
{
    for (auto& [token, r] : recoveries_)
    {
        std::erase_if(r.levels,
                      [&](auto const& item) { return now - item.second.at >= report_lifetime; });
        // Without reports and responses nobody uses the upstream: it is in another zone, or the
        // service has no requests.
        if (!r.ended && r.level == 0 && r.levels.empty() && now - r.started >= retention)
            end({token}, r, slow_start_cause::time_elapsed, now);
    }
    std::erase_if(recoveries_, [&](auto const& item)
                  { return item.second.ended && now - item.second.ended_at >= retention; });
}

} // namespace chivelever
