// What the operators' endpoint answers.
#ifndef CHIVELEVER_DAEMON_OPERATIONS_HPP
#define CHIVELEVER_DAEMON_OPERATIONS_HPP

#include "daemon/config_agent.hpp"
#include "daemon/store_agent.hpp"

namespace chivelever
{

class operations
{
public:
    operations(context& shared, packet_plane& packets, control_plane& control,
               config_agent& config, store_agent& store, peer_client& calls);
    operations(operations const&) = delete;
    operations& operator=(operations const&) = delete;

    http_response handle(http_request const& r);
    host_status status();

private:
    bool ready() const;

    context& shared_;
    packet_plane& packets_;
    control_plane& control_;
    config_agent& config_;
    store_agent& store_;
    peer_client& calls_;
};

} // namespace chivelever

#endif
