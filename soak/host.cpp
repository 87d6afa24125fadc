#include "host.hpp"

#include "simulated_cluster.hpp"

#include <algorithm>
#include <utility>

namespace chivelever::soak
{

namespace
{
constexpr sim_time pool_tick_interval = 8 * ms; // pool::tick requires at most 10 ms
constexpr sim_time control_tick_interval = 50 * ms;
constexpr sim_time host_list_poll_interval = 2 * second;
constexpr sim_time handover_timeout = second;
// Timeout of a configuration pull. Calls to a suspended peer must not use up the 3 s in which a
// host has to apply a change: with 1 s, two consecutive calls did (seeds 1031, 1109 and 1119 with
// 400,000 steps).
constexpr sim_time pull_timeout = 300 * ms;
// Shutdown timing, as in the daemon.
constexpr sim_time leave_notice_time = 800 * ms;
constexpr sim_time drain_limit = 4 * second;
constexpr sim_time drain_poll_interval = 20 * ms;
constexpr sim_time exit_delay = second;
constexpr std::size_t max_deferred = 200; // packets and messages buffered for a suspended host
} // namespace

host::host(simulated_cluster& cluster, host_instance instance, zone_id z,
           std::int64_t clock_drift_ppm, host_list settings)
    : self(instance), zone(z), address(host_address(instance.host)), cluster_(cluster),
      clock_drift_ppm_(clock_drift_ppm),
      clock_offset_(cluster.sim.between(1'000 * second, 1'000'000 * second)),
      running_since_(cluster.sim.now()),
      submitter_(cluster.store, log_, cluster.codec, cluster.keys),
      watcher_(cluster.store, log_, cluster.codec, cluster.keys), list_(std::move(settings)),
      issuer_(instance), membership_(instance, z, cluster.sim.random()),
      granter_(instance, local_time()), holder_(instance)
{
}

time_point host::local_time() const
{
    sim_time const t = cluster_.sim.now();
    return time_point(duration(clock_offset_ + t + t * clock_drift_ppm_ / 1'000'000));
}

// Converts a time near the present on this host's clock to global time.
sim_time host::to_global_time(time_point t) const
{
    return cluster_.sim.now() +
           (t - local_time()).count() * 1'000'000 / (1'000'000 + clock_drift_ppm_);
}

void host::start()
{
    publish();
    repeat_every(pool_tick_interval, &host::pool_tick);
    repeat_every(control_tick_interval, &host::control_tick);
    repeat_every(host_list_poll_interval, &host::read_list);
    watch_store();
}

// Calls f each period until the process exits; calls are skipped while it is suspended.
void host::repeat_every(sim_time period, void (host::*f)())
{
    cluster_.sim.after(period,
                       [this_host = shared_from_this(), period, f]
                       {
                           if (this_host->exited)
                               return;
                           if (!this_host->suspended)
                               ((*this_host).*f)();
                           this_host->repeat_every(period, f);
                       });
}

void host::run_or_defer(std::function<void()> f)
{
    if (exited)
        return;
    if (!suspended)
        f();
    else if (deferred_.size() < max_deferred)
        deferred_.push_back(std::move(f));
}

// The threads of a resumed process continue in any order.
void host::resume()
{
    suspended = false;
    running_since_ = cluster_.sim.now();
    if (cluster_.sim.chance(0.5))
        control_tick();
    if (cluster_.sim.chance(0.5))
        pool_tick();
    for (auto const& f : std::exchange(deferred_, {}))
        f();
}

void host::kill()
{
    exited = true;
    deferred_.clear();
    cluster_.check.forget_leases(self);
}

pool& host::pool_of(pool_id id)
{
    std::unique_ptr<pool>& p = pools_[id];
    if (!p)
    {
        p = std::make_unique<pool>(id, self, static_cast<std::uint32_t>(cluster_.sim.random()),
                                   static_cast<std::uint32_t>(cluster_.sim.random()));
        p->update(table_, local_time());
        if (shutting_down_)
            p->begin_shutdown();
    }
    return *p;
}

void host::control_tick()
{
    time_point const now = local_time();
    outgoing_heartbeats heartbeats;
    membership_.tick(now, heartbeats);
    send(heartbeats);
    granter_.on_list_settled(membership_.settled_list_version());
    std::vector<host_id> settled;
    for (zone_config const& z : log_.current()->zones)
        for (host_id const h : membership_.settled_hosts(z.id, now))
            settled.push_back(h);
    if (membership_.version() != view_version_ || settled != settled_)
    {
        settled_ = std::move(settled);
        publish_view();
    }
    holder_.set_candidates(membership_.settled_hosts(zone, now));
    outgoing_leases leases;
    holder_.tick(now, leases);
    send(leases);
    update_leases();
    for (auto const& [pool, to] : holder_.pools_to_hand_over(now))
        if (handing_over_.insert(pool).second)
            hand_over(pool, to);
}

void host::send(outgoing_heartbeats const& heartbeats)
{
    for (auto const& [to, message] : heartbeats)
        cluster_.send_control(*this, to, [message = message](host& h) { h.on_heartbeat(message); });
}

void host::send(outgoing_leases const& requests)
{
    for (auto const& [to, request] : requests)
        if (to == self.host)
            holder_.on_reply(granter_.on_request(request, local_time()), local_time());
        else
            cluster_.send_control(*this, to,
                                  [from = self.host, request = request](host& h)
                                  { h.on_lease_request(from, request); });
}

void host::on_heartbeat(heartbeat const& h)
{
    membership_.on_heartbeat(h, local_time());
    if (h.config > table_->rev() || h.list_version > table_->hosts().version)
        pull();
}

void host::on_lease_request(host_id from, lease_request const& r)
{
    cluster_.send_control(*this, from,
                          [reply = granter_.on_request(r, local_time())](host& h)
                          { h.on_lease_reply(reply); });
}

void host::on_lease_reply(lease_reply const& r)
{
    holder_.on_reply(r, local_time());
}

void host::publish_view()
{
    view_version_ = membership_.version();
    std::vector<cluster_entry> entries;
    for (member const& m : membership_.members())
        entries.push_back(
            {m.instance, m.zone, m.state, m.alive, host_address(m.instance.host),
             std::find(settled_.begin(), settled_.end(), m.instance.host) != settled_.end()});
    view_ = std::make_shared<cluster_view const>(self, zone, std::move(entries));
}

// Updates the pools with the leases now held.
void host::update_leases()
{
    time_point const now = local_time();
    std::set<pool_id> held;
    for (pool_id const p : holder_.held_pools(now))
    {
        if (handing_over_.contains(p))
            continue;
        held.insert(p);
        auto const until = holder_.valid_until(p, now);
        pool_of(p).set_lease(until);
        cluster_.check.lease(p, self, to_global_time(*until));
    }
    for (pool_id const p : leased_)
        if (!held.contains(p))
        {
            pool_of(p).set_lease({});
            cluster_.check.lease(p, self, 0);
        }
    leased_ = std::move(held);
}

// Releases the lease only after the successor has received the outstanding requests.
void host::hand_over(pool_id pool, host_id to)
{
    pool_handover const message = pool_of(pool).hand_over(local_time());
    auto const ended = std::make_shared<bool>(false);
    auto const end = [this_host = shared_from_this(), pool, ended](bool accepted)
    {
        if (!std::exchange(*ended, true))
            this_host->run_or_defer([this_host, pool, accepted]
                                    { this_host->end_handover(pool, accepted); });
    };
    cluster_.sim.after(handover_timeout, [end] { end(false); });
    cluster_.send_control(*this, to,
                          [message, end, this_host = shared_from_this()](host& h)
                          {
                              h.pool_of(message.pool).accept_handover(message, h.local_time());
                              h.cluster_.send_control(h, this_host->self.host,
                                                      [end](host&) { end(true); });
                          });
}

void host::end_handover(pool_id pool, bool accepted)
{
    handing_over_.erase(pool);
    if (!accepted)
        return; // keeps the lease; the next tick retries
    outgoing_leases leases;
    holder_.release(pool, local_time(), leases);
    send(leases);
    leased_.erase(pool);
    pool_of(pool).set_lease({});
    cluster_.check.lease(pool, self, 0);
}

// Applies the current configuration and host list, and announces them to the other hosts.
void host::publish()
{
    time_point const now = local_time();
    config_ptr const config = log_.current();
    bool const is_new_revision = reached_.empty() || reached_.rbegin()->first != config->rev.value;
    if (is_new_revision)
    {
        cluster_.check.applied(*this, config);
        reached_[config->rev.value] = cluster_.sim.now();
    }
    reached_list_.emplace(list_.version, cluster_.sim.now());
    table_ = cluster_.table_of(config, list_);
    ramp_ = ramp_.updated(*table_, now);
    for (auto& [id, p] : pools_)
        p->update(table_, now);
    membership_.update(list_, now);
    granter_.update(list_, now);
    holder_.update(list_);
    std::vector<pool_id> pools;
    for (service_config const& s : table_->config().services)
        if (pool_id const id{s.id, zone}; !table_->pool(id).empty())
            pools.push_back(id);
    holder_.set_pools(pools);
    membership_.set_local(table_->rev(), list_.version,
                          leaving ? host_state::leaving : host_state::live);
    publish_view();
    outgoing_heartbeats heartbeats;
    membership_.announce(now, heartbeats);
    send(heartbeats);
}

// Fetches the configuration and host list from a peer with newer versions.
void host::pull()
{
    if (std::exchange(pulling_, true))
        return;
    auto peer = membership_.best_config_peer();
    if (!peer)
        peer = membership_.best_list_peer();
    if (!peer)
    {
        pulling_ = false;
        return;
    }
    cluster_.sim.after(pull_timeout,
                       [this_host = shared_from_this()] { this_host->pulling_ = false; });
    cluster_.send_control(
        *this, *peer,
        [this_host = shared_from_this(), since = log_.rev()](host& h)
        {
            auto const changes = h.log_.changes_since(since);
            auto const config = h.log_.current();
            h.cluster_.send_control(
                h, this_host->self.host,
                [changes, config, list = h.list_](host& requester)
                {
                    requester.pulling_ = false;
                    bool changed = false;
                    if (!changes)
                        changed = requester.log_.install(*config);
                    else
                        for (config_change const& c : *changes)
                            changed = requester.log_.apply(c).step == log_step::applied || changed;
                    if (changed)
                        requester.publish();
                    requester.take_list(list);
                });
        });
}

void host::take_list(host_list const& list)
{
    if (list.version <= list_.version)
        return;
    list_ = list;
    publish();
}

void host::read_list()
{
    if (membership_.is_watcher() && !cluster_.store.down &&
        !cluster_.sim.chance(cluster_.store.failure_probability))
        take_list(cluster_.store.list);
}

void host::watch_store()
{
    sim_time next =
        cluster_.sim.between(cluster_.store.call_interval, 2 * cluster_.store.call_interval);
    if (!suspended && membership_.is_watcher())
    {
        revision const before = log_.rev();
        watch_result const r = watcher_.step(cluster_.sim.random);
        if (!r.problems.empty())
            cluster_.sim.log("store: " + to_string(r.problems.front()));
        next = std::max<sim_time>(next, r.pause.count());
        if (log_.rev() != before)
            publish();
    }
    cluster_.sim.after(next,
                       [this_host = shared_from_this()]
                       {
                           if (!this_host->exited)
                               this_host->watch_store();
                       });
}

submit_result host::submit(config_change change, revision in_force_everywhere)
{
    revision highest;
    for (member const& m : membership_.members())
        highest = std::max(highest, m.config);
    revision const before = log_.rev();
    submit_result r = submitter_.submit(std::move(change), {in_force_everywhere, highest, {}});
    if (log_.rev() != before)
        publish();
    return r;
}

void host::begin_shutdown()
{
    if (leaving || exited)
        return;
    leaving = true;
    run_or_defer(
        [this]
        {
            publish();
            cluster_.sim.after(leave_notice_time,
                               [this_host = shared_from_this()]
                               {
                                   this_host->run_or_defer(
                                       [this_host]
                                       {
                                           this_host->shutting_down_ = true;
                                           for (auto& [id, p] : this_host->pools_)
                                               p->begin_shutdown();
                                           this_host->poll_shutdown(this_host->cluster_.sim.now() +
                                                                    drain_limit);
                                       });
                               });
        });
}

// Rule 9: a host that shuts down exits without outstanding requests.
void host::poll_shutdown(sim_time until)
{
    if (exited)
        return;
    bool const idle =
        std::all_of(pools_.begin(), pools_.end(), [](auto const& p) { return p.second->idle(); });
    bool const done = idle && holder_.held_pools(local_time()).empty();
    if (!suspended && (done || cluster_.sim.now() >= until))
    {
        cluster_.sim.after(exit_delay,
                           [this_host = shared_from_this()]
                           {
                               if (this_host->exited)
                                   return;
                               bool const has_outstanding =
                                   !std::all_of(this_host->pools_.begin(), this_host->pools_.end(),
                                                [](auto const& p) { return p.second->idle(); });
                               if (has_outstanding)
                                   this_host->cluster_.sim.violation(
                                       "9 graceful shutdown",
                                       "requests outstanding at the exit of host " +
                                           std::to_string(this_host->self.host.value));
                               this_host->kill();
                           });
        return;
    }
    cluster_.sim.after(drain_poll_interval, [this_host = shared_from_this(), until]
                       { this_host->poll_shutdown(until); });
}

} // namespace chivelever::soak
