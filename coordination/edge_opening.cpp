// Opening of flows: where a SYN and its retransmissions are sent. Part of edge_router.
#include "coordination/edge_router.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// An unanswered SYN counts as a failure of its upstream after this time. A round trip across two
// zones takes 9 ms, and a SYN does not wait for a slot.
constexpr duration open_answer_timeout = 60ms;
// A copy of a SYN that arrives earlier after the SYN was sent on is no failure of the upstream.
constexpr duration min_answer_time = 20ms;
// Interval between checks of an unanswered SYN.
constexpr duration pending_open_recheck = 20ms;
// Checks of an unanswered SYN end at this age, shortly before the caller retransmits it after 200
// ms. Each retransmission starts them again, and the next one follows after 400 ms.
constexpr duration max_pending_open_age = 190ms;
constexpr duration max_retransmitted_open_age = 380ms;
// The first upstream and two more, which is as many as the flow record can exclude.
constexpr std::uint32_t max_open_attempts = 3;
// Times at which a caller sends a SYN and its copies, and when it gives up, from the first one.
constexpr std::array<duration, 3> syn_copy_times{0ms, 200ms, 600ms};
constexpr duration opening_time_limit = 1400ms;
// The caller of a SYN that waited at the socket for this long has sent a copy, or is about to.
constexpr duration min_doubtful_wait = 180ms;

} // namespace

// Copies of one SYN must reach one upstream whichever host receives them. If this host does not
// know the flow although an earlier copy may have gone through another one, the zone is asked
// first.
packet_decision edge_router::handle_syn(received_packet const& in, time_point now)
{
    caller_packet const& p = in.header;
    flow_record* const flow = flows_.find(p.flow);
    if (flow != nullptr && is_copy_of(*flow, p.sequence))
        return handle_retransmitted_syn(*flow, in, now);
    packet_decision d;
    d.flow = p.flow;
    d.is_syn = true;
    // In a SYN, `acknowledged` is the number of earlier transmissions.
    std::size_t const copy = std::min<std::size_t>(p.acknowledged, syn_copy_times.size() - 1);
    d.reason = packet_reason::outdated_syn;
    if (owners_.find(p.flow, p.sequence).value != 0 ||
        syn_copy_times[copy] + in.waited >= opening_time_limit)
        return d;
    if (copy == 0 && in.waited < min_doubtful_wait)
        return place_flow(p, in.bytes, now);
    d.reason = packet_reason::asking_zone;
    if (fleet_.hosts_in_zone > 1 && owners_.hold(p, in.bytes, now))
        return d;
    return place_contested_flow(p, in.bytes, now);
}

// Whether a SYN with this sequence number is a copy of the one that opened the flow. The first
// sequence number of a flow that was opened through another host is not known exactly.
bool edge_router::is_copy_of(flow_record const& flow, std::uint32_t sequence)
{
    return flow.first_sequence == sequence ||
           (flow.phase != flow_phase::opening && in_sequence_window(sequence, flow.next_sequence));
}

// A retransmitted SYN means that the caller has no answer. If the flow has opened in the meantime,
// the retransmission is outdated. Otherwise it moves only if a probe shows that the upstream is
// down or full: if only the SYN+ACK was lost or late, a second upstream would answer as well, and
// the caller would go on to echo the token of the one at which the flow is not open.
packet_decision edge_router::handle_retransmitted_syn(flow_record& flow, received_packet const& in,
                                                      time_point now)
{
    caller_packet const& p = in.header;
    packet_decision d;
    d.flow = p.flow;
    d.is_syn = true;
    d.open_attempts = flow.open_attempts;
    d.reason = packet_reason::by_flow;
    if (flow.phase != flow_phase::opening || p.acknowledged == 0 ||
        !view_.route(p.flow.destination))
        return forward_to(d, flow.upstream);
    flow_token const first = flow.upstream;
    // A copy that was sent before the upstream could answer says nothing about it: this host may
    // have read the SYN and the copy together.
    bool const unanswered = now - in.waited - flow.offered_at >= min_answer_time;
    if (health_.shows_failure(first, now))
        d = retry_elsewhere(flow, p.flow, now);
    else if (unanswered)
    {
        d.newly_suspected = record_failure(first, now);
        d.suspect = first;
    }
    time_point const next =
        std::max(flow.offered_at + open_answer_timeout, now + pending_open_recheck);
    bool const recorded = unanswered || flow.upstream != first;
    pending_opens_.emplace(next,
                           pending_open{p.flow, p.sequence, recorded ? first : flow_token{},
                                        std::string(in.bytes), now + max_retransmitted_open_age});
    return forward_to(d, flow.upstream);
}

