// One daemon: builds the parts, connects them, and stops them in order.
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
    // Binds every address; throws std::exception if one is in use.
    node(host_settings settings, incarnation run);
    ~node();
    node(node const&) = delete;
    node& operator=(node const&) = delete;

    void start();
    // Graceful shutdown: takes no new work, hands its pools over, finishes what is in hand.
    void drain();

private:
    peer_handlers handlers();

    context shared_;
    boost::asio::thread_pool background_{2};
    peer_client calls_;
    packet_plane packets_;
    control_plane control_;
    config_agent config_;
    store_agent store_;
    operations operations_;
    peer_server peers_;
    timers timers_;
    timers::subscription pool_tick_;
    timers::subscription control_tick_;
    std::unique_ptr<http_server> admin_;
};

} // namespace chivelever

#endif
