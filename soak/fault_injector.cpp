#include "fault_injector.hpp"

#include <algorithm>

namespace chivelever::soak
{

namespace
{
constexpr sim_time mean_fault_interval = 900 * ms;
constexpr sim_time first_fault_time =
    20 * second; // allows leases to settle and upstreams to warm up
// Leases assume that host lists differ between hosts for at most this long (list_skew). No
// partition or store outage starts within this time after a change of the list of entry hosts.
constexpr sim_time max_list_skew = 10 * second;
constexpr sim_time min_backup_age = 8 * second; // of a restored backup, at the start of the outage
constexpr sim_time min_outage_before_restore = 8 * second;
constexpr std::uint32_t first_incarnation = 1'700'000'000; // incarnations are Unix seconds
constexpr std::int64_t normal_clock_drift_ppm = 3'000;
constexpr std::int64_t high_clock_drift_ppm = 45'000; // leases tolerate 5%

upstream_config upstream_at(server const& s, std::uint32_t id, std::uint32_t service,
                            std::uint16_t slots)
{
    upstream_config u;
    u.id = {id};
    u.name = "u" + std::to_string(id);
    u.service = {service};
    u.zone = s.zone();
    u.address = s.address();
    u.slots = slots;
    u.connections = 2000;
    return u;
}
} // namespace

std::string fault_injector::change_id()
{
    char text[33]{};
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(sim_.random()),
                  static_cast<unsigned long long>(sim_.random()));
    return text;
}

// Creates nine hosts in two to four zones, as in the deployments. Each service has upstreams in
// each zone.
void fault_injector::build(std::uint32_t servers_per_zone, std::uint32_t services,
                           std::uint32_t callers_per_service)
{
    constexpr std::uint32_t hosts = 9;
    zones_ = static_cast<std::uint8_t>(2 + sim_.below(3));
    high_clock_drift_ = sim_.chance(0.2);
    // Rule 3 is checked only if no two clocks differ by more than 0.6% (twice
    // normal_clock_drift_ppm).
    cluster_.check_load = !high_clock_drift_;
    std::int64_t const drift = high_clock_drift_ ? high_clock_drift_ppm : normal_clock_drift_ppm;
    config_change first{{1}, change_id(), "ana", "first", 1'700'000'000'000, {}};
    for (std::uint8_t z = 1; z <= zones_; ++z)
        first.operations.push_back(
            put_zone{{{static_cast<std::uint8_t>(z)}, "z" + std::to_string(z)}});
    for (std::uint32_t s = 1; s <= services; ++s)
        first.operations.push_back(put_service{{{s}, "s" + std::to_string(s)}});
    for (std::uint32_t n = 0; n < servers_per_zone * zones_; ++n)
    {
        auto const slots = static_cast<std::uint16_t>(2 + sim_.below(2));
        zone_id const zone{static_cast<std::uint8_t>(1 + n % zones_)};
        cluster_.servers.push_back(
            std::make_unique<server>(cluster_, server_address(n), zone, slots));
        std::uint32_t const service = 1 + n / zones_ % services;
        cluster_.servers.back()->replace({service});
        first.operations.push_back(
            put_upstream{upstream_at(*cluster_.servers.back(), ++next_upstream_, service, slots)});
    }
    cluster_.store.data[cluster_.keys.change({1})] = {cluster_.codec.encode_change(first),
                                                      1'000'000};
    for (std::uint16_t n = 0; n < hosts; ++n)
    {
        zone_id const zone{static_cast<std::uint8_t>(1 + n % zones_)};
        endpoint const address = host_address({static_cast<std::uint16_t>(n + 1)});
        all_hosts_.hosts.push_back(
            {listed_kind::entry, n + 1U, zone, host_state::live, address, address, address});
        cluster_.host_zones.push_back(zone);
        clock_drifts_ppm_.push_back(sim_.between(-drift, drift));
        incarnations_.push_back(first_incarnation);
    }
    cluster_.store.list = all_hosts_;
    cluster_.store.list.version = 1;
    cluster_.hosts.resize(hosts);
    for (std::size_t n = 0; n < hosts; ++n)
        start_host(n);
    for (std::uint32_t n = 0; n < callers_per_service * services; ++n)
    {
        cluster_.callers.push_back(
            std::make_unique<caller>(cluster_, caller_address(n), service_id{1 + n % services}));
        cluster_.callers.back()->start();
    }
}

