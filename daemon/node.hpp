// Creates and connects the components of a daemon, and stops them in order.
#ifndef CHIVELEVER_DAEMON_NODE_HPP
#define CHIVELEVER_DAEMON_NODE_HPP

#include "daemon/config_agent.hpp"
#include "daemon/context.hpp"
#include "daemon/control_plane.hpp"
#include "daemon/operations.hpp"
#include "daemon/packet_plane.hpp"
#include "daemon/store_agent.hpp"

#include <boost/asio/thread_pool.hpp>
#include <memory>

namespace chivelever
{

class node
{
public:
    // Binds all listen addresses; throws std::exception if one is in use.
    node(host_settings settings, incarnation run);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    void start();
    // Shuts down gracefully: rejects new work, hands over the pools and completes outstanding
    // requests.
    void drain();

private:
    peer_handlers make_peer_handlers();

    daemon_context context_;
    boost::asio::thread_pool background_{2};
    peer_client peer_client_;
    packet_plane packet_plane_;
    control_plane control_plane_;
    config_agent config_agent_;
    store_agent store_agent_;
    operations operations_;
    peer_server peer_server_;
    timers timers_;
    timers::subscription pool_tick_;
    timers::subscription control_tick_;
    std::unique_ptr<http_server> admin_server_;
};

} // namespace chivelever

#endif
