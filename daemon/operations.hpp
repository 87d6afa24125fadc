// What the operators' endpoint answers: health, metrics and the API.
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
    operations(context& shared, packet_plane& packets, control_plane& control, config_agent& config,
               store_agent& store, peer_client& calls);
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
    std::vector<host_progress> ask_progress();
    std::vector<host_progress> progress();
    revision in_force_everywhere();
    std::string host_name(host_id id) const;

    context& shared_;
    packet_plane& packets_;
    control_plane& control_;
    config_agent& config_;
    store_agent& store_;
    peer_client& calls_;
    api_handler api_;
    std::atomic<bool> caught_up_{false}; // once, after the start
};

} // namespace chivelever

#endif