packet_decision edge_router::retry_elsewhere(flow_record& flow, flow_endpoints const& key,
                                             time_point now)
{
    packet_decision d;
    d.flow = key;
    d.is_syn = true;
    d.newly_suspected = record_failure(flow.upstream, now);
    d.suspect = flow.upstream;
    route_entry const* const route = view_.route(key.destination);
    if (flow.open_attempts < max_open_attempts && route != nullptr)
    {
        std::array<flow_token, 3> const excluded{flow.tried[0], flow.tried[1], flow.upstream};
        auto const choice =
            choose_upstream(place_.pick_service(*route, key), excluded, key.destination, now);
        if (choice.upstream.value != 0)
        {
            flows_.reassign(flow, choice.upstream, now);
            owners_.report({key, flow.first_sequence, choice.upstream, false}, now);
        }
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

// An earlier copy of the SYN may have reached an upstream through a host that does not answer.
packet_decision edge_router::place_contested_flow(caller_packet const& p, std::string_view raw,
                                                  time_point now)
{
    packet_decision const d = place_flow(p, raw, now);
    if (d.action == packet_action::forward)
        owners_.report({p.flow, p.sequence, d.token, false}, now);
    return d;
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
            record_failure(flow->upstream, now);
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
    for (held_syn& syn : owners_.take_unanswered(now))
    {
        packet_decision const d = place_contested_flow(syn.header, syn.packet, now);
        out.push_back({d, std::move(syn.packet)});
    }
    return out;
}

std::optional<syn_retry> edge_router::learn(flow_owner const& owner, time_point now)
{
    auto syn = owners_.learn(owner, now);
    flow_record* const flow = flows_.find(owner.flow);
    if (flow != nullptr && flow->first_sequence == owner.first_sequence)
    {
        bool const is_opening = flow->phase == flow_phase::opening;
        if (owner.open && is_opening && flow->upstream != owner.upstream &&
            view_.find(owner.upstream) != nullptr)
            flows_.reassign(*flow, owner.upstream, now);
        // The flow has opened through this host, which did not know that another one would move it.
        if (!owner.open && !is_opening && owners_.find(owner.flow, owner.first_sequence).value == 0)
            owners_.report({owner.flow, owner.first_sequence, flow->upstream, true}, now);
    }
    // The caller of an open flow needs no answer to its SYN.
    if (!syn || owner.open)
        return std::nullopt;
    packet_decision d;
    d.flow = owner.flow;
    d.is_syn = true;
    if (view_.find(owner.upstream) == nullptr)
        d = place_contested_flow(syn->header, syn->packet, now);
    else
    {
        flows_.open(owner.flow, owner.upstream, owner.first_sequence, now);
        pending_opens_.emplace(now + open_answer_timeout,
                               pending_open{owner.flow,
                                            owner.first_sequence,
                                            {},
                                            syn->packet,
                                            now + max_retransmitted_open_age});
        d.open_attempts = 1;
        d.reason = packet_reason::by_report;
        d = forward_to(d, owner.upstream);
    }
    return syn_retry{d, std::move(syn->packet)};
}

std::optional<flow_owner> edge_router::owner_of(flow_owner const& asked)
{
    flow_owner out = asked;
    flow_record const* const flow = flows_.find(asked.flow);
    if (flow != nullptr && is_copy_of(*flow, asked.first_sequence))
    {
        out.upstream = flow->upstream;
        out.open = flow->phase != flow_phase::opening;
        return out;
    }
    out.upstream = owners_.find(asked.flow, asked.first_sequence);
    out.open = true;
    return out.upstream.value != 0 ? std::optional(out) : std::nullopt;
}

time_point edge_router::next_retry_at() const
{
    time_point const check = pending_opens_.empty() ? time_point{} : pending_opens_.begin()->first;
    time_point const deadline = owners_.next_deadline();
    if (check == time_point{} || deadline == time_point{})
        return std::max(check, deadline);
    return std::min(check, deadline);
}

} // namespace chivelever
