#include "checker.hpp"

#include "world.hpp"

namespace chivelever::soak
{

namespace
{
constexpr sim_time act_time = 3 * second; // zone out, drain, leaving
constexpr sim_time propagation_time = 10 * second;
constexpr sim_time given_up_slack = 10 * second; // hosts may learn late that a zone is in again
std::string name(host_instance h)
{
    return "host " + std::to_string(h.host.value) + "/" + std::to_string(h.run.value);
}
} // namespace

void checker::lease(pool_id pool, host_instance holder, sim_time until)
{
    auto& holders = leases_[pool];
    if (until == 0)
    {
        holders.erase(holder);
        return;
    }
    holders[holder] = until;
    for (auto const& [other, end] : holders)
        if (other != holder && end > w_.sim.now())
            w_.sim.violation("two leases", name(holder) + " and " + name(other) + " for service " +
                                               std::to_string(pool.service.value) + " zone " +
                                               std::to_string(pool.zone.value) + ", overlap " +
                                               std::to_string(end - w_.sim.now()) + " us");
}

void checker::forget_leases(host_instance holder)
{
    for (auto& [pool, holders] : leases_)
        holders.erase(holder);
}

void checker::applied(host const& h, config_ptr const& config)
{
    if (h.reached({config->rev.value + 1}) != std::numeric_limits<sim_time>::max())
        w_.sim.violation("10 revision fell", name(h.self));
    if (config->rev.value == 0)
        return;
    auto const [i, fresh] = configs_.emplace(config->rev.value, config);
    if (fresh)
        w_.accepted_at[config->rev.value] = w_.sim.now();
    else if (!(*i->second == *config))
        w_.sim.violation("10 one change for each revision", name(h.self) +
                                                                " has another revision " +
                                                                std::to_string(config->rev.value));
}

template<class Reached>
bool checker::should_know(host const& h, sim_time time, Reached reached) const
{
    sim_time const start = w_.sim.now() - time;
    if (h.undisturbed_since() > start)
        return false;
    for (auto const& g : w_.hosts)
        if (g && g->undisturbed_since() <= start && reached(*g) <= start &&
            w_.net.connected_since(g->zone, h.zone) <= start)
            return true;
    return false;
}

// Rule 4: once zone-out has been in force for 3 s on a host that is connected, no packet of a
// caller goes to an upstream or a host of that zone from a host elsewhere, nor to its upstreams
// from its own hosts. Answers of its upstreams may still pass to callers.
void checker::sent(host const& from, packet_view const& p, endpoint to)
{
    server const* const s = w_.find_server(to);
    bool const to_host = to.address >> 24 == 0x0A;
    if (configs_.empty() || (s == nullptr && !to_host))
        return;
    zone_id const zone = s != nullptr ? s->zone() : w_.zones_of_hosts[(to.address & 0xFFFFU) - 1];
    if (s != nullptr && p.kind == packet_kind::request)
        if (upstream_config const* const u = from.table().owner_of(to))
            new_work(from, u->id, "request");
    for (zone_config const& z : latest().zones)
        if (z.id == zone && z.state == zone_state::out && p.kind != packet_kind::cancel &&
            should_know(from, act_time, [&](host const& g) { return g.reached(z.changed_at); }))
            w_.sim.violation("4 zone out", name(from.self) + " sends to zone " +
                                               std::to_string(zone.value) + ", kind " +
                                               std::to_string(static_cast<int>(p.kind)));
}

// The revision from which on the upstream is no longer active, if it is not.
revision checker::since_state(upstream_id id) const
{
    revision since;
    for (auto c = configs_.rbegin(); c != configs_.rend(); ++c)
    {
        auto const& all = c->second->upstreams;
        auto const u = std::find_if(all.begin(), all.end(),
                                    [id](upstream_config const& x) { return x.id == id; });
        if (u == all.end() ? since.value == 0 : u->state == upstream_state::active)
            break;
        since = c->second->rev;
    }
    return since;
}

// Rule 8: no request and no flow goes to an upstream that has been draining, retired or listed as
// leaving for 3 s on a host that is connected.
void checker::new_work(host const& from, upstream_id id, char const* what)
{
    if (revision const r = since_state(id);
        r.value != 0 && should_know(from, act_time, [&](host const& g) { return g.reached(r); }))
        w_.sim.violation("8 leaving upstream", std::string(what) + " from " + name(from.self) +
                                                   " to upstream " + std::to_string(id.value));
    for (listed_host const& l : w_.store.list.hosts)
        if (l.kind == listed_kind::upstream && l.id == id.value && l.state == host_state::leaving &&
            should_know(from, act_time,
                        [&](host const& g) { return g.reached_list(w_.listed_leaving[id.value]); }))
            w_.sim.violation("8 listed as leaving", std::string(what) + " from " + name(from.self) +
                                                        " to upstream " + std::to_string(id.value));
}

void checker::issued(host const& from, flow_id const& id)
{
    if (id.kind != flow_kind::request && !configs_.empty())
        new_work(from, id.upstream, "flow");
}

// Rule 6: a request that is answered not_run has not run and never will.
void checker::answered(host const& from, packet_view const& p)
{
    bool const not_run = p.status >= packet_status::not_run_overloaded &&
                         p.status <= packet_status::not_run_shutting_down;
    if (!not_run || p.flow_id.empty() ||
        (p.kind != packet_kind::refused && p.kind != packet_kind::answer))
        return;
    caller* const c = w_.find_caller(p.caller);
    submission_record* const s = c != nullptr ? c->submission_of(p.request.value) : nullptr;
    if (s == nullptr)
        return;
    s->refused = true;
    if (s->ran)
        w_.sim.violation("6 not_run", name(from.self) + " answers status " +
                                          std::to_string(static_cast<int>(p.status)) +
                                          " to a request that ran, idempotent " +
                                          std::to_string(w_.operations[s->operation].idempotent));
}

// Rule 1: a stream or upload is given up only if its zone is out, or was until a moment ago, or if
// its upstream's address has been given to another owner.
void checker::given_up(flow_id const& id, packet_status status)
{
    bool excused = false;
    for (auto c = configs_.rbegin(); c != configs_.rend() && !excused; ++c)
    {
        for (zone_config const& z : c->second->zones)
            excused = excused || (z.id == id.zone && z.state == zone_state::out);
        if (w_.accepted_at[c->first] < w_.sim.now() - given_up_slack)
            break;
    }
    auto const& all = latest().upstreams;
    excused =
        excused || std::none_of(all.begin(), all.end(),
                                [&](upstream_config const& u) { return u.id == id.upstream; });
    for (upstream_config const& u : all)
        excused = excused || (u.address == id.address && u.owner != id.upstream_owner);
    if (!excused)
        w_.sim.violation("1 given up", "flow to upstream " + std::to_string(id.upstream.value) +
                                           " zone " + std::to_string(id.zone.value) + " status " +
                                           std::to_string(static_cast<int>(status)));
}

// Rule 10: what one host has had in force for 10 s is in force on every host connected with it.
void checker::propagation()
{
    for (auto const& h : w_.hosts)
    {
        if (!h || !h->running())
            continue;
        revision const next{h->table().rev().value + 1};
        if (should_know(*h, propagation_time, [&](host const& g) { return g.reached(next); }))
            w_.sim.violation("10 propagation",
                             name(h->self) + " lacks revision " + std::to_string(next.value));
    }
}

} // namespace chivelever::soak