void fault_injector::start_host(std::size_t n)
{
    incarnations_[n] = std::max(
        incarnations_[n] + 1, first_incarnation + static_cast<std::uint32_t>(sim_.now() / second));
    host_instance const self{{static_cast<std::uint16_t>(n + 1)}, {incarnations_[n]}};
    cluster_.hosts[n] = std::make_shared<host>(cluster_, self, cluster_.host_zones[n],
                                               clock_drifts_ppm_[n], all_hosts_);
    cluster_.hosts[n]->start();
    sim_.log("start host " + std::to_string(n + 1));
}

void fault_injector::start()
{
    sim_.after(first_fault_time,
               [this]
               {
                   inject_fault();
                   submit_random_change();
               });
}

void fault_injector::clear_faults()
{
    cluster_.net.set_degraded(false);
    for (std::uint8_t a = 1; a <= zones_; ++a)
        for (std::uint8_t b = 1; b <= zones_; ++b)
            if (cluster_.net.is_partitioned({a}, {b}))
                cluster_.net.set_partitioned({a}, {b}, false);
    cluster_.store.down = false;
    cluster_.store.call_interval = 20 * ms;
    for (std::size_t n = 0; n < cluster_.hosts.size(); ++n)
        if (cluster_.hosts[n]->exited)
        {
            // Permits the list change at once: the host lists converge during the recovery time.
            last_list_change_ = -max_list_skew - 1;
            set_listed(n, true, host_state::live);
            start_host(n);
        }
        else if (cluster_.hosts[n]->suspended)
            cluster_.hosts[n]->resume();
    for (auto const& s : cluster_.servers)
        s->shedding_until = s->slow_until = 0;
}

std::shared_ptr<host> fault_injector::random_running_host()
{
    std::vector<std::shared_ptr<host>> running;
    for (auto const& h : cluster_.hosts)
        if (h->running() && !h->leaving)
            running.push_back(h);
    return running.empty() ? nullptr : running[sim_.below(running.size())];
}

void fault_injector::kill(std::size_t n)
{
    sim_.log("kill host " + std::to_string(n + 1));
    cluster_.hosts[n]->kill();
    restart_after_exit(n, cluster_.hosts[n]->self.run);
}

// Restarts an exited host process, as the platform does. The host is listed before it starts,
// because an unlisted host receives no configuration changes.
void fault_injector::restart_after_exit(std::size_t n, incarnation run)
{
    sim_.after(sim_.between(500 * ms, 12 * second),
               [this, n, run]
               {
                   if (cluster_.hosts[n]->self.run != run || cluster_.recovering)
                       return;
                   if (!cluster_.hosts[n]->exited || !set_listed(n, true, host_state::live))
                       return restart_after_exit(n, run);
                   start_host(n);
               });
}

// Restarts all hosts of a zone but one before their leases expire, so that lease granters lose
// their state while the lease is still valid.
void fault_injector::restart_zone(zone_id zone)
{
    bool one_kept_running = false;
    sim_.log("restart zone " + std::to_string(zone.value));
    for (std::size_t n = 0; n < cluster_.hosts.size(); ++n)
    {
        if (cluster_.host_zones[n] != zone || !cluster_.hosts[n]->running() ||
            cluster_.hosts[n]->leaving)
            continue;
        if (!std::exchange(one_kept_running, true))
            continue;
        cluster_.hosts[n]->kill();
        sim_.after(sim_.between(50 * ms, 400 * ms),
                   [this, n]
                   {
                       if (cluster_.hosts[n]->exited)
                           start_host(n);
                   });
    }
}

void fault_injector::suspend(std::size_t n, sim_time time)
{
    auto const h = cluster_.hosts[n];
    sim_.log("suspend host " + std::to_string(n + 1) + " for " + std::to_string(time / ms) + " ms");
    h->suspend();
    sim_.after(time,
               [h]
               {
                   if (!h->exited && h->suspended)
                       h->resume();
               });
}

