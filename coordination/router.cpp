#include "coordination/router.hpp"

#include <algorithm>
#include <limits>

namespace chivelever
{

namespace
{

// Makes the ramp draw independent of the zone scores.
constexpr std::uint64_t ramp_hash_seed = 0x72616d70;
// Factor for the weight of a zone that already receives its share of opens, low enough that it is
// chosen only if no zone below its share is available.
constexpr double min_zone_weight_factor = 1e-6;

// Inputs of a routing decision.
struct decision_input
{
    packet_view const& packet;
    endpoint source;
    routing_table const& table;
    cluster_view const& view;
    zone_ramp const& ramp;
    std::uint64_t key;
    time_point now;
};

route drop(drop_reason reason)
{
    route r;
    r.reason = reason;
    return r;
}

route reply(packet_view const& p, packet_kind kind, packet_status status)
{
    if (!p.caller.is_set())
        return drop(drop_reason::no_caller);
    route r;
    r.action = route_action::reply;
    r.reply = kind;
    r.status = status;
    r.to = p.caller;
    return r;
}

route local(route_action action, pool_id pool)
{
    route r;
    r.action = action;
    r.pool = pool;
    return r;
}

// Packet address of a host; unset if the host is not alive, unknown or in a zone that is out.
endpoint packet_address(decision_input const& in, host_id host)
{
    if (cluster_entry const* const e = in.view.find(host))
        return e->alive && !in.table.zone_is_out(e->zone) ? e->packet : endpoint{};
    // A listed host that was never heard from may have just joined.
    listed_host const* const listed = in.table.find(host);
    return listed != nullptr && !in.table.zone_is_out(listed->zone) ? listed->packet : endpoint{};
}

route to_host(decision_input const& in, endpoint to)
{
    if (in.packet.hops >= max_hops)
        return drop(drop_reason::hop_limit);
    route r;
    r.action = route_action::to_host;
    r.to = to;
    return r;
}

// The only function that sets an upstream's address as destination. `owner` is the upstream that
// has the address in this host's table.
route to_upstream(route_action action, flow_id const& id, upstream_config const* owner)
{
    bool const same_service = owner == nullptr || owner->service == id.service;
    invariants::check(same_service, "a packet never reaches another service", "router");
    if (!same_service)
        return drop(drop_reason::other_service);
    route r;
    r.action = action;
    r.to = id.address;
    r.pool = {id.service, id.zone};
    r.upstream = id.upstream;
    return r;
}

enum class flow_id_state : std::uint8_t
{
    valid,
    gone,       // the address no longer belongs to the flow's upstream
    zone_out,   // operators took the upstream's zone out
    stale_table // this table is older than the id and contradicts it
};

// Whether a packet of this stream or upload may go to the address in the id.
flow_id_state check_flow_id(routing_table const& table, flow_id const& id,
                            upstream_config const* owner)
{
    if (table.rev() < id.config)
        // The issuer's newer table contained the address and the zone, so they are trusted unless
        // this table assigns the address to another service. A zone that was out at an earlier
        // revision must not end the flow.
        return owner != nullptr && owner->service != id.service ? flow_id_state::stale_table
                                                                : flow_id_state::valid;
    if (table.zone_is_out(id.zone))
        return flow_id_state::zone_out;
    upstream_config const* const u = table.find(id.upstream);
    if (u == nullptr || u->state == upstream_state::released || u->owner != id.upstream_owner ||
        u->service != id.service || u->address != id.address)
        return flow_id_state::gone;
    if (owner != u && owner != nullptr)
        return flow_id_state::gone; // retired, and the address has another owner
    return table.zone_is_out(u->zone) ? flow_id_state::zone_out : flow_id_state::valid;
}

// Closes go through the pool's holder, which counts the flows of each upstream, and on to the
// upstream from there. After one hop they are processed locally so that hosts with different views
// do not forward them in a loop.
route close_stream(decision_input const& in, flow_id const& id, upstream_config const* owner)
{
    cluster_entry const* const holder = in.view.holder({id.service, id.zone});
    bool const handled_here =
        in.packet.hops > 0 || (holder != nullptr && holder->instance == in.view.self());
    if (!handled_here && holder != nullptr && holder->packet.is_set())
        return to_host(in, holder->packet);
    return to_upstream(handled_here ? route_action::local_close : route_action::to_upstream, id,
                       owner);
}

route caller_to_upstream(decision_input const& in, flow_id const& id)
{
    packet_kind const kind = in.packet.kind;
    if (kind != packet_kind::data && kind != packet_kind::close)
        return drop(kind == packet_kind::request || kind == packet_kind::cancel
                        ? drop_reason::wrong_kind
                        : drop_reason::wrong_source);
    upstream_config const* const owner = in.table.owner_of(id.address);
    switch (check_flow_id(in.table, id, owner))
    {
    case flow_id_state::valid:
        return kind == packet_kind::close ? close_stream(in, id, owner)
                                          : to_upstream(route_action::to_upstream, id, owner);
    case flow_id_state::gone:
        return reply(in.packet, packet_kind::given_up, packet_status::upstream_gone);
    case flow_id_state::zone_out:
        return reply(in.packet, packet_kind::given_up, packet_status::zone_out);
    case flow_id_state::stale_table:
        break;
    }
    endpoint const issuer = packet_address(in, id.issuer.host);
    if (id.issuer.host == in.view.self().host || !issuer.is_set())
        // The caller retransmits, and the table is updated meanwhile.
        return drop(drop_reason::stale_table);
    return to_host(in, issuer);
}

// Streams and uploads: the id names the upstream, so any host can forward without state.
route decide_stream(decision_input const& in, flow_id const& id)
{
    packet_kind const kind = in.packet.kind;
    if (!in.packet.caller.is_set())
        return drop(drop_reason::no_caller);
    if (in.source != id.address)
        return caller_to_upstream(in, id);
    if (kind != packet_kind::data && kind != packet_kind::answer && kind != packet_kind::close &&
        kind != packet_kind::given_up)
        return drop(drop_reason::wrong_kind);
    route r;
    r.action = route_action::to_caller;
    r.to = in.packet.caller;
    return r;
}

// The id of a request flow names no upstream, so any upstream of the pool may answer; the pool
// matches the answer to the attempt.
route decide_answer(decision_input const& in, pool_id pool)
{
    auto const upstreams = in.table.pool(pool);
    bool const known = std::any_of(upstreams.begin(), upstreams.end(),
                                   [&](auto const* u) { return u->address == in.source; });
    return known ? local(route_action::local_answer, pool) : drop(drop_reason::wrong_source);
}

// The executor's incarnation is gone or presumed gone. Only it knows which requests ran. No other
// host runs them, not even idempotent ones: a frozen executor may still answer "not run" when it
// resumes, and that must remain true. The caller repeats an idempotent request in another flow.
route reply_without_executor(decision_input const& in)
{
    if (in.packet.kind == packet_kind::close)
        return drop(drop_reason::executor_gone);
    if (in.packet.idempotent)
        return reply(in.packet, packet_kind::given_up, packet_status::upstream_gone);
    return reply(in.packet, packet_kind::answer, packet_status::outcome_unknown);
}

// Request flows: requests, cancels and closes go to the executor, the host instance that issued the
// id.
route decide_request(decision_input const& in, flow_id const& id)
{
    pool_id const pool{id.service, id.zone};
    route_action action{};
    switch (in.packet.kind)
    {
    case packet_kind::answer:
        return decide_answer(in, pool);
    case packet_kind::request:
        action = route_action::local_request;
        break;
    case packet_kind::cancel:
        action = route_action::local_cancel;
        break;
    case packet_kind::close:
        action = route_action::local_close;
        break;
    default:
        return drop(drop_reason::wrong_kind);
    }
    if (!in.packet.caller.is_set())
        return drop(drop_reason::no_caller);
    if (in.table.zone_is_out(id.zone))
        return in.packet.kind == packet_kind::close
                   ? drop(drop_reason::zone_out)
                   : reply(in.packet, packet_kind::given_up, packet_status::zone_out);
    if (id.issuer == in.view.self())
        return local(action, pool);
    // A live host is tried even if its incarnation differs in this view: the view may lag behind a
    // restart, and the host itself knows its incarnation. A packet that was already forwarded to a
    // host other than the executor's must not be sent back.
    bool const final_host = id.issuer.host == in.view.self().host || in.packet.hops > 0;
    endpoint const executor = final_host ? endpoint{} : packet_address(in, id.issuer.host);
    return executor.is_set() ? to_host(in, executor) : reply_without_executor(in);
}

// Slots that a zone offers to new work of the service, disregarding its ramp.
double available_slots(decision_input const& in, zone_id zone)
{
    return in.table.zone_is_out(zone) ? 0 : in.table.capacity({in.packet.service, zone});
}

// Slots of all zones, and the live hosts over which the fabric distributes packets.
struct fleet_totals
{
    double slots{};
    double hosts{};
};

fleet_totals totals(decision_input const& in, std::span<zone_id const> zones)
{
    fleet_totals t;
    for (zone_id const zone : zones)
        t.slots += available_slots(in, zone);
    for (zone_config const& z : in.table.config().zones)
        t.hosts += z.state == zone_state::out ? 0 : static_cast<double>(in.view.live_hosts(z.id));
    return t;
}

// Preference of a zone for one open, higher first; negative if the zone takes none. New work is
// distributed in proportion to slots: the local zone keeps its fair share of the opens that arrive
// in it, and the surplus goes to zones that receive less than their share. The local zone scores
// infinity if it keeps the open and 0 if it passes the open on. If all opens stay local, upstreams
// are overloaded in zones with few of them: with 2, 1 and 1 upstreams per zone, the maximum load is
// 1.33 times the mean.
double zone_score(decision_input const& in, zone_id zone, fleet_totals const& all, bool spill)
{
    double const share = all.slots <= 0 ? 0 : available_slots(in, zone) / all.slots;
    if (share <= 0)
        return -1;
    double const ramp = in.ramp.share(zone, in.now);
    double const arrivals =
        all.hosts <= 0 ? 1 : static_cast<double>(in.view.live_hosts(zone)) / all.hosts;
    if (zone != in.view.zone())
        return rendezvous_score(
            in.key, zone.value,
            std::max(share * ramp - arrivals, share * ramp * min_zone_weight_factor));
    // For an open forwarded by another host, that host has already made the random choice below.
    double const kept_share = share >= arrivals ? ramp : ramp * share / arrivals;
    if (!spill || in.packet.hops > 0 || kept_share >= 1)
        return std::numeric_limits<double>::infinity();
    double const draw = static_cast<double>(hash_pair(in.key, ramp_hash_seed)) /
                        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return draw < kept_share ? std::numeric_limits<double>::infinity() : 0;
}

struct zone_choice
{
    std::optional<zone_id> zone;             // best zone
    std::optional<zone_id> zone_with_holder; // best zone that has a holder
    cluster_entry const* holder{};
};

// Prefers the local zone, otherwise in proportion to slots. A zone without a live host may be
// partitioned off, so zones with a holder come first.
zone_choice choose_zone(decision_input const& in)
{
    service_id const service = in.packet.service;
    auto const zones = in.table.zones_of(service);
    bool const spill =
        effective_value(in.table.config(), setting::spill_to_other_zones, service) != 0;
    bool const serves_own_zone =
        std::find(zones.begin(), zones.end(), in.view.zone()) != zones.end();
    fleet_totals const all = totals(in, zones);
    zone_choice best;
    // Most opens stay in the local zone; this skips scoring the other zones.
    if (serves_own_zone &&
        zone_score(in, in.view.zone(), all, spill) == std::numeric_limits<double>::infinity())
        if (cluster_entry const* const holder = in.view.holder({service, in.view.zone()}))
            return {in.view.zone(), in.view.zone(), holder};
    double best_score = -1;
    double best_score_with_holder = -1;
    for (zone_id const zone : zones)
    {
        if (!spill && serves_own_zone && zone != in.view.zone())
            continue;
        double const score = zone_score(in, zone, all, spill);
        if (score > best_score)
        {
            best.zone = zone;
            best_score = score;
        }
        if (score <= best_score_with_holder)
            continue;
        if (cluster_entry const* const holder = in.view.holder({service, zone}))
        {
            best.zone_with_holder = zone;
            best.holder = holder;
            best_score_with_holder = score;
        }
    }
    return best;
}

route decide_open(decision_input const& in)
{
    packet_view const& p = in.packet;
    if (!p.caller.is_set())
        return drop(drop_reason::no_caller);
    if (p.flow < flow_kind::stream || p.flow > flow_kind::request)
        return drop(drop_reason::wrong_kind);
    if (in.table.find(p.service) == nullptr)
        return reply(p, packet_kind::refused, packet_status::unknown_service);
    zone_choice const choice = choose_zone(in);
    if (!choice.zone)
        return reply(p, packet_kind::refused, packet_status::not_run_no_upstream);
    if (choice.zone_with_holder)
    {
        if (choice.holder->instance == in.view.self())
            return local(route_action::local_open, {p.service, *choice.zone_with_holder});
        if (p.hops < max_hops && choice.holder->packet.is_set())
            return to_host(in, choice.holder->packet);
    }
    if (p.flow == flow_kind::request)
        return reply(p, packet_kind::refused,
                     choice.zone_with_holder ? packet_status::not_run_moved
                                             : packet_status::not_run_no_upstream);
    return router::fallback_open(
        p, in.table, {p.service, choice.zone_with_holder.value_or(*choice.zone)}, in.key);
}

} // namespace

std::string_view to_string(drop_reason reason)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(drop_reason::count)> names{
        "none",         "forged",    "wrong_kind",  "wrong_source",  "service_mismatch",
        "no_caller",    "hop_limit", "stale_table", "executor_gone", "zone_out",
        "other_service"};
    auto const i = static_cast<std::size_t>(reason);
    return i < names.size() ? names[i] : "unknown";
}

