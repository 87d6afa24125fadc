// Builds the fleet, and causes faults, platform changes and operators' changes at random times.
#ifndef CHIVELEVER_SOAK_CHAOS_HPP
#define CHIVELEVER_SOAK_CHAOS_HPP

#include "world.hpp"

#include <optional>
#include <string>
#include <vector>

namespace chivelever::soak
{

class chaos
{
public:
    explicit chaos(world& w) : w_(w), sim_(w.sim) {}

    void build(std::uint32_t servers_per_zone, std::uint32_t services,
               std::uint32_t callers_per_service);
    void start();
    // Ends all faults, and starts what is down.
    void heal();

private:
    // Hosts and their list.
    void start_host(std::size_t n);
    std::shared_ptr<host> any_running();
    void kill(std::size_t n);
    void restart_zone(zone_id zone);
    void freeze(std::size_t n, sim_time time);
    void leave(std::size_t n);
    void watch_exit(std::size_t n, incarnation run);
    bool may_change_list() const;
    void list_changed(std::string const& what);
    // False if the list may not change now.
    bool set_listed(std::size_t n, bool listed, host_state state);

    // Faults.
    void fault();
    void cut();
    void store_trouble();
    void server_trouble();
    void list_trouble();

    // Operators.
    void operate();
    std::vector<operation> choose(fleet_config const& config);
    bool submit(host& at, std::vector<operation> operations, std::string id = {});
    void reuse_address(fleet_config const& config);
    void finish_reuse(std::string const& id, upstream_config const& u, int tries);
    revision in_force(host const& at) const;
    std::string change_id();

    world& w_;
    simulation& sim_;
    std::uint8_t zones_{};
    bool drift_seed_{};
    std::vector<std::uint32_t> runs_; // latest incarnation, by host
    std::vector<std::int64_t> rates_; // ppm, by host
    host_list all_hosts_;             // as in the settings of each host
    sim_time list_changed_{};
    sim_time key_rotated_{};
    sim_time restored_{-60 * second};
    bool restore_pending_{};
    bool reusing_{};
    std::uint32_t next_upstream_{};
};

} // namespace chivelever::soak

#endif
