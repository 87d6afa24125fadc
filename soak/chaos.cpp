#include "chaos.hpp"

#include <algorithm>

namespace chivelever::soak
{

namespace
{
constexpr sim_time mean_fault = 900 * ms;
constexpr sim_time first_fault = 20 * second; // leases settle and upstreams warm up before
// Leases assume that two hosts never have different lists for longer than this (list_skew), so
// that no cut or outage starts sooner after a change of the list of entry hosts.
constexpr sim_time list_skew = 10 * second;
constexpr sim_time restore_age = 8 * second;       // a restored store is at least this old
constexpr std::uint32_t first_run = 1'700'000'000; // incarnations are Unix seconds
constexpr std::int64_t usual_drift = 3'000;        // ppm
constexpr std::int64_t wild_drift = 45'000;        // ppm, leases allow 5%

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

std::string chaos::change_id()
{
    char text[33]{};
    std::snprintf(text, sizeof text, "%016llx%016llx",
                  static_cast<unsigned long long>(sim_.random()),
                  static_cast<unsigned long long>(sim_.random()));
    return text;
}

// Nine hosts in two to four zones, as in the deployments; each service has upstreams in each zone.
void chaos::build(std::uint32_t servers_per_zone, std::uint32_t services,
                  std::uint32_t callers_per_service)
{
    constexpr std::uint32_t hosts = 9;
    zones_ = static_cast<std::uint8_t>(2 + sim_.below(3));
    drift_seed_ = sim_.chance(0.2);
    w_.check_load = !drift_seed_;
    std::int64_t const drift = drift_seed_ ? wild_drift : usual_drift;
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
        w_.servers.push_back(std::make_unique<server>(w_, server_address(n), zone, slots));
        std::uint32_t const service = 1 + n / zones_ % services;
        w_.servers.back()->replace({service});
        first.operations.push_back(
            put_upstream{upstream_at(*w_.servers.back(), ++next_upstream_, service, slots)});
    }
    w_.store.data[w_.keys.change({1})] = {w_.codec.write_change(first), 1'000'000};
    for (std::uint16_t n = 0; n < hosts; ++n)
    {
        zone_id const zone{static_cast<std::uint8_t>(1 + n % zones_)};
        endpoint const address = host_address({static_cast<std::uint16_t>(n + 1)});
        all_hosts_.hosts.push_back(
            {listed_kind::entry, n + 1U, zone, host_state::live, address, address, address});
        w_.zones_of_hosts.push_back(zone);
        rates_.push_back(sim_.between(-drift, drift));
        runs_.push_back(first_run);
    }
    w_.store.list = all_hosts_;
    w_.store.list.version = 1;
    w_.hosts.resize(hosts);
    for (std::size_t n = 0; n < hosts; ++n)
        start_host(n);
    for (std::uint32_t n = 0; n < callers_per_service * services; ++n)
    {
        w_.callers.push_back(
            std::make_unique<caller>(w_, caller_address(n), service_id{1 + n % services}));
        w_.callers.back()->start();
    }
}

void chaos::start_host(std::size_t n)
{
    runs_[n] = std::max(runs_[n] + 1, first_run + static_cast<std::uint32_t>(sim_.now() / second));
    host_instance const self{{static_cast<std::uint16_t>(n + 1)}, {runs_[n]}};
    w_.hosts[n] = std::make_shared<host>(w_, self, w_.zones_of_hosts[n], rates_[n], all_hosts_);
    w_.hosts[n]->start();
    sim_.log("start host " + std::to_string(n + 1));
}

void chaos::start()
{
    sim_.after(first_fault,
               [this]
               {
                   fault();
                   operate();
               });
}

void chaos::heal()
{
    w_.net.set_bad(false);
    for (std::uint8_t a = 1; a <= zones_; ++a)
        for (std::uint8_t b = 1; b <= zones_; ++b)
            if (w_.net.is_cut({a}, {b}))
                w_.net.cut({a}, {b}, false);
    w_.store.down = false;
    w_.store.slowness = 20 * ms;
    for (std::size_t n = 0; n < w_.hosts.size(); ++n)
        if (w_.hosts[n]->dead)
        {
            list_changed_ = -list_skew - 1; // lists are equal by the end of the quiet time
            set_listed(n, true, host_state::live);
            start_host(n);
        }
        else if (w_.hosts[n]->frozen)
            w_.hosts[n]->thaw();
    for (auto const& s : w_.servers)
        s->shedding_until = s->slow_until = 0;
}

std::shared_ptr<host> chaos::any_running()
{
    std::vector<std::shared_ptr<host>> running;
    for (auto const& h : w_.hosts)
        if (h->running() && !h->leaving)
            running.push_back(h);
    return running.empty() ? nullptr : running[sim_.below(running.size())];
}

void chaos::kill(std::size_t n)
{
    sim_.log("kill host " + std::to_string(n + 1));
    w_.hosts[n]->kill();
    watch_exit(n, w_.hosts[n]->self.run);
}

// The platform replaces a process that has ended. It lists a host before it starts it: a host that
// is not listed hears of no change.
void chaos::watch_exit(std::size_t n, incarnation run)
{
    sim_.after(sim_.between(500 * ms, 12 * second),
               [this, n, run]
               {
                   if (w_.hosts[n]->self.run != run || w_.quiet)
                       return;
                   if (!w_.hosts[n]->dead || !set_listed(n, true, host_state::live))
                       return watch_exit(n, run);
                   start_host(n);
               });
}

// All hosts of a zone but one restart at once, faster than a lease ends: its granters forget.
void chaos::restart_zone(zone_id zone)
{
    bool spared = false;
    sim_.log("restart zone " + std::to_string(zone.value));
    for (std::size_t n = 0; n < w_.hosts.size(); ++n)
    {
        if (w_.zones_of_hosts[n] != zone || !w_.hosts[n]->running() || w_.hosts[n]->leaving)
            continue;
        if (!std::exchange(spared, true))
            continue;
        w_.hosts[n]->kill();
        sim_.after(sim_.between(50 * ms, 400 * ms),
                   [this, n]
                   {
                       if (w_.hosts[n]->dead)
                           start_host(n);
                   });
    }
}

void chaos::freeze(std::size_t n, sim_time time)
{
    auto const h = w_.hosts[n];
    sim_.log("freeze host " + std::to_string(n + 1) + " for " + std::to_string(time / ms) + " ms");
    h->freeze();
    sim_.after(time,
               [h]
               {
                   if (!h->dead && h->frozen)
                       h->thaw();
               });
}

void chaos::leave(std::size_t n)
{
    sim_.log("host leaves " + std::to_string(n + 1));
    set_listed(n, true, host_state::leaving);
    w_.hosts[n]->leave();
    watch_exit(n, w_.hosts[n]->self.run);
}

bool chaos::may_change_list() const
{
    return !w_.net.any_cut() && !w_.store.down && sim_.now() - list_changed_ > list_skew;
}

void chaos::list_changed(std::string const& what)
{
    ++w_.store.list.version;
    sim_.log("list " + std::to_string(w_.store.list.version) + ": " + what);
}

// Lists an entry host with a state, or takes it off the list. The set of listed hosts decides the
// granters, so it changes only while the list reaches every host.
bool chaos::set_listed(std::size_t n, bool listed, host_state state)
{
    auto& all = w_.store.list.hosts;
    auto const i = std::find_if(all.begin(), all.end(),
                                [n](listed_host const& l)
                                { return l.kind == listed_kind::entry && l.id == n + 1; });
    std::string const name = "host " + std::to_string(n + 1);
    if (i != all.end() && listed)
    {
        if (i->state != state)
        {
            i->state = state;
            list_changed(name + (state == host_state::live ? " live" : " leaving"));
        }
        return true;
    }
    if ((i != all.end()) == listed)
        return true;
    if (!may_change_list())
        return false;
    if (listed)
        all.push_back(all_hosts_.hosts[n]);
    else
        all.erase(i);
    list_changed_ = sim_.now();
    list_changed(name + (listed ? " added" : " removed"));
    return true;
}

void chaos::fault()
{
    if (w_.quiet)
        return;
    ++w_.count.faults;
    std::size_t const n = sim_.below(w_.hosts.size());
    std::uint64_t const draw = sim_.below(100);
    host& h = *w_.hosts[n];
    bool const usable = h.running() && !h.leaving;
    auto const running =
        std::count_if(w_.hosts.begin(), w_.hosts.end(), [](auto const& x) { return x->running(); });
    if (draw < 4)
        restart_zone(w_.zones_of_hosts[n]);
    else if (draw < 12 && usable && running > 4)
        kill(n);
    else if (draw < 26 && h.running() && running > 4)
        freeze(n, sim_.between(100 * ms, 6 * second));
    else if (draw < 38 && usable && running > 4)
        leave(n);
    else if (draw < 50)
        cut();
    else if (draw < 58)
        store_trouble();
    else if (draw < 84)
        server_trouble();
    else if (draw < 92)
        list_trouble();
    else
    {
        sim_.log("bad network");
        w_.net.set_bad(true);
        sim_.after(sim_.between(500 * ms, 3 * second), [this] { w_.net.set_bad(false); });
    }
    if (sim_.chance(0.15)) // two at once
        sim_.after(sim_.between(0, 20 * ms), [this] { fault(); });
    else
        sim_.after(sim_.exponential(mean_fault), [this] { fault(); });
}

// Cuts a zone off from the others, both ways or one way, or two zones from each other.
void chaos::cut()
{
    if (w_.net.any_cut() || sim_.now() - list_changed_ < list_skew || restore_pending_)
        return;
    zone_id const zone{static_cast<std::uint8_t>(1 + sim_.below(zones_))};
    std::uint64_t const way = sim_.below(3);
    sim_.log("cut zone " + std::to_string(zone.value) + " way " + std::to_string(way));
    std::vector<std::pair<zone_id, zone_id>> cuts;
    for (std::uint8_t z = 1; z <= zones_; ++z)
    {
        if (zone_id{z} == zone || (sim_.chance(0.2) && zones_ > 2))
            continue;
        if (way != 1)
            cuts.push_back({zone, {z}});
        if (way != 2)
            cuts.push_back({{z}, zone});
    }
    for (auto const& [a, b] : cuts)
        w_.net.cut(a, b, true);
    sim_.after(sim_.between(500 * ms, 20 * second),
               [this, cuts]
               {
                   sim_.log("cut heals");
                   for (auto const& [a, b] : cuts)
                       w_.net.cut(a, b, false);
               });
}

// An outage, which a restore to an older state may follow, or a slow phase with lost answers.
void chaos::store_trouble()
{
    if (w_.store.down || sim_.now() - list_changed_ < list_skew)
        return;
    if (sim_.chance(0.4))
    {
        sim_.log("slow store");
        w_.store.slowness = sim_.between(100 * ms, 700 * ms);
        w_.store.lost = 0.2;
        sim_.after(sim_.between(second, 8 * second),
                   [this]
                   {
                       w_.store.slowness = 20 * ms;
                       w_.store.lost = 0.002;
                   });
        return;
    }
    bool const restore = sim_.chance(0.3) && !w_.net.any_cut();
    sim_.log(restore ? "store down, will be restored" : "store down");
    w_.store.down = true;
    restore_pending_ = restore;
    sim_time const time = sim_.between(restore ? restore_age : second, 30 * second);
    sim_.after(time,
               [this, restore, time]
               {
                   if (restore && w_.store.restore(time + restore_age))
                       sim_.log("store restored");
                   restore_pending_ = false;
                   w_.store.down = false;
               });
}

void chaos::server_trouble()
{
    server& s = *w_.servers[sim_.below(w_.servers.size())];
    std::string const name = to_string(s.address());
    switch (sim_.below(4))
    {
    case 0:
        if (!s.alive)
            return;
        sim_.log("cold " + name);
        return s.turn_cold();
    case 1:
        sim_.log("shedding " + name);
        s.shedding_until = sim_.now() + sim_.between(100 * ms, 3 * second);
        return;
    case 2:
        sim_.log("slow " + name);
        s.slow_until = sim_.now() + sim_.between(100 * ms, 3 * second);
        return;
    default:
        if (!s.alive)
            return;
        sim_.log("dies " + name);
        s.set_alive(false);
        sim_.after(sim_.between(500 * ms, 10 * second),
                   [&s]
                   {
                       if (!s.alive && !s.stopped)
                           s.set_alive(true);
                   });
    }
}

// The platform's list: an upstream leaves or comes back; a dead host is removed.
void chaos::list_trouble()
{
    for (std::size_t n = 0; n < w_.hosts.size(); ++n)
        if (w_.hosts[n]->dead && sim_.chance(0.5))
        {
            set_listed(n, false, host_state::live);
            return;
        }
    if (w_.net.any_cut() || w_.store.down)
        return;
    auto& all = w_.store.list.hosts;
    auto const upstreams =
        std::find_if(all.begin(), all.end(),
                     [](listed_host const& l) { return l.kind == listed_kind::upstream; });
    if (upstreams != all.end())
    {
        w_.listed_leaving.erase(upstreams->id);
        all.erase(upstreams);
        return list_changed("upstream live again");
    }
    if (!w_.check.any())
        return;
    auto const& us = w_.check.latest().upstreams;
    upstream_config const& u = us[sim_.below(us.size())];
    all.push_back({listed_kind::upstream, u.id.value, u.zone, host_state::leaving, {}, {}, {}});
    list_changed("upstream " + std::to_string(u.id.value) + " leaving");
    w_.listed_leaving[u.id.value] = w_.store.list.version;
}

} // namespace chivelever::soak
