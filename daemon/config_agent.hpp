// Keeps this host's configuration and host list up to date, from the store and from other hosts.
#ifndef CHIVELEVER_DAEMON_CONFIG_AGENT_HPP
#define CHIVELEVER_DAEMON_CONFIG_AGENT_HPP

#include "daemon/control_plane.hpp"

#include <atomic>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <mutex>
#include <string>

namespace chivelever
{

class config_agent
{
public:
    config_agent(context& shared, packet_plane& packets, control_plane& control, peer_client& calls,
                 boost::asio::thread_pool& background);
    config_agent(config_agent const&) = delete;
    config_agent& operator=(config_agent const&) = delete;

    config_log& log() { return log_; }
    // Builds a table from the present document and list, and gives it to all parts.
    void publish();
    // Takes in the platform's list, in JSON, if its version is higher.
    void take_list(std::string const& json);
    // Pulls what is missing from another host, on a background thread, one pull at a time.
    void pull();
    fetch_result fetch(revision since, std::uint64_t list_version);

private:
    void pull_now();

    context& shared_;
    packet_plane& packets_;
    control_plane& control_;
    peer_client& calls_;
    boost::asio::thread_pool& background_;
    config_log log_;
    std::atomic<bool> pulling_{false};
    metrics::counter& pulls_;
    metrics::counter& failed_pulls_;
    std::mutex mutex_; // serializes publish and guards list_
    host_list list_;
    revision published_;
};

} // namespace chivelever

#endif
