// Talks to the platform's store: watches the configuration and reads the host list, while this host
// is one of its zone's watchers.
#ifndef CHIVELEVER_DAEMON_STORE_AGENT_HPP
#define CHIVELEVER_DAEMON_STORE_AGENT_HPP

#include "daemon/config_agent.hpp"

#include <atomic>
#include <thread>
#include <variant>

namespace chivelever
{

class store_agent
{
public:
    store_agent(context& shared, control_plane& control, config_agent& config);
    ~store_agent();
    store_agent(store_agent const&) = delete;
    store_agent& operator=(store_agent const&) = delete;

    void start();
    void stop();

private:
    void run_watch();
    void run_list();

    context& shared_;
    control_plane& control_;
    config_agent& config_;
    std::variant<http_store, memory_store> store_;
    std::atomic<bool> stopping_{false};
    std::thread watch_thread_;
    std::thread list_thread_;
};

} // namespace chivelever

#endif
