// Checks invariants that span all hosts. Each function states its rule.
#ifndef CHIVELEVER_SOAK_CHECKER_HPP
#define CHIVELEVER_SOAK_CHECKER_HPP

#include "network.hpp"

#include <map>

namespace chivelever::soak
{

class simulated_cluster;
class host;

class checker
{
public:
    explicit checker(simulated_cluster& cluster) : cluster_(cluster) {}

    // Records that a host holds a lease until `until` (global time), or none if 0. Two hosts must
    // never hold a lease at the same time; a suspended host's lease counts until it expires.
    void lease(pool_id pool, host_instance holder, sim_time until);
    void forget_leases(host_instance holder);
    // A host has applied a revision: each revision has one configuration, and the revision never
    // decreases.
    void applied(host const& h, config_ptr const& config);
    // A host sends a packet to an upstream or a host: rules 4 and 8.
    void sent(host const& from, packet_view const& p, endpoint to);
    // A host issues a stream or upload to an upstream: rule 8.
    void issued(host const& from, flow_id const& id);
    // A host answers a caller: rule 6.
    void answered(host const& from, packet_view const& p);
    // A caller is told that its stream or upload has ended: rule 1.
    void given_up(flow_id const& id, packet_status status);
    // Rule 10, for all pairs of hosts; called periodically.
    void propagation();

    fleet_config const& latest() const { return *configs_.rbegin()->second; }
    bool any() const { return !configs_.empty(); }
    std::map<std::uint64_t, config_ptr> const& configs() const { return configs_; }

private:
    // Returns whether another host has had the revision (or list) for `time` while both hosts ran
    // and their zones were connected, so that h must have applied it.
    template<class Reached>
    bool must_know(host const& h, sim_time time, Reached reached) const;
    void check_new_work(host const& from, upstream_id id, char const* what);
    revision inactive_since(upstream_id id) const;

    simulated_cluster& cluster_;
    std::map<pool_id, std::map<host_instance, sim_time>> leases_;
    std::map<std::uint64_t, config_ptr> configs_; // by revision
};

} // namespace chivelever::soak

#endif