void fault_injector::leave(std::size_t n)
{
    sim_.log("shut down host " + std::to_string(n + 1));
    set_listed(n, true, host_state::leaving);
    cluster_.hosts[n]->begin_shutdown();
    restart_after_exit(n, cluster_.hosts[n]->self.run);
}

bool fault_injector::can_change_list() const
{
    return !cluster_.net.any_partition() && !cluster_.store.down &&
           sim_.now() - last_list_change_ > max_list_skew;
}

void fault_injector::bump_list_version(std::string const& what)
{
    ++cluster_.store.list.version;
    sim_.log("list " + std::to_string(cluster_.store.list.version) + ": " + what);
}

// Adds an entry host with a state to the host list, or removes it. The listed hosts are the lease
// granters, so the set changes only while every host can receive the list.
bool fault_injector::set_listed(std::size_t n, bool listed, host_state state)
{
    auto& all = cluster_.store.list.hosts;
    auto const i = std::find_if(all.begin(), all.end(),
                                [n](listed_host const& l)
                                { return l.kind == listed_kind::entry && l.id == n + 1; });
    std::string const name = "host " + std::to_string(n + 1);
    if (i != all.end() && listed)
    {
        if (i->state != state)
        {
            i->state = state;
            bump_list_version(name + (state == host_state::live ? " live" : " leaving"));
        }
        return true;
    }
    if ((i != all.end()) == listed)
        return true;
    if (!can_change_list())
        return false;
    if (listed)
        all.push_back(all_hosts_.hosts[n]);
    else
        all.erase(i);
    last_list_change_ = sim_.now();
    bump_list_version(name + (listed ? " added" : " removed"));
    return true;
}

void fault_injector::inject_fault()
{
    if (cluster_.recovering)
        return;
    ++cluster_.count.faults;
    std::size_t const n = sim_.below(cluster_.hosts.size());
    std::uint64_t const draw = sim_.below(100);
    host& h = *cluster_.hosts[n];
    bool const usable = h.running() && !h.leaving;
    auto const running = std::count_if(cluster_.hosts.begin(), cluster_.hosts.end(),
                                       [](auto const& x) { return x->running(); });
    if (draw < 4)
        restart_zone(cluster_.host_zones[n]);
    else if (draw < 12 && usable && running > 4)
        kill(n);
    else if (draw < 26 && h.running() && running > 4)
        suspend(n, sim_.between(100 * ms, 6 * second));
    else if (draw < 38 && usable && running > 4)
        leave(n);
    else if (draw < 50)
        partition_zone();
    else if (draw < 58)
        inject_store_fault();
    else if (draw < 84)
        inject_server_fault();
    else if (draw < 92)
        change_host_list();
    else
    {
        sim_.log("degraded network");
        cluster_.net.set_degraded(true);
        sim_.after(sim_.between(500 * ms, 3 * second),
                   [this] { cluster_.net.set_degraded(false); });
    }
    if (sim_.chance(0.15)) // two nearly simultaneous faults
        sim_.after(sim_.between(0, 20 * ms), [this] { inject_fault(); });
    else
        sim_.after(sim_.exponential(mean_fault_interval), [this] { inject_fault(); });
}

// Partitions a zone from the others, in one or both directions. With more than two zones, some
// links may stay up.
void fault_injector::partition_zone()
{
    if (cluster_.net.any_partition() || sim_.now() - last_list_change_ < max_list_skew ||
        restore_pending_)
        return;
    zone_id const zone{static_cast<std::uint8_t>(1 + sim_.below(zones_))};
    // Packets lost: 0 to and from the zone, 1 only to the zone, 2 only from the zone.
    std::uint64_t const direction = sim_.below(3);
    sim_.log("partition zone " + std::to_string(zone.value) + " direction " +
             std::to_string(direction));
    std::vector<std::pair<zone_id, zone_id>> links;
    for (std::uint8_t z = 1; z <= zones_; ++z)
    {
        if (zone_id{z} == zone || (sim_.chance(0.2) && zones_ > 2))
            continue;
        if (direction != 1)
            links.push_back({zone, {z}});
        if (direction != 2)
            links.push_back({{z}, zone});
    }
    for (auto const& [a, b] : links)
        cluster_.net.set_partitioned(a, b, true);
    sim_.after(sim_.between(500 * ms, 20 * second),
               [this, links]
               {
                   sim_.log("partition ended");
                   for (auto const& [a, b] : links)
                       cluster_.net.set_partitioned(a, b, false);
               });
}

