// Random configuration changes by operators, some of them concurrent.
#include "fault_injector.hpp"

#include <algorithm>

namespace chivelever::soak
{

namespace
{
constexpr sim_time mean_change_interval = 1'200 * ms;
constexpr sim_time min_key_rotation_interval = 25 * second; // a flow may span two rotations
constexpr sim_time change_retry_interval = 2 * second;
constexpr int max_change_attempts = 20;
// Packets of closed flows that are still in flight arrive within this time.
constexpr sim_time in_flight_packet_time = second;

upstream_config const* random_upstream_in_state(simulation& sim, fleet_config const& c,
                                                upstream_state state)
{
    std::vector<upstream_config const*> matching;
    for (upstream_config const& u : c.upstreams)
        if (u.state == state)
            matching.push_back(&u);
    return matching.empty() ? nullptr : matching[sim.below(matching.size())];
}
} // namespace

// Returns the lowest revision that status queries to all listed hosts report. A host that does not
// answer counts as revision 0.
revision fault_injector::lowest_active_revision(host const& at) const
{
    revision lowest = all_revisions_in_force;
    for (listed_host const& l : at.table().hosts().hosts)
    {
        if (l.kind != listed_kind::entry)
            continue;
        host const& h = *cluster_.hosts[l.id - 1];
        bool const answers = h.running() && !cluster_.net.is_partitioned(at.zone, h.zone) &&
                             !cluster_.net.is_partitioned(h.zone, at.zone);
        lowest = std::min(lowest, answers ? h.table().rev() : revision{});
    }
    return lowest;
}

bool fault_injector::submit(host& at, std::vector<operation> operations, std::string id)
{
    config_change change{{},
                         id.empty() ? change_id() : std::move(id),
                         "ana",
                         "soak",
                         1'700'000'000'000,
                         std::move(operations)};
    submit_result const r = at.submit(std::move(change), lowest_active_revision(at));
    sim_.add_to_digest(static_cast<std::uint64_t>(r.status), r.rev.value);
    cluster_.count.changes += r.status == submit_status::accepted ? 1 : 0;
    sim_.log("change at host " + std::to_string(at.self.host.value) + ": " +
             (r.status == submit_status::accepted
                  ? "accepted as " + std::to_string(r.rev.value)
                  : "status " + std::to_string(static_cast<int>(r.status))));
    return r.status == submit_status::accepted;
}

void fault_injector::submit_random_change()
{
    if (cluster_.recovering)
        return;
    if (sim_.chance(0.3) && !cluster_.store.down)
        cluster_.store.take_backup();
    if (auto const at = random_running_host(); at && at->table().rev().value > 0)
    {
        auto operations = choose_operations(at->table().config());
        if (!operations.empty())
            submit(*at, std::move(operations));
    }
    sim_.after(sim_.chance(0.2) ? sim_.between(0, 5 * ms) : sim_.exponential(mean_change_interval),
               [this] { submit_random_change(); });
}

std::vector<operation> fault_injector::choose_operations(fleet_config const& c)
{
    std::uint64_t const draw = sim_.below(100);
    if (draw < 20)
    {
        auto const* const u = random_upstream_in_state(sim_, c, upstream_state::active);
        auto const active_count =
            std::count_if(c.upstreams.begin(), c.upstreams.end(),
                          [](auto const& x) { return x.state == upstream_state::active; });
        if (u != nullptr && active_count > static_cast<long>(cluster_.servers.size() / 2))
            return {set_upstream_state{u->name, upstream_state::draining}};
    }
    else if (draw < 35)
    {
        if (auto const* const u = random_upstream_in_state(sim_, c, upstream_state::draining))
            return {set_upstream_state{u->name, upstream_state::active}};
    }
    else if (draw < 45)
    {
        if (auto const* const u = random_upstream_in_state(sim_, c, upstream_state::draining))
            return {set_upstream_state{u->name, upstream_state::retired}};
    }
    else if (draw < 52)
    {
        auto const* const u = random_upstream_in_state(sim_, c, upstream_state::retired);
        bool const has_open_streams =
            u != nullptr && std::any_of(cluster_.callers.begin(), cluster_.callers.end(),
                                        [u](auto const& x) { return x->uses(u->address); });
        if (u != nullptr && !has_open_streams)
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
    else if (draw < 90 && sim_.now() - last_key_rotation_ > min_key_rotation_interval)
    {
        last_key_rotation_ = sim_.now();
        return {rotate_key{}};
    }
    else if (draw < 95)
        return {set_default{"zone_ramp_seconds", sim_.between(0, 30)}};
    else
        return {add_exception{"upstream/" + c.upstreams[sim_.below(c.upstreams.size())].name,
                              "weight", sim_.between(50, 150), "soak run"}};
    return {};
}

// Assigns the address of a released upstream to a new upstream of a random service. Operators
// release an upstream after its flows have ended, stop the old server, and start the new one once
// the change is accepted.
void fault_injector::reuse_address(fleet_config const& c)
{
    auto const* const u = random_upstream_in_state(sim_, c, upstream_state::released);
    if (u == nullptr || address_reuse_pending_)
        return;
    bool const reassigned =
        std::any_of(c.upstreams.begin(), c.upstreams.end(),
                    [u](auto const& x) { return x.address == u->address && x.id > u->id; });
    bool const has_open_streams = std::any_of(cluster_.callers.begin(), cluster_.callers.end(),
                                              [u](auto const& x) { return x->uses(u->address); });
    if (reassigned || has_open_streams)
        return;
    address_reuse_pending_ = true;
    upstream_config replacement = *u;
    replacement.id = {++next_upstream_};
    replacement.name = "u" + std::to_string(replacement.id.value);
    replacement.service = {1 + static_cast<std::uint32_t>(sim_.below(c.services.size()))};
    replacement.state = upstream_state::active;
    replacement.owner = {};
    replacement.retired_at = {};
    server& s = *cluster_.find_server(u->address);
    s.stopped = true;
    s.set_alive(false);
    sim_.after(in_flight_packet_time, [this, replacement, id = change_id()]
               { complete_address_reuse(id, replacement, max_change_attempts); });
}

void fault_injector::complete_address_reuse(std::string const& id, upstream_config const& u,
                                            int attempts_left)
{
    auto const at = random_running_host();
    if (at && submit(*at, {put_upstream{u}}, id))
    {
        server& s = *cluster_.find_server(u.address);
        s.stopped = false;
        s.replace(u.service);
        sim_.log(to_string(u.address) + " now serves " + std::to_string(u.service.value));
        address_reuse_pending_ = false;
        return;
    }
    if (cluster_.recovering || attempts_left == 0)
        address_reuse_pending_ = false; // the server stays stopped
    else
        sim_.after(change_retry_interval, [this, id, u, attempts_left]
                   { complete_address_reuse(id, u, attempts_left - 1); });
}

} // namespace chivelever::soak
