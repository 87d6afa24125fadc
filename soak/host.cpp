#include "host.hpp"

#include "world.hpp"

#include <algorithm>
#include <utility>

namespace chivelever::soak
{

namespace
{
constexpr sim_time pool_period = 8 * ms; // pool::tick asks for 10 ms at most
constexpr sim_time control_period = 50 * ms;
constexpr sim_time list_period = 2 * second;
constexpr sim_time call_timeout = second;
// Of a pull of configuration. A call to a frozen peer must not use up the 3 s within which a host
// has to act: with 1 s, two such calls in a row did (seeds 1031, 1109 and 1119 of 400,000 steps).
constexpr sim_time pull_timeout = 300 * ms;
// As in the daemon's shutdown.
constexpr sim_time notice_time = 800 * ms;
constexpr sim_time drain_limit = 4 * second;
constexpr sim_time drain_poll = 20 * ms;
constexpr sim_time linger = second;
constexpr std::size_t max_inbox = 200; // packets and messages that wait in a frozen host's sockets
} // namespace

host::host(world& w, host_instance me, zone_id z, std::int64_t ppm, host_list settings)
    : self(me), zone(z), address(host_address(me.host)), w_(w), ppm_(ppm),
      offset_(w.sim.between(1'000 * second, 1'000'000 * second)), since_(w.sim.now()),
      submitter_(w.store, log_, w.codec, w.keys), watcher_(w.store, log_, w.codec, w.keys),
      list_(std::move(settings)), issuer_(me), membership_(me, z, w.sim.random()),
      granter_(me, local()), holder_(me)
{
}

time_point host::local() const
{
    sim_time const t = w_.sim.now();
    return time_point(duration(offset_ + t + t * ppm_ / 1'000'000));
}

// Global time of a time on this host's clock that is near.
sim_time host::global(time_point t) const
{
    return w_.sim.now() + (t - local()).count() * 1'000'000 / (1'000'000 + ppm_);
}

void host::start()
{
    publish();
    every(pool_period, &host::pool_tick);
    every(control_period, &host::control_tick);
    every(list_period, &host::read_list);
    watch_store();
}

// Calls f each period until the process ends; a frozen process misses its turns.
void host::every(sim_time period, void (host::*f)())
{
    w_.sim.after(period,
                 [self = shared_from_this(), period, f]
                 {
                     if (self->dead)
                         return;
                     if (!self->frozen)
                         ((*self).*f)();
                     self->every(period, f);
                 });
}

void host::run_when_awake(std::function<void()> f)
{
    if (dead)
        return;
    if (!frozen)
        f();
    else if (inbox_.size() < max_inbox)
        inbox_.push_back(std::move(f));
}

// The threads of a thawed process go on in any order.
void host::thaw()
{
    frozen = false;
    since_ = w_.sim.now();
    if (w_.sim.chance(0.5))
        control_tick();
    if (w_.sim.chance(0.5))
        pool_tick();
    for (auto const& f : std::exchange(inbox_, {}))
        f();
}

void host::kill()
{
    dead = true;
    inbox_.clear();
    w_.check.forget_leases(self);
}

pool& host::pool_of(pool_id id)
{
    std::unique_ptr<pool>& p = pools_[id];
    if (!p)
    {
        p = std::make_unique<pool>(id, self, static_cast<std::uint32_t>(w_.sim.random()),
                                   static_cast<std::uint32_t>(w_.sim.random()));
        p->update(table_, local());
        if (shutting_down_)
            p->begin_shutdown();
    }
    return *p;
}

void host::control_tick()
{
    time_point const now = local();
    outgoing_heartbeats beats;
    membership_.tick(now, beats);
    send(beats);
    granter_.list_settled(membership_.settled_list());
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
    for (auto const& [pool, to] : holder_.to_hand_over(now))
        if (handing_over_.insert(pool).second)
            hand_over(pool, to);
}

void host::send(outgoing_heartbeats const& beats)
{
    for (auto const& [to, beat] : beats)
        w_.send_control(*this, to, [beat = beat](host& h) { h.on_heartbeat(beat); });
}

void host::send(outgoing_leases const& requests)
{
    for (auto const& [to, request] : requests)
        if (to == self.host)
            holder_.on_reply(granter_.on_request(request, local()), local());
        else
            w_.send_control(*this, to,
                            [from = self.host, request = request](host& h)
                            { h.on_lease_request(from, request); });
}

void host::on_heartbeat(heartbeat const& h)
{
    membership_.on_heartbeat(h, local());
    if (h.config > table_->rev() || h.list_version > table_->hosts().version)
        pull();
}

void host::on_lease_request(host_id from, lease_request const& r)
{
    w_.send_control(*this, from,
                    [reply = granter_.on_request(r, local())](host& h)
                    { h.on_lease_reply(reply); });
}

void host::on_lease_reply(lease_reply const& r)
{
    holder_.on_reply(r, local());
}

void host::publish_view()
{
    view_version_ = membership_.version();
    std::vector<cluster_entry> entries;
    for (member const& m : membership_.members())
        entries.push_back(
            {m.who, m.zone, m.state, m.alive, host_address(m.who.host),
             std::find(settled_.begin(), settled_.end(), m.who.host) != settled_.end()});
    view_ = std::make_shared<cluster_view const>(self, zone, std::move(entries));
}

// Passes the leases on to the pools.
void host::update_leases()
{
    time_point const now = local();
    std::set<pool_id> held;
    for (pool_id const p : holder_.held(now))
    {
        if (handing_over_.contains(p))
            continue;
        held.insert(p);
        auto const until = holder_.valid_until(p, now);
        pool_of(p).set_lease(until);
        w_.check.lease(p, self, global(*until));
    }
    for (pool_id const p : leased_)
        if (!held.contains(p))
        {
            pool_of(p).set_lease({});
            w_.check.lease(p, self, 0);
        }
    leased_ = std::move(held);
}

// The lease is released only after the successor knows what is outstanding.
void host::hand_over(pool_id pool, host_id to)
{
    pool_handover const message = pool_of(pool).hand_over(local());
    auto const answered = std::make_shared<bool>(false);
    auto const end = [self = shared_from_this(), pool, answered](bool accepted)
    {
        if (!std::exchange(*answered, true))
            self->run_when_awake([self, pool, accepted] { self->end_handover(pool, accepted); });
    };
    w_.sim.after(call_timeout, [end] { end(false); });
    w_.send_control(*this, to,
                    [message, end, from = shared_from_this()](host& h)
                    {
                        h.pool_of(message.pool).accept(message, h.local());
                        h.w_.send_control(h, from->self.host, [end](host&) { end(true); });
                    });
}

void host::end_handover(pool_id pool, bool accepted)
{
    handing_over_.erase(pool);
    if (!accepted)
        return; // keeps the lease; the next tick tries again
    outgoing_leases leases;
    holder_.release(pool, local(), leases);
    send(leases);
    leased_.erase(pool);
    pool_of(pool).set_lease({});
    w_.check.lease(pool, self, 0);
}

// Takes the present table into use, and tells the other hosts at once.
void host::publish()
{
    time_point const now = local();
    config_ptr const config = log_.current();
    bool const news = reached_.empty() || reached_.rbegin()->first != config->rev.value;
    if (news)
    {
        w_.check.applied(*this, config);
        reached_[config->rev.value] = w_.sim.now();
    }
    reached_list_.emplace(list_.version, w_.sim.now());
    table_ = w_.table_of(config, list_);
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
    outgoing_heartbeats beats;
    membership_.announce(now, beats);
    send(beats);
}

// Fetches what a host that is ahead has.
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
    w_.sim.after(pull_timeout, [me = shared_from_this()] { me->pulling_ = false; });
    w_.send_control(*this, *peer,
                    [me = shared_from_this(), since = log_.rev()](host& h)
                    {
                        auto const changes = h.log_.changes_since(since);
                        auto const config = h.log_.current();
                        h.w_.send_control(h, me->self.host,
                                          [changes, config, list = h.list_](host& back)
                                          {
                                              back.pulling_ = false;
                                              bool changed = false;
                                              if (!changes)
                                                  changed = back.log_.install(*config);
                                              else
                                                  for (config_change const& c : *changes)
                                                      changed = back.log_.apply(c).step ==
                                                                    log_step::applied ||
                                                                changed;
                                              if (changed)
                                                  back.publish();
                                              back.take_list(list);
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
    if (membership_.is_watcher() && !w_.store.down && !w_.sim.chance(w_.store.lost))
        take_list(w_.store.list);
}

void host::watch_store()
{
    sim_time next = w_.sim.between(w_.store.slowness, 2 * w_.store.slowness);
    if (!frozen && membership_.is_watcher())
    {
        revision const before = log_.rev();
        watch_result const r = watcher_.step(w_.sim.random);
        if (!r.problems.empty())
            w_.sim.log("store: " + to_string(r.problems.front()));
        next = std::max<sim_time>(next, r.pause.count());
        if (log_.rev() != before)
            publish();
    }
    w_.sim.after(next,
                 [me = shared_from_this()]
                 {
                     if (!me->dead)
                         me->watch_store();
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

void host::leave()
{
    if (leaving || dead)
        return;
    leaving = true;
    run_when_awake(
        [this]
        {
            publish();
            w_.sim.after(notice_time,
                         [me = shared_from_this()]
                         {
                             me->run_when_awake(
                                 [me]
                                 {
                                     me->shutting_down_ = true;
                                     for (auto& [id, p] : me->pools_)
                                         p->begin_shutdown();
                                     me->poll_drain(me->w_.sim.now() + drain_limit);
                                 });
                         });
        });
}

void host::poll_drain(sim_time until)
{
    if (dead)
        return;
    bool const idle =
        std::all_of(pools_.begin(), pools_.end(), [](auto const& p) { return p.second->idle(); });
    bool const done = idle && holder_.held(local()).empty();
    if (!frozen && (done || w_.sim.now() >= until))
    {
        w_.sim.after(linger,
                     [me = shared_from_this()]
                     {
                         if (me->dead)
                             return;
                         bool const left =
                             !std::all_of(me->pools_.begin(), me->pools_.end(),
                                          [](auto const& p) { return p.second->idle(); });
                         if (left)
                             me->w_.sim.violation("9 graceful shutdown",
                                                  "requests in hand at the exit of host " +
                                                      std::to_string(me->self.host.value));
                         me->kill();
                     });
        return;
    }
    w_.sim.after(drain_poll, [me = shared_from_this(), until] { me->poll_drain(until); });
}

} // namespace chivelever::soak
