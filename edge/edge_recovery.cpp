// Upstreams that have started or recovered: their cold starts and slow starts, as seen by this host
// and reported by others.
#include "edge/edge_host.hpp"

#include <algorithm>
#include <array>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Upstreams are cold for some seconds; later returns are not reported.
constexpr duration max_return_age = 30s;
// Bounds the size of a heartbeat after the crash of many upstreams.
constexpr std::size_t max_recovering_upstreams = 16;

std::uint32_t to_ms(duration d)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(d / 1ms, 0, 0xFFFFFFFF));
}

std::optional<slow_start_cause> cause_of(std::string const& change)
{
    if (change == "upstream.listed")
        return slow_start_cause::listed;
    if (change == "upstream.restarted")
        return slow_start_cause::restarted;
    return std::nullopt;
}

} // namespace

bool edge_host::slow_start_applies(known_upstream const& u) const
{
    return fleet_.slow_start_applies && fleet_.slow_start_applies(u.entry.service);
}

// Called after a change of the view, and regularly for upstreams that have answered again.
void edge_host::start_recoveries(std::vector<view_change> const& changes, time_point now)
{
    if (!fleet_.slow_start_applies)
        return;
    auto const start = [&](known_upstream const& u, slow_start_cause cause, time_point at)
    {
        if (slow_start_applies(u))
            recoveries_.start(u.token, cause, u.entry.slots, at, now);
    };
    for (view_change const& c : changes)
    {
        auto const cause = cause_of(c.kind);
        known_upstream const* const u = cause ? view_.find(make_flow_token(c.subject)) : nullptr;
        // An entry that reappears after an outage of the store, or that a host reads late, belongs
        // to an upstream that is warm: only one that announces its cold start has just started.
        bool const started =
            cause == slow_start_cause::restarted || (u != nullptr && now < u->cold_until);
        if (u != nullptr && started)
            start(*u, *cause, now);
        if (c.kind == "zone.returned")
            view_.for_each_in_zone(c.subject, [&](known_upstream const& member)
                                   { start(member, slow_start_cause::zone_returned, now); });
    }
    // An upstream of another zone may only have been out of reach; the hosts of its zone report its
    // slow start.
    for (auto const& [token, returned] : health_.returns_since(now - max_return_age))
    {
        known_upstream const* const u = view_.find(token);
        if (u != nullptr && u->entry.zone == settings_.zone)
            start(*u, slow_start_cause::returned, returned);
    }
}

void edge_host::record_recovering(peer_heartbeat const& heartbeat, time_point now)
{
    for (recovering_upstream const& r : heartbeat.recovering)
    {
        // A host of another zone may have been cut off from the upstream.
        known_upstream const* const u = view_.find(r.upstream);
        if (u == nullptr || u->entry.zone != heartbeat.sender.zone)
            continue;
        if (r.returned_ms)
            health_.record_peer_return(r.upstream, now - std::chrono::milliseconds(*r.returned_ms));
        if (r.started_ms && slow_start_applies(*u))
            recoveries_.record_report(
                heartbeat.sender.ip,
                {r.upstream, std::chrono::milliseconds(*r.started_ms), r.level}, u->entry.slots,
                now);
    }
    if (!heartbeat.recovering.empty())
        start_recoveries({}, now);
}

// Upstreams of this zone that have returned and may be in a cold start, and levels of slow starts.
// Hosts of other zones need them as well, since they must not use these upstreams.
std::vector<recovering_upstream> edge_host::recovering_upstreams(time_point now) const
{
    std::vector<recovering_upstream> out;
    for (auto const& [token, returned] : health_.returns_since(now - max_return_age))
    {
        known_upstream const* const u = view_.find(token);
        if (out.size() < max_recovering_upstreams && u != nullptr &&
            u->entry.zone == settings_.zone && placement::is_cold(*u, view_, health_, now))
            out.push_back({token, to_ms(now - returned), std::nullopt, 0});
    }
    for (slow_start_report const& report : recoveries_.reports(now))
    {
        known_upstream const* const u = view_.find(report.upstream);
        if (u == nullptr || u->entry.zone != settings_.zone)
            continue;
        auto const at = std::ranges::find(out, report.upstream, &recovering_upstream::upstream);
        if (at == out.end() && out.size() >= max_recovering_upstreams)
            continue;
        recovering_upstream& row = at != out.end() ? *at : out.emplace_back();
        row.upstream = report.upstream;
        row.started_ms = to_ms(report.started);
        row.level = report.level;
    }
    return out;
}

void edge_host::report_slow_starts(time_point now)
{
    start_recoveries({}, now);
    recoveries_.expire(now);
    for (slow_start_change const& c : recoveries_.take_changes())
    {
        std::string const cause(to_string(c.cause));
        metrics_.count("slow_start_changes_total", "changes of the level of a recovering upstream",
                       "cause=\"" + cause + "\"")++;
        known_upstream const* const u = view_.find(c.upstream);
        log::info("upstream.slow_start", {{"upstream", u != nullptr ? u->entry.name : ""},
                                          {"cause", cause},
                                          {"level", std::to_string(c.level)},
                                          {"lowest", std::to_string(c.lowest)},
                                          {"full", std::to_string(c.full)},
                                          {"response_ms", std::to_string(to_ms(c.response_time))},
                                          {"usual_ms", std::to_string(to_ms(c.usual_time))},
                                          {"hosts", std::to_string(c.reporting_hosts)}});
    }
}

} // namespace chivelever
