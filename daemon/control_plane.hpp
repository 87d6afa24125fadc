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
    control_plane(context& shared, packet_plane& packets, peer_client& calls,
                  boost::asio::thread_pool& background);
    control_plane(control_plane const&) = delete;
    control_plane& operator=(control_plane const&) = delete;

    // Called when a heartbeat shows that another host has a newer configuration or host list.
    void on_newer_peer(std::function<void()> f) { newer_peer_ = std::move(f); }
    void start();
    void stop();

    void tick(time_point now);
    // Takes in the present table and host list, and tells the other hosts at once.
    void table_changed(time_point now);
    void set_leaving(time_point now);

    // Where a host with a newer configuration, else a newer host list, answers calls.
    std::optional<endpoint> newer_peer();
    bool is_watcher();
    // Whether another host of the zone can take pools over.
    bool has_successor();
    std::vector<member> members();
    std::vector<pool_id> held(time_point now);
    // For the time line, for example pool/order_desk@akl.
    std::string pool_name(pool_id pool) const;
    // gRPC endpoint of a host, as this host reaches it.
    std::optional<endpoint> grpc_of(host_id id) const;

private:
    void receive(std::string_view bytes, time_point now);
    void send(host_id to, peer_message const& message);
    void send_leases(outgoing_leases const& requests, time_point now);
    void send_heartbeats(outgoing_heartbeats& beats);
    void publish_view();
    void update_leases(time_point now);
    void hand_over_pools(time_point now);
    void hand_over(pool_id pool, host_id to);
    endpoint packet_of(host_id id) const;
    endpoint peer_of(host_id id) const;
    peer_settings const* configured(host_id id) const;

    context& shared_;
    packet_plane& packets_;
    peer_client& calls_;
    boost::asio::thread_pool& background_;
    peer_codec codec_;
    udp_socket socket_;
    std::function<void()> newer_peer_;
    std::map<host_id, peer_settings const*> peers_;

    std::mutex mutex_; // guards all below
    membership membership_;
    lease_granter granter_;
    lease_holder holder_;
    std::uint64_t view_version_{~std::uint64_t{0}};
    std::set<host_id> settled_; // hosts that may hold pools
    std::set<pool_id> leased_;
    std::set<pool_id> handing_over_;
};

} // namespace chivelever

#endif
