#include "coordination/edge_router.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// An opening without an answer for this long makes its upstream doubtful. A round trip over two
// zones takes 9 ms, and an opening waits for no slot.
constexpr duration doubt_opening_after = 60ms;
// How often a doubtful opening is looked at, and when the caller's own copy takes over.
constexpr duration look_again_after = 20ms;
constexpr duration copy_after = 190ms;
// The upstream of an opening, and two more: the flow record remembers no more of them.
constexpr std::uint32_t most_offers = 3;
// An unknown route is refused only under a configuration that was confirmed this recently; an older
// one may lack a route that was just added.
constexpr duration confirmed_within = 2s;
// No answer to any request of an upstream for this long is worth a probe. Most requests take 20 to
// 60 ms, few more than 100 ms.
constexpr duration stall_limit = 100ms;
// Flows idle for longer than callers keep them; used until a configuration says its own limit.
constexpr duration default_idle = 60s;

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

bool edge_router::confirmed(time_point now) const
{
    return now - view_.version().confirmed_at < confirmed_within;
}

packet_decision edge_router::deliver(packet_decision d, flow_token token) const
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
    if (p.syn && (p.ack || p.fin || p.rst))
    {
        d.reason = packet_reason::bad_flags;
        return d;
    }
    return p.syn ? handle_opening(p, raw, now) : handle_open(p, now);
}

packet_decision edge_router::handle_opening(caller_packet const& p, std::string_view raw,
                                            time_point now)
{
    flow_record* const flow = flows_.find(p.flow);
    if (flow != nullptr && flow->first_sequence == p.sequence)
        return handle_copy(*flow, p, now);
    return place_new(p, raw, now);
}

// A copy says that the earlier openings were not answered. The flow may have opened meanwhile, and
// then the copy is old news and must not open a second one elsewhere.
packet_decision edge_router::handle_copy(flow_record& flow, caller_packet const& p, time_point now)
{
    packet_decision d;
    d.flow = p.flow;
    d.opens = true;
    d.offers = flow.offers;
    if (flow.phase == flow_phase::opening && p.acknowledged > 0 && view_.route(p.flow.destination))
        return offer_elsewhere(flow, p.flow, now);
    d.reason = packet_reason::by_flow;
    return deliver(d, flow.upstream);
}

packet_decision edge_router::offer_elsewhere(flow_record& flow, flow_ends const& key,
                                             time_point now)
{
    packet_decision d;
    d.flow = key;
    d.opens = true;
    d.newly_suspected = health_.failure(flow.upstream, now);
    d.suspect = flow.upstream;
    route_entry const* const route = view_.route(key.destination);
    if (flow.offers < most_offers && route != nullptr)
    {
        std::array<flow_token, 3> const excluded{flow.tried[0], flow.tried[1], flow.upstream};
        auto const choice = place_.choose(
            {place_.pick_service(*route, key), excluded, flows_.carries_many(key.destination)},
            view_, flows_, health_, fleet_, now);
        if (choice.upstream.value != 0)
            flows_.offer(flow, choice.upstream, now);
    }
    d.offers = flow.offers;
    d.reason = packet_reason::offered_again;
    return deliver(d, flow.upstream);
}

packet_decision edge_router::place_new(caller_packet const& p, std::string_view raw, time_point now)
{
    packet_decision d;
    d.flow = p.flow;
    d.opens = true;
    route_entry const* const route = view_.route(p.flow.destination);
    if (route == nullptr)
    {
        bool const sure = confirmed(now);
        d.action = sure ? packet_action::reset : packet_action::drop;
        d.reason = sure ? packet_reason::no_route : packet_reason::no_route_unconfirmed;
        return d;
    }
    std::string const& service = place_.pick_service(*route, p.flow);
    auto const choice = place_.choose({service, {}, flows_.carries_many(p.flow.destination)}, view_,
                                      flows_, health_, fleet_, now);
    if (choice.upstream.value == 0)
    {
        // A cold upstream bears more within a second, and the caller repeats its opening; with no
        // upstream at all the caller is told at once.
        bool const cold = choice.candidates > 0;
        d.action = cold || !confirmed(now) ? packet_action::drop : packet_action::reset;
        d.reason = cold ? packet_reason::only_cold_upstreams : packet_reason::no_upstream;
        return d;
    }
    if (!overload_.admits(service, route->priority, p.flow.caller, now))
    {
        d.action = packet_action::reset;
        d.reason = packet_reason::overloaded;
        d.refused_share = overload_.refused_share(service, route->priority);
        return d;
    }
    flows_.open(p.flow, choice.upstream, p.sequence, now);
    waiting_.emplace(now + doubt_opening_after,
                     waiting_offer{p.flow, p.sequence, {}, std::string(raw)});
    d.offers = 1;
    d.reason = packet_reason::placed;
    return deliver(d, choice.upstream);
}

