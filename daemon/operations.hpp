// Request handlers of the admin endpoint: health checks, metrics and the API.
#ifndef CHIVELEVER_DAEMON_OPERATIONS_HPP
#define CHIVELEVER_DAEMON_OPERATIONS_HPP

#include "daemon/config_agent.hpp"
#include "daemon/store_agent.hpp"

#include <atomic>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace chivelever
{

class operations
{
public:
    operations(daemon_context& context, packet_plane& packets, control_plane& control,
               config_agent& config, store_agent& store, peer_client& client);
    operations(operations const&) = delete;
    operations& operator=(operations const&) = delete;

    http_response handle(http_request const& r);
    host_status status();

private:
    api_backend backend();
    bool ready();
    boost::json::object fleet_status();
    boost::json::object why(std::string const& subject);
    std::vector<event> timeline(hybrid_time since, std::string const& subject);
    std::vector<host_progress> query_progress();
    std::vector<host_progress> progress();
    revision in_force_everywhere();
    std::string host_name(host_id id) const;

    daemon_context& context_;
    packet_plane& packet_plane_;
    control_plane& control_plane_;
    config_agent& config_agent_;
    store_agent& store_agent_;
    peer_client& peer_client_;
    api_handler api_handler_;
    std::atomic<bool> caught_up_after_start_{false}; // set once after startup and never cleared
};

} // namespace chivelever

#endif
