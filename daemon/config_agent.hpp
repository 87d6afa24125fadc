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
    config_agent(daemon_context& context, packet_plane& packets, control_plane& control,
                 peer_client& client, boost::asio::thread_pool& background);
    config_agent(config_agent const&) = delete;
    config_agent& operator=(config_agent const&) = delete;

    config_log& log() { return config_log_; }
    // Builds a routing table from the current configuration and host list and publishes it to all
    // components.
    void publish();
    // Replaces the host list with the platform's list (JSON) if the latter has a higher version.
    void apply_host_list(std::string const& json);
    // Fetches missing changes and the newer host list from another host on a background thread.
    // Does nothing while an earlier fetch has not returned.
    void pull();
    // Returns the changes after `since` (or the whole configuration if they are no longer in the
    // log) and the host list if it is newer than `list_version`, for a host that pulls from this
    // one.
    fetch_result serve_fetch(revision since, std::uint64_t list_version);

private:
    void pull_from_peer();

    daemon_context& context_;
    packet_plane& packet_plane_;
    control_plane& control_plane_;
    peer_client& peer_client_;
    boost::asio::thread_pool& background_;
    config_log config_log_;
    std::atomic<bool> pulling_{false};
    metrics::counter& pull_count_;
    metrics::counter& failed_pull_count_;
    std::mutex mutex_; // serializes publish, guards all members below
    host_list host_list_;
    revision published_revision_;
};

} // namespace chivelever

#endif