// Starts a store outage, possibly followed by a restore of an older backup, or a period of slow
// calls and lost answers.
void fault_injector::inject_store_fault()
{
    if (cluster_.store.down || sim_.now() - last_list_change_ < max_list_skew)
        return;
    if (sim_.chance(0.4))
    {
        sim_.log("slow store");
        cluster_.store.call_interval = sim_.between(100 * ms, 700 * ms);
        cluster_.store.failure_probability = 0.2;
        sim_.after(sim_.between(second, 8 * second),
                   [this]
                   {
                       cluster_.store.call_interval = 20 * ms;
                       cluster_.store.failure_probability = 0.002;
                   });
        return;
    }
    bool const restore = sim_.chance(0.3) && !cluster_.net.any_partition();
    sim_.log(restore ? "store outage, followed by a restore" : "store outage");
    cluster_.store.down = true;
    restore_pending_ = restore;
    sim_time const time = sim_.between(restore ? min_outage_before_restore : second, 30 * second);
    sim_.after(time,
               [this, restore, time]
               {
                   if (restore && cluster_.store.restore(time + min_backup_age))
                       sim_.log("store restored");
                   restore_pending_ = false;
                   cluster_.store.down = false;
               });
}

void fault_injector::inject_server_fault()
{
    server& s = *cluster_.servers[sim_.below(cluster_.servers.size())];
    std::string const name = to_string(s.address());
    switch (sim_.below(4))
    {
    case 0:
        if (!s.alive)
            return;
        sim_.log("cold restart of " + name);
        return s.restart_cold();
    case 1:
        sim_.log("server sheds load: " + name);
        s.shedding_until = sim_.now() + sim_.between(100 * ms, 3 * second);
        return;
    case 2:
        sim_.log("server is slow: " + name);
        s.slow_until = sim_.now() + sim_.between(100 * ms, 3 * second);
        return;
    default:
        if (!s.alive)
            return;
        sim_.log("server stops: " + name);
        s.set_alive(false);
        sim_.after(sim_.between(500 * ms, 10 * second),
                   [&s]
                   {
                       if (!s.alive && !s.stopped)
                           s.set_alive(true);
                   });
    }
}

// Changes the platform's host list: removes an exited host, or marks an upstream as leaving or live
// again.
void fault_injector::change_host_list()
{
    for (std::size_t n = 0; n < cluster_.hosts.size(); ++n)
        if (cluster_.hosts[n]->exited && sim_.chance(0.5))
        {
            set_listed(n, false, host_state::live);
            return;
        }
    if (cluster_.net.any_partition() || cluster_.store.down)
        return;
    auto& all = cluster_.store.list.hosts;
    auto const leaving_upstream =
        std::find_if(all.begin(), all.end(),
                     [](listed_host const& l) { return l.kind == listed_kind::upstream; });
    if (leaving_upstream != all.end())
    {
        cluster_.leaving_upstream_list_version.erase(leaving_upstream->id);
        all.erase(leaving_upstream);
        return bump_list_version("upstream live again");
    }
    if (!cluster_.check.has_config())
        return;
    auto const& us = cluster_.check.latest().upstreams;
    upstream_config const& u = us[sim_.below(us.size())];
    all.push_back({listed_kind::upstream, u.id.value, u.zone, host_state::leaving, {}, {}, {}});
    bump_list_version("upstream " + std::to_string(u.id.value) + " leaving");
    cluster_.leaving_upstream_list_version[u.id.value] = cluster_.store.list.version;
}

} // namespace chivelever::soak
