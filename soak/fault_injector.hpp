// Builds the simulated cluster and injects faults, host list changes and configuration changes at
// random times.
#ifndef CHIVELEVER_SOAK_FAULT_INJECTOR_HPP
#define CHIVELEVER_SOAK_FAULT_INJECTOR_HPP

#include "simulated_cluster.hpp"

#include <optional>
#include <string>
#include <vector>

namespace chivelever::soak
{

class fault_injector
{
public:
    explicit fault_injector(simulated_cluster& cluster) : cluster_(cluster), sim_(cluster.sim) {}

    void build(std::uint32_t servers_per_zone, std::uint32_t services,
               std::uint32_t callers_per_service);
    void start();
    // Ends all faults and restarts exited hosts.
    void clear_faults();

private:
    // Hosts and the host list.
    void start_host(std::size_t n);
    std::shared_ptr<host> random_running_host();
    void kill(std::size_t n);
    void restart_zone(zone_id zone);
    void suspend(std::size_t n, sim_time time);
    void leave(std::size_t n);
    void restart_after_exit(std::size_t n, incarnation run);
    bool can_change_list() const;
    void bump_list_version(std::string const& what);
    // Returns false if the list may not change now.
    bool set_listed(std::size_t n, bool listed, host_state state);

    // Faults.
    void inject_fault();
    void partition_zone();
    void inject_store_fault();
    void inject_server_fault();
    void change_host_list();

    // Operators.
    void submit_random_change();
    std::vector<operation> choose_operations(fleet_config const& config);
    bool submit(host& at, std::vector<operation> operations, std::string id = {});
    void reuse_address(fleet_config const& config);
    void complete_address_reuse(std::string const& id, upstream_config const& u, int attempts_left);
    revision lowest_active_revision(host const& at) const;
    std::string change_id();

    simulated_cluster& cluster_;
    simulation& sim_;
    std::uint8_t zones_{};
    bool high_clock_drift_{};
    std::vector<std::uint32_t> incarnations_;    // latest incarnation, by host
    std::vector<std::int64_t> clock_drifts_ppm_; // by host
    host_list all_hosts_;                        // initial list in the settings of each host
    sim_time last_list_change_{};
    sim_time last_key_rotation_{};
    sim_time restored_{-60 * second};
    bool restore_pending_{};
    bool address_reuse_pending_{};
    std::uint32_t next_upstream_{};
};

} // namespace chivelever::soak

#endif