zone_ramp zone_ramp::updated(routing_table const& table, time_point now) const
{
    zone_ramp next;
    for (zone_config const& z : table.config().zones)
    {
        if (z.state != zone_state::returning)
            continue;
        auto const known = std::find_if(returning_.begin(), returning_.end(),
                                        [&](entry const& e)
                                        { return e.zone == z.id && e.changed_at == z.changed_at; });
        auto const seconds = effective_value(table.config(), setting::zone_ramp_seconds, {}, z.id);
        next.returning_.push_back({z.id, z.changed_at,
                                   known == returning_.end() ? now : known->since,
                                   std::chrono::seconds(seconds)});
    }
    return next;
}

double zone_ramp::share(zone_id zone, time_point now) const
{
    for (entry const& e : returning_)
    {
        if (e.zone != zone)
            continue;
        if (now >= e.since + e.length)
            return 1;
        double const progress =
            static_cast<double>((now - e.since).count()) / static_cast<double>(e.length.count());
        return first_share + (1 - first_share) * std::max(progress, 0.0);
    }
    return 1;
}

route router::decide(packet_view const& p, endpoint source, routing_table const& table,
                     cluster_view const& view, zone_ramp const& ramp, std::uint64_t key,
                     time_point now) const
{
    decision_input const in{p, source, table, view, ramp, key, now};
    if (p.kind == packet_kind::open)
        return decide_open(in);
    if (p.kind == packet_kind::opened || p.kind == packet_kind::refused)
        return drop(drop_reason::wrong_kind);
    auto const id = table.signer().verify(p.flow_id);
    if (!id)
        return drop(drop_reason::forged);
    if (p.service.value != 0 && p.service != id->service)
        return drop(drop_reason::service_mismatch);
    route r;
    if (id->kind == flow_kind::request)
        r = decide_request(in, *id);
    else if (id->kind == flow_kind::stream || id->kind == flow_kind::upload)
        r = decide_stream(in, *id);
    else
        r = drop(drop_reason::wrong_kind);
    r.id = *id;
    return r;
}

