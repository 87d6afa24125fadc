#include "daemon/control_plane.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <unistd.h>

namespace chivelever
{

namespace
{
// Bytes of the IP and UDP headers, which count against the control budget.
constexpr std::size_t header_bytes = 28;
} // namespace

control_plane::control_plane(context& shared, packet_plane& packets, peer_client& calls,
                             boost::asio::thread_pool& background)
    : shared_(shared), packets_(packets), calls_(calls), background_(background),
      codec_(shared.settings.cluster_secret), socket_(shared.settings.peer_listen),
      membership_(shared.self, shared.settings.zone, std::random_device{}()),
      granter_(shared.self, shared.started), holder_(shared.self)
{
    for (peer_settings const& p : shared.settings.peers)
        peers_.emplace(p.id, &p);
    metrics& m = shared.counters;
    m.gauge("control_bytes_sent_total",
            "Bytes of peer datagrams sent, IP and UDP headers included.",
            [this]
            { return static_cast<double>(socket_.sent_bytes() + header_bytes * socket_.sent()); });
    m.gauge("control_bytes_received_total",
            "Bytes of peer datagrams received, IP and UDP headers included.",
            [this] {
                return static_cast<double>(socket_.received_bytes() +
                                           header_bytes * socket_.received());
            });
    m.gauge("pools_held", "Pools whose lease this host has.",
            [this] { return static_cast<double>(held(monotonic_now()).size()); });
    m.gauge("hosts_alive", "Hosts that are alive by this host's judgement.",
            [this]
            {
                auto const all = members();
                return static_cast<double>(
                    std::count_if(all.begin(), all.end(), [](member const& x) { return x.alive; }));
            });
}

void control_plane::start()
{
    socket_.start({[this](std::string_view bytes, endpoint) { receive(bytes, monotonic_now()); }});
}

void control_plane::stop()
{
    socket_.stop();
}

peer_settings const* control_plane::configured(host_id id) const
{
    auto const it = peers_.find(id);
    return it == peers_.end() ? nullptr : it->second;
}

// The settings go before the platform's list: they name the endpoints as this host reaches them.
endpoint control_plane::packet_of(host_id id) const
{
    if (peer_settings const* const p = configured(id))
        return p->packet;
    if (id == shared_.self.host)
        return shared_.settings.packet_listen;
    listed_host const* const h = shared_.table.get()->find(id);
    return h == nullptr ? endpoint{} : h->packet;
}

endpoint control_plane::peer_of(host_id id) const
{
    if (peer_settings const* const p = configured(id))
        return p->peer;
    listed_host const* const h = shared_.table.get()->find(id);
    return h == nullptr ? endpoint{} : h->peer;
}

std::optional<endpoint> control_plane::grpc_of(host_id id) const
{
    if (peer_settings const* const p = configured(id))
        return p->grpc;
    listed_host const* const h = shared_.table.get()->find(id);
    if (h == nullptr || !h->grpc.is_set())
        return {};
    return h->grpc;
}

void control_plane::send(host_id to, peer_message const& message)
{
    endpoint const address = peer_of(to);
    if (address.is_set())
        socket_.send(address, codec_.encode(shared_.self.host, message));
}

void control_plane::send_heartbeats(outgoing_heartbeats& beats)
{
    for (auto& [to, beat] : beats)
    {
        beat.clock = shared_.clock.now(unix_now_ms());
        send(to, beat);
    }
}

// Requests to this host itself go straight to its own granter.
void control_plane::send_leases(outgoing_leases const& requests, time_point now)
{
    for (auto const& [to, request] : requests)
    {
        if (to == shared_.self.host)
            holder_.on_reply(granter_.on_request(request, now), now);
        else
            send(to, request);
    }
}

void control_plane::receive(std::string_view bytes, time_point now)
{
    auto const received = codec_.decode(bytes);
    if (!received)
    {
        shared_.counters.count("peer_datagrams_refused_total", "Peer datagrams that do not verify.")
            .fetch_add(1);
        return;
    }
    bool newer = false;
    std::unique_lock lock(mutex_);
    if (auto const* const beat = std::get_if<heartbeat>(&received->message))
    {
        shared_.clock.observe(beat->clock, unix_now_ms());
        membership_.on_heartbeat(*beat, now);
        table_ptr const table = shared_.table.get();
        newer = beat->config > table->rev() || beat->list_version > table->hosts().version;
    }
    else if (auto const* const request = std::get_if<lease_request>(&received->message))
        send(received->from, granter_.on_request(*request, now));
    else if (auto const* const reply = std::get_if<lease_reply>(&received->message))
        holder_.on_reply(*reply, now);
    lock.unlock();
    if (auto const* const handover = std::get_if<pool_handover>(&received->message))
        packets_.accept(*handover, now);
    if (newer && newer_peer_)
        newer_peer_();
}

void control_plane::tick(time_point now)
{
    std::lock_guard const lock(mutex_);
    outgoing_heartbeats beats;
    membership_.tick(now, beats);
    send_heartbeats(beats);
    // Before a peer has spoken there is no word of the list's age. The list of a single host cannot
    // be newer than that of others.
    bool const alone = shared_.settings.in_process;
    if (std::uint64_t const settled = membership_.settled_list(); settled > 0 || alone)
        granter_.list_settled(alone ? shared_.table.get()->hosts().version : settled);
    if (auto const run = membership_.newer_run(); run && !shared_.leaving)
    {
        // The clock was set back: the other hosts take this run for an old one.
        log::error("host.outdated", {{"known_incarnation", std::to_string(run->value)},
                                     {"note", "start again once the clock has passed it"}});
        ::kill(::getpid(), SIGTERM);
        shared_.leaving = true;
    }
    std::set<host_id> settled;
    for (zone_config const& z : shared_.table.get()->config().zones)
        for (host_id const h : membership_.settled_hosts(z.id, now))
            settled.insert(h);
    if (membership_.version() != view_version_ || settled != settled_)
    {
        settled_ = std::move(settled);
        publish_view();
    }
    holder_.set_candidates(membership_.settled_hosts(shared_.settings.zone, now));
    outgoing_leases leases;
    holder_.tick(now, leases);
    send_leases(leases, now);
    update_leases(now);
    hand_over_pools(now);
}

void control_plane::publish_view()
{
    view_version_ = membership_.version();
    std::vector<cluster_entry> entries;
    for (member const& m : membership_.members())
        entries.push_back({m.who, m.zone, m.state, m.alive, packet_of(m.who.host),
                           settled_.contains(m.who.host)});
    shared_.view.set(std::make_shared<cluster_view const>(shared_.self, shared_.settings.zone,
                                                          std::move(entries)));
}

// Passes the leases on to the pools, and records gains and losses.
void control_plane::update_leases(time_point now)
{
    std::set<pool_id> held;
    for (pool_id const p : holder_.held(now))
    {
        if (handing_over_.contains(p))
            continue;
        held.insert(p);
        packets_.set_lease(p, holder_.valid_until(p, now));
        if (!leased_.contains(p))
            shared_.record("lease.granted", pool_name(p), "this host admits to the pool");
    }
    for (pool_id const p : leased_)
    {
        if (held.contains(p))
            continue;
        packets_.set_lease(p, {});
        shared_.record("lease.ended", pool_name(p), "this host no longer admits to the pool");
    }
    leased_ = std::move(held);
}

void control_plane::hand_over_pools(time_point now)
{
    for (auto const& [pool, to] : holder_.to_hand_over(now))
        if (handing_over_.insert(pool).second)
            boost::asio::post(background_, [this, pool = pool, to = to] { hand_over(pool, to); });
}

// Runs on a background thread, since the call to the successor takes a round trip. The lease is
// released only after the successor knows what is outstanding.
void control_plane::hand_over(pool_id pool, host_id to)
{
    pool_handover const message = packets_.hand_over(pool, monotonic_now());
    auto const address = grpc_of(to);
    bool const accepted = address && calls_.handover(*address, message);
    shared_.record("lease.handover", pool_name(pool),
                   "to host " + std::to_string(to.value) + (accepted ? "" : ", not acknowledged"));
    std::lock_guard const lock(mutex_);
    handing_over_.erase(pool);
    if (!accepted)
        return; // keeps the lease; the next tick tries again
    outgoing_leases leases;
    time_point const now = monotonic_now();
    holder_.release(pool, now, leases);
    send_leases(leases, now);
    leased_.erase(pool);
    packets_.set_lease(pool, {});
}

void control_plane::table_changed(time_point now)
{
    std::lock_guard const lock(mutex_);
    table_ptr const table = shared_.table.get();
    membership_.update(table->hosts(), now);
    granter_.update(table->hosts(), now);
    holder_.update(table->hosts());
    std::vector<pool_id> pools;
    for (service_config const& s : table->config().services)
        if (pool_id const id{s.id, shared_.settings.zone}; !table->pool(id).empty())
            pools.push_back(id);
    holder_.set_pools(pools);
    membership_.set_local(table->rev(), table->hosts().version,
                          shared_.leaving ? host_state::leaving : host_state::live);
    publish_view();
    outgoing_heartbeats beats;
    membership_.announce(now, beats);
    send_heartbeats(beats);
}

void control_plane::set_leaving(time_point now)
{
    shared_.leaving = true;
    table_changed(now);
}

std::optional<endpoint> control_plane::newer_peer()
{
    std::lock_guard const lock(mutex_);
    auto peer = membership_.best_config_peer();
    if (!peer)
        peer = membership_.best_list_peer();
    return peer ? grpc_of(*peer) : std::nullopt;
}

bool control_plane::is_watcher()
{
    std::lock_guard const lock(mutex_);
    return membership_.is_watcher();
}

bool control_plane::has_successor()
{
    std::lock_guard const lock(mutex_);
    // A host that has just started counts as well: it settles within the time that a drain waits.
    auto const& hosts = membership_.members();
    return std::any_of(hosts.begin(), hosts.end(),
                       [this](member const& m)
                       {
                           return m.who.host != shared_.self.host && m.alive &&
                                  m.state == host_state::live && m.zone == shared_.settings.zone;
                       });
}

std::vector<member> control_plane::members()
{
    std::lock_guard const lock(mutex_);
    return membership_.members();
}

std::vector<pool_id> control_plane::held(time_point now)
{
    std::lock_guard const lock(mutex_);
    return holder_.held(now);
}

std::string control_plane::pool_name(pool_id pool) const
{
    table_ptr const table = shared_.table.get();
    service_config const* const s = table->find(pool.service);
    zone_config const* const z = table->find(pool.zone);
    return "pool/" + (s == nullptr ? std::to_string(pool.service.value) : s->name) + "@" +
           (z == nullptr ? std::to_string(pool.zone.value) : z->name);
}

} // namespace chivelever
