// The control plane: heartbeats, pool leases and planned handovers between hosts.
#ifndef CHIVELEVER_DAEMON_CONTROL_PLANE_HPP
#define CHIVELEVER_DAEMON_CONTROL_PLANE_HPP

#include "daemon/context.hpp"
#include "daemon/packet_plane.hpp"

#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace chivelever
{

class control_plane
{
public:
    control_plane(daemon_context& context, packet_plane& packets, peer_client& client,
                  boost::asio::thread_pool& background);
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    // Sets the callback for heartbeats that announce a newer configuration or host list.
    void on_newer_peer(std::function<void()> f) { on_newer_peer_ = std::move(f); }
    void start();
    void stop();

    void tick(time_point now);
    // Applies the current routing table and host list, and announces them to the other hosts
    // immediately.
    void table_changed(time_point now);
    void announce_leaving(time_point now);

    // gRPC endpoint of a host that has a newer configuration, or else a newer host list.
    std::optional<endpoint> newer_peer_endpoint();
    bool is_watcher();
    // Whether another live host in this zone can take over pools.
    bool has_successor();
    std::vector<member> members();
    std::vector<pool_id> held_pools(time_point now);
    // Timeline subject of the pool, for example pool/order_desk@akl.
    std::string pool_name(pool_id pool) const;
    // gRPC endpoint at which a host is reachable from this host.
    std::optional<endpoint> grpc_endpoint_of(host_id id) const;

private:
    void receive(std::string_view bytes, time_point now);
    void send(host_id to, peer_message const& message);
    void send_lease_requests(outgoing_leases const& requests, time_point now);
    void send_heartbeats(outgoing_heartbeats& heartbeats);
    void publish_view();
    void update_leases(time_point now);
    void hand_over_pools(time_point now);
    void hand_over(pool_id pool, host_id to);
    endpoint packet_endpoint_of(host_id id) const;
    endpoint peer_endpoint_of(host_id id) const;
    peer_settings const* find_peer_settings(host_id id) const;

    daemon_context& context_;
    packet_plane& packet_plane_;
    peer_client& peer_client_;
    boost::asio::thread_pool& background_;
    peer_codec peer_codec_;
    udp_socket socket_;
    std::function<void()> on_newer_peer_;
    std::map<host_id, peer_settings const*> peers_;

    std::mutex mutex_; // guards all members below
    membership membership_;
    lease_granter lease_granter_;
    lease_holder lease_holder_;
    std::uint64_t view_version_{~std::uint64_t{0}};
    std::set<host_id> settled_hosts_; // hosts that are eligible to hold pools
    std::set<pool_id> leased_pools_;
    std::set<pool_id> pools_in_handover_;
};

} // namespace chivelever

#endif