packet_decision edge_router::handle_open(caller_packet const& p, time_point now)
{
    packet_decision d;
    d.flow = p.flow;
    d.reset_sequence = p.acknowledged;
    flow_record* flow = flows_.find(p.flow);
    bool const known = flow != nullptr;
    if (!known)
    {
        if (p.token.value == 0 || p.rst || view_.find(p.token) == nullptr)
        {
            d.reason = p.token.value == 0 ? packet_reason::no_token : packet_reason::unknown_token;
            return p.rst && p.token.value != 0 ? deliver(d, p.token) : d;
        }
        flow = &flows_.adopt(p, now);
    }
    // The first packet after the handshake echoes the upstream that the caller chose; an answer of
    // another upstream that was offered the opening as well may change later echoes.
    if (flow->phase == flow_phase::opening && p.token.value != 0 && p.token != flow->upstream &&
        view_.find(p.token) != nullptr)
        flows_.offer(*flow, p.token, now);
    d.reason = known ? packet_reason::by_flow : packet_reason::by_token;
    learn(d, *flow, p, now);
    if (p.rst)
    {
        d = deliver(d, flow->upstream);
        flows_.erase(p.flow, now);
        return d;
    }
    known_upstream const* const u = view_.find(flow->upstream);
    packet_reason ended = d.reason;
    if (view_.route_removed(p.flow.destination))
        ended = packet_reason::route_removed;
    else if (u != nullptr && view_.surely_gone(*u, now))
        ended = packet_reason::upstream_gone;
    else if (p.data_bytes > 0 && health_.verdict(flow->upstream, now) == upstream_verdict::silent)
        ended = packet_reason::upstream_silent;
    if (ended == d.reason)
        return deliver(d, flow->upstream);
    d.action = packet_action::reset;
    d.reason = ended;
    d.token = flow->upstream;
    flows_.erase(p.flow, now);
    return d;
}

void edge_router::learn(packet_decision& d, flow_record& flow, caller_packet const& p,
                        time_point now)
{
    d.seen = flows_.observe(flow, p, now);
    if (d.seen.answer_time)
    {
        route_entry const* const route = view_.route(p.flow.destination);
        known_upstream const* const u = view_.find(flow.upstream);
        if (route != nullptr && u != nullptr)
            overload_.answered(u->entry.service, *d.seen.answer_time, route->latency_objective,
                               now);
    }
    if (d.seen.answered)
        health_.progress(flow.upstream, now);
    else if (d.seen.repeated)
    {
        d.newly_suspected = health_.failure(flow.upstream, now);
        d.suspect = flow.upstream;
    }
}

// Silence alone does not move an opening: where routers have just moved the flow to another host,
// its answer went there, and the answer of a second upstream would lead the caller's packets
// astray.
std::vector<repeated_offer> edge_router::due(time_point now)
{
    std::vector<repeated_offer> out;
    while (!waiting_.empty() && waiting_.begin()->first <= now)
    {
        waiting_offer w = std::move(waiting_.extract(waiting_.begin()).mapped());
        flow_record* const flow = flows_.find(w.flow);
        if (flow == nullptr || flow->phase != flow_phase::opening ||
            flow->first_sequence != w.sequence)
            continue;
        if (w.doubted != flow->upstream)
            health_.failure(flow->upstream, now);
        w.doubted = flow->upstream;
        time_point next = now + look_again_after;
        if (health_.fails_probes(flow->upstream))
        {
            packet_decision const d = offer_elsewhere(*flow, w.flow, now);
            if (d.action == packet_action::forward)
                out.push_back({d, w.packet});
            next = now + doubt_opening_after;
        }
        if (flow->offers < most_offers && now - flow->opened < copy_after)
            waiting_.emplace(next, std::move(w));
    }
    return out;
}

std::vector<flow_token> edge_router::probes_due(time_point now)
{
    for (flow_token const t : flows_.stalled(now, stall_limit))
        health_.stalled(t, now);
    return health_.probes_due(now);
}

flow_token edge_router::control_for(flow_token upstream, time_point now) const
{
    return health_.control_for(upstream, now);
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

time_point edge_router::next_due() const
{
    return waiting_.empty() ? time_point{} : waiting_.begin()->first;
}

void edge_router::expire(time_point now)
{
    duration const limit = view_.idle_limit();
    flows_.expire(now, limit == duration{} ? default_idle : limit);
    health_.expire(now);
    overload_.expire(now);
}

} // namespace chivelever
