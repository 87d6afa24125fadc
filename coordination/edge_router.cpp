#include "coordination/edge_router.hpp"

#include <algorithm>
#include <cstdlib>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// An unanswered SYN counts as a failure of its upstream after this time. A round trip across two
// zones takes 9 ms, and a SYN does not wait for a slot.
constexpr duration open_answer_timeout = 60ms;
// Interval between checks of an unanswered SYN.
constexpr duration pending_open_recheck = 20ms;
// Checks of an unanswered SYN end at this age, shortly before the caller retransmits it after 200
// ms. Each retransmission starts them again, and the next one follows after 400 ms.
constexpr duration max_pending_open_age = 190ms;
constexpr duration max_retransmitted_open_age = 380ms;
// The first upstream and two more, which is as many as the flow record can exclude.
constexpr std::uint32_t max_open_attempts = 3;
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
// Four times what a caller has in flight at most: 16 packets of 1,200 bytes.
constexpr std::int64_t max_sequence_distance = 76'800;
// Longer than callers keep idle flows; used until a configuration sets a limit.
constexpr duration default_idle_timeout = 60s;

} // namespace

std::string_view to_string(packet_reason r)
{
    constexpr std::array<std::string_view, packet_reason_count> names{
        "placed",    "offered_again",        "by_flow",       "by_token",        "not_loaded",
        "no_route",  "no_route_unconfirmed", "no_upstream",   "only_cold",       "unknown_token",
        "no_token",  "route_removed",        "upstream_gone", "upstream_silent", "bad_flags",
        "overloaded"};
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

bool edge_router::record_failure(flow_token upstream, std::uint64_t flow, time_point now)
{
    if (fleet_.recoveries != nullptr)
        fleet_.recoveries->record_failure(upstream, now);
    return health_.record_failure(upstream, now, flow);
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

packet_decision edge_router::handle(caller_packet const& p, std::string_view raw, time_point now)
{
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
    return p.syn ? handle_syn(p, raw, now) : handle_established(p, now);
}

packet_decision edge_router::handle_syn(caller_packet const& p, std::string_view raw,
                                        time_point now)
{
    flow_record* const flow = flows_.find(p.flow);
    if (flow != nullptr && flow->first_sequence == p.sequence)
        return handle_retransmitted_syn(*flow, p, raw, now);
    return place_flow(p, raw, now);
}

// A retransmitted SYN means that the caller has no answer. If the flow has opened in the meantime,
// the retransmission is outdated. Otherwise it moves only if there is another sign that the
// upstream is down or full: if only the SYN+ACK was lost, a second upstream would answer as well,
// and the caller would go on to echo the token of the one at which the flow is not open.
packet_decision edge_router::handle_retransmitted_syn(flow_record& flow, caller_packet const& p,
                                                      std::string_view raw, time_point now)
{
    packet_decision d;
    d.flow = p.flow;
    d.is_syn = true;
    d.open_attempts = flow.open_attempts;
    // In a SYN, `acknowledged` is the number of earlier transmissions.
    d.reason = packet_reason::by_flow;
    if (flow.phase == flow_phase::opening && p.acknowledged > 0 && view_.route(p.flow.destination))
    {
        std::uint64_t const id = hash_value(p.flow);
        flow_token const first = flow.upstream;
        if (health_.has_other_failure(first, id, flow.opened, now))
            d = retry_elsewhere(flow, p.flow, now);
        else
        {
            d.newly_suspected = record_failure(first, id, now);
            d.suspect = first;
        }
        // The failure of `first` is recorded; another upstream gets the time for its answer.
        bool const moved = flow.upstream != first;
        pending_opens_.emplace(now + (moved ? open_answer_timeout : pending_open_recheck),
                               pending_open{p.flow, p.sequence, first, std::string(raw),
                                            now + max_retransmitted_open_age});
    }
    return forward_to(d, flow.upstream);
}

packet_decision edge_router::retry_elsewhere(flow_record& flow, flow_endpoints const& key,
                                             time_point now)
{
    packet_decision d;
    d.flow = key;
    d.is_syn = true;
    d.newly_suspected = record_failure(flow.upstream, hash_value(key), now);
    d.suspect = flow.upstream;
    route_entry const* const route = view_.route(key.destination);
    if (flow.open_attempts < max_open_attempts && route != nullptr)
    {
        std::array<flow_token, 3> const excluded{flow.tried[0], flow.tried[1], flow.upstream};
        auto const choice =
            choose_upstream(place_.pick_service(*route, key), excluded, key.destination, now);
        if (choice.upstream.value != 0)
            flows_.reassign(flow, choice.upstream, now);
    }
    d.open_attempts = flow.open_attempts;
    d.reason = packet_reason::offered_again;
    return forward_to(d, flow.upstream);
}

placement_choice edge_router::choose_upstream(std::string const& service,
                                              std::span<flow_token const> excluded,
                                              endpoint destination, time_point now)
{
    return place_.choose({service, excluded, flows_.carries_long_flows(destination),
                          capacity_.placement_loads(service, now)},
                         view_, flows_, health_, fleet_, now);
}

packet_decision edge_router::place_flow(caller_packet const& p, std::string_view raw,
                                        time_point now)
{
    packet_decision d;
    d.flow = p.flow;
    d.is_syn = true;
    route_entry const* const route = view_.route(p.flow.destination);
    if (route == nullptr)
    {
        bool const recent = config_is_recent(now);
        d.action = recent ? packet_action::reset : packet_action::drop;
        d.reason = recent ? packet_reason::no_route : packet_reason::no_route_unconfirmed;
        return d;
    }
    std::string const& service = place_.pick_service(*route, p.flow);
    capacity_.record_opening(service, *route, now);
    bool const by_capacity = capacity_.applies_to(service);
    if (by_capacity)
        d.admission = capacity_.admit(service, *route, p.flow.caller, now);
    if (d.admission && !d.admission->admitted)
    {
        d.action = packet_action::reset;
        d.reason = packet_reason::overloaded;
        return d;
    }
    auto const choice = choose_upstream(service, {}, p.flow.destination, now);
    if (choice.upstream.value == 0)
    {
        // A cold upstream accepts more within a second, and the caller retransmits its SYN. With no
        // upstream at all, the flow is reset at once if the configuration is recent.
        bool const cold = choice.candidates > 0;
        d.action = cold || !config_is_recent(now) ? packet_action::drop : packet_action::reset;
        d.reason = cold ? packet_reason::only_cold_upstreams : packet_reason::no_upstream;
        return d;
    }
    if (!by_capacity && !overload_.admits(service, route->priority, p.flow.caller, now))
    {
        d.action = packet_action::reset;
        d.reason = packet_reason::overloaded;
        d.refused_share = overload_.refused_share(service, route->priority);
        return d;
    }
    flows_.open(p.flow, choice.upstream, p.sequence, now);
    pending_opens_.emplace(
        now + open_answer_timeout,
        pending_open{p.flow, p.sequence, {}, std::string(raw), now + max_pending_open_age});
    d.open_attempts = 1;
    d.reason = packet_reason::placed;
    return forward_to(d, choice.upstream);
}

// Whether the packet belongs to a later flow from the same address and port, which was opened
// through another host: it names another upstream and is far outside the recorded flow's window.
bool edge_router::is_replaced(flow_record const& flow, caller_packet const& p) const
{
    if (flow.phase == flow_phase::opening || p.token.value == 0 || p.token == flow.upstream ||
        view_.find(p.token) == nullptr)
        return false;
    auto const distance =
        static_cast<std::int64_t>(static_cast<std::int32_t>(p.sequence - flow.next_sequence));
    return std::abs(distance) > max_sequence_distance;
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
    if (!known)
    {
        if (p.token.value == 0 || p.rst || view_.find(p.token) == nullptr)
        {
            d.reason = p.token.value == 0 ? packet_reason::no_token : packet_reason::unknown_token;
            return p.rst && p.token.value != 0 ? forward_to(d, p.token) : d;
        }
        flow = &flows_.add_existing(p, now);
    }
    // The first packet after the handshake echoes the token of the upstream that the caller chose.
    // Later echoes may change when another upstream that received the same SYN answers as well.
    if (flow->phase == flow_phase::opening && p.token.value != 0 && p.token != flow->upstream &&
        view_.find(p.token) != nullptr)
        flows_.reassign(*flow, p.token, now);
    d.reason = known ? packet_reason::by_flow : packet_reason::by_token;
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
        d.newly_suspected = record_failure(flow.upstream, hash_value(p.flow), now);
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

// A missing answer alone does not move a SYN. If the fabric has just rerouted the flow to another
// host, the answer went there, and the answer of a second upstream would misdirect the caller's
// packets.
std::vector<syn_retry> edge_router::retries_due(time_point now)
{
    update_staleness(now);
    std::vector<syn_retry> out;
    while (!pending_opens_.empty() && pending_opens_.begin()->first <= now)
    {
        pending_open pending = std::move(pending_opens_.extract(pending_opens_.begin()).mapped());
        flow_record* const flow = flows_.find(pending.flow);
        if (flow == nullptr || flow->phase != flow_phase::opening ||
            flow->first_sequence != pending.sequence)
            continue;
        if (pending.failure_reported_for != flow->upstream)
            record_failure(flow->upstream, hash_value(pending.flow), now);
        pending.failure_reported_for = flow->upstream;
        time_point next = now + pending_open_recheck;
        if (health_.fails_probes(flow->upstream))
        {
            packet_decision const d = retry_elsewhere(*flow, pending.flow, now);
            if (d.action == packet_action::forward)
                out.push_back({d, pending.packet});
            next = now + open_answer_timeout;
        }
        if (flow->open_attempts < max_open_attempts && now < pending.check_until)
            pending_opens_.emplace(next, std::move(pending));
    }
    return out;
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

time_point edge_router::next_retry_at() const
{
    return pending_opens_.empty() ? time_point{} : pending_opens_.begin()->first;
}

void edge_router::expire(time_point now)
{
    duration const limit = view_.idle_limit();
    flows_.expire(now, limit == duration{} ? default_idle_timeout : limit);
    health_.expire(now);
    overload_.expire(now);
    capacity_.expire(now);
}

} // namespace chivelever