route router::fallback_open(packet_view const& p, routing_table const& table, pool_id pool,
                            std::uint64_t key)
{
    upstream_config const* best = nullptr;
    double best_score = 0;
    for (upstream_config const* const u : table.pool(pool))
    {
        if (!table.takes_new_work(*u))
            continue;
        double const weight = static_cast<double>(
            effective_value(table.config(), setting::weight, u->service, u->zone, u->id));
        double const score = rendezvous_score(key, u->id.value, weight);
        if (score > best_score)
        {
            best = u;
            best_score = score;
        }
    }
    if (best == nullptr)
        return reply(p, packet_kind::refused, packet_status::not_run_no_upstream);
    route r = local(route_action::local_fallback_open, pool);
    r.upstream = best->id;
    return r;
}

flow_id flow_issuer::next(flow_kind kind, routing_table const& table)
{
    flow_id id;
    id.kind = kind;
    id.key_epoch = static_cast<std::uint8_t>(table.signer().epoch());
    id.issuer = self_;
    id.config = table.rev();
    id.serial = serial_.fetch_add(1, std::memory_order_relaxed);
    return id;
}

encoded_flow_id flow_issuer::stream(flow_kind kind, upstream_config const& upstream,
                                    routing_table const& table)
{
    flow_id id = next(kind, table);
    id.zone = upstream.zone;
    id.service = upstream.service;
    id.upstream = upstream.id;
    id.upstream_owner = upstream.owner;
    id.address = upstream.address;
    return table.signer().sign(id);
}

encoded_flow_id flow_issuer::request(pool_id pool, std::uint32_t expires_ms,
                                     routing_table const& table)
{
    flow_id id = next(flow_kind::request, table);
    id.zone = pool.zone;
    id.service = pool.service;
    id.expires_ms = expires_ms;
    return table.signer().sign(id);
}

} // namespace chivelever
