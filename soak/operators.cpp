// Operators: changes of the configuration, some of which race.
#include "chaos.hpp"

#include <algorithm>

namespace chivelever::soak
{

namespace
{
constexpr sim_time mean_change = 1'200 * ms;
constexpr sim_time key_pause = 25 * second; // a flow may live through two rotations
constexpr sim_time ask_again = 2 * second;
constexpr int max_tries = 20;
// Packets of ended flows that are still under way have arrived after this time.
constexpr sim_time last_packets = second;

upstream_config const* any_in_state(simulation& sim, fleet_config const& c, upstream_state state)
{
    std::vector<upstream_config const*> fit;
    for (upstream_config const& u : c.upstreams)
        if (u.state == state)
            fit.push_back(&u);
    return fit.empty() ? nullptr : fit[sim.below(fit.size())];
}
} // namespace

// What status queries to all listed hosts show at this moment; a host that does not answer counts
// as having nothing in force.
revision chaos::in_force(host const& at) const
{
    revision lowest = all_in_force;
    for (listed_host const& l : at.table().hosts().hosts)
    {
        if (l.kind != listed_kind::entry)
            continue;
        host const& h = *w_.hosts[l.id - 1];
        bool const answers =
            h.running() && !w_.net.is_cut(at.zone, h.zone) && !w_.net.is_cut(h.zone, at.zone);
        lowest = std::min(lowest, answers ? h.table().rev() : revision{});
    }
    return lowest;
}

bool chaos::submit(host& at, std::vector<operation> operations, std::string id)
{
    config_change change{{},
                         id.empty() ? change_id() : std::move(id),
                         "ana",
                         "soak",
                         1'700'000'000'000,
                         std::move(operations)};
    submit_result const r = at.submit(std::move(change), in_force(at));
    sim_.note(static_cast<std::uint64_t>(r.status), r.rev.value);
    w_.count.changes += r.status == submit_status::accepted ? 1 : 0;
    sim_.log("change at host " + std::to_string(at.self.host.value) + ": " +
             (r.status == submit_status::accepted
                  ? "accepted as " + std::to_string(r.rev.value)
                  : "status " + std::to_string(static_cast<int>(r.status))));
    return r.status == submit_status::accepted;
}

void chaos::operate()
{
    if (w_.quiet)
        return;
    if (sim_.chance(0.3) && !w_.store.down)
        w_.store.keep();
    if (auto const at = any_running(); at && at->table().rev().value > 0)
    {
        auto operations = choose(at->table().config());
        if (!operations.empty())
            submit(*at, std::move(operations));
    }
    sim_.after(sim_.chance(0.2) ? sim_.between(0, 5 * ms) : sim_.exponential(mean_change),
               [this] { operate(); });
}

std::vector<operation> chaos::choose(fleet_config const& c)
{
    std::uint64_t const draw = sim_.below(100);
    if (draw < 20)
    {
        auto const* const u = any_in_state(sim_, c, upstream_state::active);
        auto const left =
            std::count_if(c.upstreams.begin(), c.upstreams.end(),
                          [](auto const& x) { return x.state == upstream_state::active; });
        if (u != nullptr && left > static_cast<long>(w_.servers.size() / 2))
            return {set_upstream_state{u->name, upstream_state::draining}};
    }
    else if (draw < 35)
    {
        if (auto const* const u = any_in_state(sim_, c, upstream_state::draining))
            return {set_upstream_state{u->name, upstream_state::active}};
    }
    else if (draw < 45)
    {
        if (auto const* const u = any_in_state(sim_, c, upstream_state::draining))
            return {set_upstream_state{u->name, upstream_state::retired}};
    }
    else if (draw < 52)
    {
        auto const* const u = any_in_state(sim_, c, upstream_state::retired);
        bool const used =
            u != nullptr && std::any_of(w_.callers.begin(), w_.callers.end(),
                                        [u](auto const& x) { return x->uses(u->address); });
        if (u != nullptr && !used)
            return {set_upstream_state{u->name, upstream_state::released}};
    }
    else if (draw < 60)
        reuse_address(c);
    else if (draw < 85)
    {
        zone_config const& z = c.zones[sim_.below(c.zones.size())];
        bool const any_out =
            std::any_of(c.zones.begin(), c.zones.end(),
                        [](zone_config const& x) { return x.state == zone_state::out; });
        if (z.state == zone_state::out)
            return {set_zone_state{z.name, zone_state::in}};
        if (!any_out && draw < 70)
            return {set_zone_state{z.name, zone_state::out}};
    }
    else if (draw < 90 && sim_.now() - key_rotated_ > key_pause)
    {
        key_rotated_ = sim_.now();
        return {rotate_key{}};
    }
    else if (draw < 95)
        return {set_default{"zone_ramp_seconds", sim_.between(0, 30)}};
    else
        return {add_exception{"upstream/" + c.upstreams[sim_.below(c.upstreams.size())].name,
                              "weight", sim_.between(50, 150), "soak run"}};
    return {};
}

// Gives the address of a released upstream to another, most often of another service. Operators
// release it when its flows have ended, then stop the old server and start the new one when the
// change is accepted.
void chaos::reuse_address(fleet_config const& c)
{
    auto const* const u = any_in_state(sim_, c, upstream_state::released);
    if (u == nullptr || reusing_)
        return;
    bool const taken =
        std::any_of(c.upstreams.begin(), c.upstreams.end(),
                    [u](auto const& x) { return x.address == u->address && x.id > u->id; });
    bool const used = std::any_of(w_.callers.begin(), w_.callers.end(),
                                  [u](auto const& x) { return x->uses(u->address); });
    if (taken || used)
        return;
    reusing_ = true;
    upstream_config next = *u;
    next.id = {++next_upstream_};
    next.name = "u" + std::to_string(next.id.value);
    next.service = {1 + static_cast<std::uint32_t>(sim_.below(c.services.size()))};
    next.state = upstream_state::active;
    next.owner = {};
    next.retired_at = {};
    server& s = *w_.find_server(u->address);
    s.stopped = true;
    s.set_alive(false);
    sim_.after(last_packets, [this, next, id = change_id()] { finish_reuse(id, next, max_tries); });
}

void chaos::finish_reuse(std::string const& id, upstream_config const& u, int tries)
{
    auto const at = any_running();
    if (at && submit(*at, {put_upstream{u}}, id))
    {
        server& s = *w_.find_server(u.address);
        s.stopped = false;
        s.replace(u.service);
        sim_.log(to_string(u.address) + " now serves " + std::to_string(u.service.value));
        reusing_ = false;
        return;
    }
    if (w_.quiet || tries == 0)
        reusing_ = false; // the server stays stopped
    else
        sim_.after(ask_again, [this, id, u, tries] { finish_reuse(id, u, tries - 1); });
}

} // namespace chivelever::soak
