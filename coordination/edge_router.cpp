#include "coordination/edge_router.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// An unknown route is reset only under a configuration confirmed this recently; an older one may
// lack a route that was just added.
constexpr duration recent_config_age = 2s;
// A view that was not confirmed for this long is stale. Hosts read the store every 800 ms; a read
// by the next host in the order still confirms the view in time.
constexpr duration stale_view_age = 1500ms;
// An upstream that answers no request for this long is probed. Most requests take 20 to 60 ms, few
// more than 100 ms.
constexpr duration min_stall_timeout = 100ms;
// Under load all answers are slow; a stall is a multiple of what they take on average.
constexpr int stall_timeout_answers = 2;
// Longer than callers keep idle flows; used until a configuration sets a limit.
constexpr duration default_idle_timeout = 60s;

} // namespace

std::string_view to_string(packet_reason r)
{
    constexpr std::array<std::string_view, packet_reason_count> names{
        "placed",     "offered_again",        "by_flow",       "by_token",        "not_loaded",
        "no_route",   "no_route_unconfirmed", "no_upstream",   "only_cold",       "unknown_token",
        "no_token",   "route_removed",        "upstream_gone", "upstream_silent", "bad_flags",
        "overloaded", "asking_zone",          "by_report",     "outdated_syn"};
    return names[static_cast<std::size_t>(r)];
}

bool edge_router::config_is_recent(time_point now) const
{
    return now - view_.version().confirmed_at < recent_config_age;
}

void edge_router::update_staleness(time_point now)
{
    time_point const since = view_.version().confirmed_at + stale_view_age;
    health_.set_stale_since(view_.loaded() && now > since ? since : time_point{});
}

bool edge_router::record_failure(flow_token upstream, time_point now)
{
    if (fleet_.recoveries != nullptr)
        fleet_.recoveries->record_failure(upstream, now);
    return health_.record_failure(upstream, now);
}

void edge_router::record_response(known_upstream const& u, duration response_time,
                                  duration objective, time_point now)
{
    if (fleet_.recoveries != nullptr && fleet_.slow_start_applies &&
        fleet_.slow_start_applies(u.entry.service))
        fleet_.recoveries->record_response(
            u.token, u.entry.service, response_time, objective,
            fleet_.recoveries->active(u.token)
                ? placement::recovery_of(u, place_.zone(), flows_, fleet_)
                : slow_start_query{},
            now);
}

packet_decision edge_router::forward_to(packet_decision d, flow_token token) const
{
    known_upstream const* const u = view_.find(token);
    if (u == nullptr)
    {
        d.action = packet_action::drop;
        d.reason = packet_reason::unknown_token;
        return d;
    }
    d.action = packet_action::forward;
    d.token = token;
    d.to = u->entry.address;
    d.datagram_address = u->entry.datagram_address;
    return d;
}

packet_decision edge_router::handle(received_packet const& in, time_point now)
{
    caller_packet const& p = in.header;
    packet_decision d;
    d.flow = p.flow;
    d.reset_sequence = p.acknowledged;
    if (!view_.loaded())
        return d;
    update_staleness(now);
    if (p.syn && (p.ack || p.fin || p.rst))
    {
        d.reason = packet_reason::bad_flags;
        return d;
    }
    return p.syn ? handle_syn(in, now) : handle_established(p, now);
}

// Whether the packet belongs to a later flow from the same address and port, which was opened
// through another host: it names another upstream and is far outside the recorded flow's window.
bool edge_router::is_replaced(flow_record const& flow, caller_packet const& p) const
{
    if (flow.phase == flow_phase::opening || p.token.value == 0 || p.token == flow.upstream ||
        view_.find(p.token) == nullptr)
        return false;
    return !in_sequence_window(p.sequence, flow.next_sequence);
}

