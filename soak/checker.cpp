#include "checker.hpp"

#include "simulated_cluster.hpp"

namespace chivelever::soak
{

namespace
{
constexpr sim_time enforcement_limit =
    3 * second; // limit for zone out, drain and leaving to take effect
constexpr sim_time propagation_limit = 10 * second;
constexpr sim_time zone_return_tolerance =
    10 * second; // hosts may be late to learn that a zone has returned
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
        if (other != holder && end > cluster_.sim.now())
            cluster_.sim.violation("concurrent leases",
                                   name(holder) + " and " + name(other) + " for service " +
                                       std::to_string(pool.service.value) + " zone " +
                                       std::to_string(pool.zone.value) + ", overlap " +
                                       std::to_string(end - cluster_.sim.now()) + " us");
}

void checker::forget_leases(host_instance holder)
{
    for (auto& [pool, holders] : leases_)
        holders.erase(holder);
}

void checker::applied(host const& h, config_ptr const& config)
{
    if (h.reached({config->rev.value + 1}) != std::numeric_limits<sim_time>::max())
        cluster_.sim.violation("10 revision decreased", name(h.self));
    if (config->rev.value == 0)
        return;
    auto const [i, inserted] = configs_.emplace(config->rev.value, config);
    if (inserted)
        cluster_.accepted_at[config->rev.value] = cluster_.sim.now();
    else if (!(*i->second == *config))
        cluster_.sim.violation("10 conflicting revisions",
                               name(h.self) + " has a different configuration for revision " +
                                   std::to_string(config->rev.value));
}

template<class Reached>
bool checker::must_know(host const& h, sim_time time, Reached reached) const
{
    sim_time const start = cluster_.sim.now() - time;
    if (h.running_since() > start)
        return false;
    for (auto const& g : cluster_.hosts)
        if (g && g->running_since() <= start && reached(*g) <= start &&
            cluster_.net.connected_since(g->zone, h.zone) <= start)
            return true;
    return false;
}

// Rule 4: from 3 s after a connected host has applied the change that takes a zone out, hosts
// elsewhere send no caller packet to an upstream or host of that zone, and the zone's own hosts
// send none to its upstreams. Answers of its upstreams may still reach callers.
void checker::sent(host const& from, packet_view const& p, endpoint to)
{
    server const* const s = cluster_.find_server(to);
    bool const to_host = to.address >> 24 == 0x0A;
    if (configs_.empty() || (s == nullptr && !to_host))
        return;
    zone_id const zone = s != nullptr ? s->zone() : cluster_.host_zones[(to.address & 0xFFFFU) - 1];
    if (s != nullptr && p.kind == packet_kind::request)
        if (upstream_config const* const u = from.table().owner_of(to))
            check_new_work(from, u->id, "request");
    for (zone_config const& z : latest().zones)
        if (z.id == zone && z.state == zone_state::out && p.kind != packet_kind::cancel &&
            must_know(from, enforcement_limit,
                      [&](host const& g) { return g.reached(z.changed_at); }))
            cluster_.sim.violation("4 zone out", name(from.self) + " sends to zone " +
                                                     std::to_string(zone.value) + ", kind " +
                                                     std::to_string(static_cast<int>(p.kind)));
}

// Returns the revision since which the upstream has been inactive, or 0 if it is active or not in
// the latest configuration.
revision checker::inactive_since(upstream_id id) const
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

// Rule 8: no request or new flow goes to an upstream that a connected host has known as draining,
// retired or leaving for 3 s.
void checker::check_new_work(host const& from, upstream_id id, char const* what)
{
    if (revision const r = inactive_since(id);
        r.value != 0 &&
        must_know(from, enforcement_limit, [&](host const& g) { return g.reached(r); }))
        cluster_.sim.violation("8 leaving upstream", std::string(what) + " from " +
                                                         name(from.self) + " to upstream " +
                                                         std::to_string(id.value));
    for (listed_host const& l : cluster_.store.list.hosts)
        if (l.kind == listed_kind::upstream && l.id == id.value && l.state == host_state::leaving &&
            must_know(from, enforcement_limit,
                      [&](host const& g)
                      { return g.reached_list(cluster_.leaving_upstream_list_version[id.value]); }))
            cluster_.sim.violation("8 listed as leaving", std::string(what) + " from " +
                                                              name(from.self) + " to upstream " +
                                                              std::to_string(id.value));
}

void checker::issued(host const& from, flow_id const& id)
{
    if (id.kind != flow_kind::request && !configs_.empty())
        check_new_work(from, id.upstream, "flow");
}

// Rule 6: a request that is answered not_run has not run and will not run later.
void checker::answered(host const& from, packet_view const& p)
{
    bool const not_run = p.status >= packet_status::not_run_overloaded &&
                         p.status <= packet_status::not_run_shutting_down;
    if (!not_run || p.flow_id.empty() ||
        (p.kind != packet_kind::refused && p.kind != packet_kind::answer))
        return;
    caller* const c = cluster_.find_caller(p.caller);
    submission_record* const s = c != nullptr ? c->submission_of(p.request.value) : nullptr;
    if (s == nullptr)
        return;
    s->refused = true;
    if (s->ran)
        cluster_.sim.violation("6 not_run",
                               name(from.self) + " answers status " +
                                   std::to_string(static_cast<int>(p.status)) +
                                   " to a request that ran, idempotent " +
                                   std::to_string(cluster_.operations[s->operation].idempotent));
}

// Rule 1: a stream or upload is given up only if its zone is out or was so recently, if its
// upstream was removed, or if its upstream's address has another owner.
void checker::given_up(flow_id const& id, packet_status status)
{
    bool permitted = false;
    for (auto c = configs_.rbegin(); c != configs_.rend() && !permitted; ++c)
    {
        for (zone_config const& z : c->second->zones)
            permitted = permitted || (z.id == id.zone && z.state == zone_state::out);
        if (cluster_.accepted_at[c->first] < cluster_.sim.now() - zone_return_tolerance)
            break;
    }
    auto const& all = latest().upstreams;
    permitted =
        permitted || std::none_of(all.begin(), all.end(),
                                  [&](upstream_config const& u) { return u.id == id.upstream; });
    for (upstream_config const& u : all)
        permitted = permitted || (u.address == id.address && u.owner != id.upstream_owner);
    if (!permitted)
        cluster_.sim.violation("1 given up", "flow to upstream " +
                                                 std::to_string(id.upstream.value) + " zone " +
                                                 std::to_string(id.zone.value) + " status " +
                                                 std::to_string(static_cast<int>(status)));
}

// Rule 10: within 10 s after a host has applied a revision, every host connected to it applies it.
void checker::propagation()
{
    for (auto const& h : cluster_.hosts)
    {
        if (!h || !h->running())
            continue;
        revision const next{h->table().rev().value + 1};
        if (must_know(*h, propagation_limit, [&](host const& g) { return g.reached(next); }))
            cluster_.sim.violation("10 propagation",
                                   name(h->self) + " lacks revision " + std::to_string(next.value));
    }
}

} // namespace chivelever::soak
