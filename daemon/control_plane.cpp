#include "daemon/control_plane.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <unistd.h>

namespace chivelever
{

namespace
{
// Size of the IPv4 and UDP headers, which count against the control traffic budget.
constexpr std::size_t ip_udp_header_bytes = 28;
} // namespace

control_plane::control_plane(daemon_context& context, packet_plane& packets, peer_client& client,
                             boost::asio::thread_pool& background)
    : context_(context), packet_plane_(packets), peer_client_(client), background_(background),
      peer_codec_(context.settings.cluster_secret), socket_(context.settings.peer_listen),
      membership_(context.self, context.settings.zone, std::random_device{}()),
      lease_granter_(context.self, context.started), lease_holder_(context.self)
{
    for (peer_settings const& p : context.settings.peers)
        peers_.emplace(p.id, &p);
    metrics& m = context.metric_registry;
    m.gauge(
        "control_bytes_sent_total", "Bytes of peer datagrams sent, IP and UDP headers included.",
        [this] {
            return static_cast<double>(socket_.sent_bytes() + ip_udp_header_bytes * socket_.sent());
        });
    m.gauge("control_bytes_received_total",
            "Bytes of peer datagrams received, IP and UDP headers included.",
            [this]
            {
                return static_cast<double>(socket_.received_bytes() +
                                           ip_udp_header_bytes * socket_.received());
            });
    m.gauge("pools_held", "Pools whose lease this host has.",
            [this] { return static_cast<double>(held_pools(monotonic_now()).size()); });
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

peer_settings const* control_plane::find_peer_settings(host_id id) const
{
    auto const it = peers_.find(id);
    return it == peers_.end() ? nullptr : it->second;
}

// The settings take precedence over the platform's list because they contain the endpoints at
// which the peers are reachable from this host.
endpoint control_plane::packet_endpoint_of(host_id id) const
{
    if (peer_settings const* const p = find_peer_settings(id))
        return p->packet;
    if (id == context_.self.host)
        return context_.settings.packet_listen;
    listed_host const* const h = context_.table.get()->find(id);
    return h == nullptr ? endpoint{} : h->packet;
}

endpoint control_plane::peer_endpoint_of(host_id id) const
{
    if (peer_settings const* const p = find_peer_settings(id))
        return p->peer;
    listed_host const* const h = context_.table.get()->find(id);
    return h == nullptr ? endpoint{} : h->peer;
}

std::optional<endpoint> control_plane::grpc_endpoint_of(host_id id) const
{
    if (peer_settings const* const p = find_peer_settings(id))
        return p->grpc;
    listed_host const* const h = context_.table.get()->find(id);
    if (h == nullptr || !h->grpc.is_set())
        return {};
    return h->grpc;
}

void control_plane::send(host_id to, peer_message const& message)
{
    endpoint const address = peer_endpoint_of(to);
    if (address.is_set())
        socket_.send(address, peer_codec_.encode(context_.self.host, message));
}

void control_plane::send_heartbeats(outgoing_heartbeats& heartbeats)
{
    for (auto& [to, beat] : heartbeats)
    {
        beat.clock = context_.clock.now(unix_now_ms());
        send(to, beat);
    }
}

// Requests addressed to this host are passed directly to the local lease granter.
void control_plane::send_lease_requests(outgoing_leases const& requests, time_point now)
{
    for (auto const& [to, request] : requests)
    {
        if (to == context_.self.host)
            lease_holder_.on_reply(lease_granter_.on_request(request, now), now);
        else
            send(to, request);
    }
}

void control_plane::receive(std::string_view bytes, time_point now)
{
    auto const received = peer_codec_.decode(bytes);
    if (!received)
    {
        context_.metric_registry
            .count("peer_datagrams_refused_total", "Peer datagrams that do not verify.")
            .fetch_add(1);
        return;
    }
    bool peer_is_newer = false;
    std::unique_lock lock(mutex_);
    if (auto const* const beat = std::get_if<heartbeat>(&received->message))
    {
        context_.clock.observe(beat->clock, unix_now_ms());
        membership_.on_heartbeat(*beat, now);
        routing_table_ptr const table = context_.table.get();
        peer_is_newer = beat->config > table->rev() || beat->list_version > table->hosts().version;
    }
    else if (auto const* const request = std::get_if<lease_request>(&received->message))
        send(received->from, lease_granter_.on_request(*request, now));
    else if (auto const* const reply = std::get_if<lease_reply>(&received->message))
        lease_holder_.on_reply(*reply, now);
    lock.unlock();
    if (auto const* const handover = std::get_if<pool_handover>(&received->message))
        packet_plane_.accept(*handover, now);
    if (peer_is_newer && on_newer_peer_)
        on_newer_peer_();
}

void control_plane::tick(time_point now)
{
    std::lock_guard const lock(mutex_);
    outgoing_heartbeats heartbeats;
    membership_.tick(now, heartbeats);
    send_heartbeats(heartbeats);
    // Until the first heartbeat of a peer arrives, it is unknown whether the local host list is
    // current. A host with an in-process store is the only one of its deployment: no peer has an
    // older list, so its own version is settled.
    bool const single_host = context_.settings.in_process;
    if (std::uint64_t const settled_version = membership_.settled_list_version();
        settled_version > 0 || single_host)
        lease_granter_.on_list_settled(single_host ? context_.table.get()->hosts().version
                                                   : settled_version);
    if (auto const run = membership_.newer_own_run(); run && !context_.leaving)
    {
        // The system clock was set back, so the other hosts regard this run as an outdated one.
        log::error("host.outdated",
                   {{"known_incarnation", std::to_string(run->value)},
                    {"note",
                     "restart the daemon once the system clock has passed the known incarnation"}});
        ::kill(::getpid(), SIGTERM);
        context_.leaving = true;
    }
    std::set<host_id> settled;
    for (zone_config const& z : context_.table.get()->config().zones)
        for (host_id const h : membership_.settled_hosts(z.id, now))
            settled.insert(h);
    if (membership_.version() != view_version_ || settled != settled_hosts_)
    {
        settled_hosts_ = std::move(settled);
        publish_view();
    }
    lease_holder_.set_candidates(membership_.settled_hosts(context_.settings.zone, now));
    outgoing_leases leases;
    lease_holder_.tick(now, leases);
    send_lease_requests(leases, now);
    update_leases(now);
    hand_over_pools(now);
}

void control_plane::publish_view()
{
    view_version_ = membership_.version();
    std::vector<cluster_entry> entries;
    for (member const& m : membership_.members())
        entries.push_back({m.instance, m.zone, m.state, m.alive,
                           packet_endpoint_of(m.instance.host),
                           settled_hosts_.contains(m.instance.host)});
    context_.view.set(std::make_shared<cluster_view const>(context_.self, context_.settings.zone,
                                                           std::move(entries)));
}

// Applies the current leases to the pools and records each lease gained or lost.
void control_plane::update_leases(time_point now)
{
    std::set<pool_id> leased_pools;
    for (pool_id const p : lease_holder_.held_pools(now))
    {
        if (pools_in_handover_.contains(p))
            continue;
        leased_pools.insert(p);
        packet_plane_.set_lease(p, lease_holder_.valid_until(p, now));
        if (!leased_pools_.contains(p))
            context_.record("lease.granted", pool_name(p), "this host admits new work to the pool");
    }
    for (pool_id const p : leased_pools_)
    {
        if (leased_pools.contains(p))
            continue;
        packet_plane_.set_lease(p, {});
        context_.record("lease.ended", pool_name(p),
                        "this host no longer admits new work to the pool");
    }
    leased_pools_ = std::move(leased_pools);
}

void control_plane::hand_over_pools(time_point now)
{
    for (auto const& [pool, to] : lease_holder_.pools_to_hand_over(now))
        if (pools_in_handover_.insert(pool).second)
            boost::asio::post(background_, [this, pool = pool, to = to] { hand_over(pool, to); });
}

// Runs on a background thread because the call to the successor blocks for a round trip. The lease
// is released only after the successor has acknowledged the outstanding requests.
void control_plane::hand_over(pool_id pool, host_id to)
{
    pool_handover const message = packet_plane_.hand_over(pool, monotonic_now());
    auto const address = grpc_endpoint_of(to);
    bool const accepted = address && peer_client_.handover(*address, message);
    context_.record("lease.handover", pool_name(pool),
                    "to host " + std::to_string(to.value) + (accepted ? "" : ", not acknowledged"));
    std::lock_guard const lock(mutex_);
    pools_in_handover_.erase(pool);
    if (!accepted)
        return; // the lease is kept and the next tick retries
    outgoing_leases leases;
    time_point const now = monotonic_now();
    lease_holder_.release(pool, now, leases);
    send_lease_requests(leases, now);
    leased_pools_.erase(pool);
    packet_plane_.set_lease(pool, {});
}

void control_plane::table_changed(time_point now)
{
    std::lock_guard const lock(mutex_);
    routing_table_ptr const table = context_.table.get();
    membership_.update(table->hosts(), now);
    lease_granter_.update(table->hosts(), now);
    lease_holder_.update(table->hosts());
    std::vector<pool_id> pools;
    for (service_config const& s : table->config().services)
        if (pool_id const id{s.id, context_.settings.zone}; !table->pool(id).empty())
            pools.push_back(id);
    lease_holder_.set_pools(pools);
    membership_.set_local(table->rev(), table->hosts().version,
                          context_.leaving ? host_state::leaving : host_state::live);
    publish_view();
    outgoing_heartbeats heartbeats;
    membership_.announce(now, heartbeats);
    send_heartbeats(heartbeats);
}

void control_plane::announce_leaving(time_point now)
{
    context_.leaving = true;
    table_changed(now);
}

std::optional<endpoint> control_plane::newer_peer_endpoint()
{
    std::lock_guard const lock(mutex_);
    auto peer = membership_.best_config_peer();
    if (!peer)
        peer = membership_.best_list_peer();
    return peer ? grpc_endpoint_of(*peer) : std::nullopt;
}

bool control_plane::is_watcher()
{
    std::lock_guard const lock(mutex_);
    return membership_.is_watcher();
}

bool control_plane::has_successor()
{
    std::lock_guard const lock(mutex_);
    // A host that has just started counts too, because it settles before a drain times out.
    auto const& hosts = membership_.members();
    return std::any_of(hosts.begin(), hosts.end(),
                       [this](member const& m)
                       {
                           return m.instance.host != context_.self.host && m.alive &&
                                  m.state == host_state::live && m.zone == context_.settings.zone;
                       });
}

std::vector<member> control_plane::members()
{
    std::lock_guard const lock(mutex_);
    return membership_.members();
}

std::vector<pool_id> control_plane::held_pools(time_point now)
{
    std::lock_guard const lock(mutex_);
    return lease_holder_.held_pools(now);
}

std::string control_plane::pool_name(pool_id pool) const
{
    routing_table_ptr const table = context_.table.get();
    service_config const* const s = table->find(pool.service);
    zone_config const* const z = table->find(pool.zone);
    return "pool/" + (s == nullptr ? std::to_string(pool.service.value) : s->name) + "@" +
           (z == nullptr ? std::to_string(pool.zone.value) : z->name);
}

} // namespace chivelever