packet_decision edge_router::handle_established(caller_packet const& p, time_point now)
{
    packet_decision d;
    d.flow = p.flow;
    d.reset_sequence = p.acknowledged;
    flow_record* flow = flows_.find(p.flow);
    if (flow != nullptr && is_replaced(*flow, p))
        flow = nullptr;
    bool const known = flow != nullptr;
    // The echoed token is that of the upstream that answered last. If the SYN reached several, the
    // zone knows at which one the flow is open.
    flow_token const reported = owners_.find(p.flow, p.sequence);
    bool const is_reported = view_.find(reported) != nullptr;
    flow_token const token = is_reported ? reported : p.token;
    if (!known)
    {
        if (token.value == 0 || p.rst || view_.find(token) == nullptr)
        {
            d.reason = token.value == 0 ? packet_reason::no_token : packet_reason::unknown_token;
            return p.rst && token.value != 0 ? forward_to(d, token) : d;
        }
        flow = &flows_.add_existing(p, token, now);
    }
    // The first packet after the handshake echoes the token of the upstream that the caller chose.
    // Later echoes may change when another upstream that received the same SYN answers as well.
    if (flow->phase == flow_phase::opening && token.value != 0 && token != flow->upstream &&
        view_.find(token) != nullptr)
        flows_.reassign(*flow, token, now);
    d.reason = known         ? packet_reason::by_flow
               : is_reported ? packet_reason::by_report
                             : packet_reason::by_token;
    if (p.ack && owners_.is_first_of_contested(p.flow, p.sequence) && !is_reported)
        owners_.report({p.flow, p.sequence - 1, flow->upstream, true}, now);
    record_observation(d, *flow, p, now);
    if (p.rst)
    {
        d = forward_to(d, flow->upstream);
        flows_.erase(p.flow, now);
        return d;
    }
    known_upstream const* const u = view_.find(flow->upstream);
    packet_reason end_reason = d.reason;
    if (view_.route_removed(p.flow.destination))
        end_reason = packet_reason::route_removed;
    else if (u != nullptr && view_.is_terminated(*u, now))
        end_reason = packet_reason::upstream_gone;
    else if (p.payload_bytes > 0 && health_.status(flow->upstream, now) == health_status::silent)
        end_reason = packet_reason::upstream_silent;
    if (end_reason == d.reason)
        return forward_to(d, flow->upstream);
    d.action = packet_action::reset;
    d.reason = end_reason;
    d.token = flow->upstream;
    flows_.erase(p.flow, now);
    return d;
}

void edge_router::record_observation(packet_decision& d, flow_record& flow, caller_packet const& p,
                                     time_point now)
{
    d.seen = flows_.observe(flow, p, now);
    if (d.seen.answer_time || d.seen.request)
        record_request(d.seen, flow, p.flow.destination, now);
    if (d.seen.answered)
        health_.record_answer(flow.upstream, now, flow.opened);
    else if (d.seen.retransmitted)
    {
        d.newly_suspected = record_failure(flow.upstream, now);
        d.suspect = flow.upstream;
    }
}

void edge_router::record_request(flow_observation const& seen, flow_record& flow,
                                 endpoint destination, time_point now)
{
    route_entry const* const route = view_.route(destination);
    known_upstream const* const u = view_.find(flow.upstream);
    if (route == nullptr || u == nullptr)
        return;
    std::string const& service = u->entry.service;
    if (seen.answer_time)
    {
        overload_.answered(service, *seen.answer_time, route->latency_objective, now);
        capacity_.record_answer(service, *seen.answer_time, flow.had_free_slot);
        record_response(*u, *seen.answer_time, route->latency_objective, now);
    }
    if (seen.request)
    {
        capacity_.record_request(service, route->priority, now);
        flow.had_free_slot = has_free_slot(*u);
    }
}

// Whether the upstream has a slot for the request that has just started, which is included in its
// pending requests. The load of other hosts on upstreams of other zones is not reported.
bool edge_router::has_free_slot(known_upstream const& u) const
{
    return u.entry.zone == capacity_.own_zone() &&
           flows_.load(u.token).pending_requests +
                   fleet_.peer_load(u.token).mean_pending_requests <=
               u.entry.slots;
}

std::vector<flow_token> edge_router::probes_due(time_point now)
{
    update_staleness(now);
    duration const limit =
        std::max<duration>(min_stall_timeout, flows_.mean_answer_time() * stall_timeout_answers);
    for (flow_token const t : flows_.stalled_upstreams(now, limit))
        health_.record_stall(t, now);
    return health_.probes_due(now);
}

flow_token edge_router::reference_upstream(std::span<flow_token const> probed, time_point now) const
{
    std::vector<flow_token> excluded(probed.begin(), probed.end());
    for (;;)
    {
        flow_token const t = health_.reference_upstream(excluded);
        known_upstream const* const u = view_.find(t);
        if (t.value == 0 || (u != nullptr && !view_.is_terminated(*u, now)))
            return t;
        excluded.push_back(t);
    }
}

std::vector<packet_decision> edge_router::probed(flow_token upstream, probe_result result,
                                                 time_point started, time_point now)
{
    std::vector<packet_decision> resets;
    if (!health_.probed(upstream, result, started, now))
        return resets;
    for (auto const& [ends, acknowledged] : flows_.flows_of(upstream))
    {
        packet_decision d;
        d.action = packet_action::reset;
        d.reason = packet_reason::upstream_silent;
        d.flow = ends;
        d.token = upstream;
        d.reset_sequence = acknowledged;
        resets.push_back(d);
        flows_.erase(ends, now);
    }
    return resets;
}

void edge_router::expire(time_point now)
{
    duration const limit = view_.idle_limit();
    flows_.expire(now, limit == duration{} ? default_idle_timeout : limit);
    owners_.expire(now);
    health_.expire(now);
    overload_.expire(now);
    capacity_.expire(now);
}

} // namespace chivelever
