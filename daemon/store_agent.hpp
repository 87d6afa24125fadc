// Client of the platform's store. Watches the configuration and reads the host list while this host
// is a watcher of its zone, and submits changes made by operators.
#ifndef CHIVELEVER_DAEMON_STORE_AGENT_HPP
#define CHIVELEVER_DAEMON_STORE_AGENT_HPP

#include "daemon/config_agent.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>
#include <variant>

namespace chivelever
{

// The store selected by the settings: the platform's service or an in-process store.
class daemon_store
{
public:
    explicit daemon_store(host_settings const& settings);

    store_value get(std::string const& key);
    store_value compare_and_swap(std::string const& key, std::string const& value,
                                 std::uint64_t expected);
    store_value watch(std::string const& key, std::uint64_t index, duration wait);
    std::uint64_t calls() const;
    void cancel();

private:
    std::variant<http_store, memory_store> store_;
};
static_assert(platform_store<daemon_store>);

class store_agent
{
public:
    store_agent(daemon_context& context, control_plane& control, config_agent& config);
    ~store_agent();
    store_agent(store_agent const&) = delete;
    store_agent& operator=(store_agent const&) = delete;

    void start();
    void stop();

    // Called from the threads of the admin endpoint.
    submit_result submit(proposed_change const& proposal, revision in_force_everywhere);
    submit_result ask(std::string const& change_id);
    // Time at which the store became unreachable; empty if it is reachable or this host is not a
    // watcher.
    std::optional<time_point> unreachable_since() const;

private:
    // Runs a loop until it returns, and starts it again after a pause when an exception ends it.
    void keep_running(std::string const& name, void (store_agent::*loop)());
    void watch_store();
    void poll_host_list();
    void report_watch_result(watch_result const& r);
    void sleep(duration d);

    daemon_context& context_;
    control_plane& control_plane_;
    config_agent& config_agent_;
    daemon_store store_;
    change_submitter<daemon_store> submitter_;
    store_watcher<daemon_store> watcher_;
    std::mt19937_64 random_;
    std::atomic<std::int64_t> unreachable_since_{0}; // microseconds; 0 if reachable
    std::mutex stop_mutex_;
    std::condition_variable stop_condition_;
    bool stopping_{false};
    std::thread watch_thread_;
    std::thread host_list_thread_;
};

} // namespace chivelever

#endif
