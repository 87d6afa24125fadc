// Invariants that need a view of all hosts at once. The rules are stated at each function.
#ifndef CHIVELEVER_SOAK_CHECKER_HPP
#define CHIVELEVER_SOAK_CHECKER_HPP

#include "network.hpp"

#include <map>

namespace chivelever::soak
{

class world;
class host;

class checker
{
public:
    explicit checker(world& w) : w_(w) {}

    // A host has a valid lease until `until` (global time); 0 for none. Two hosts never have one at
    // the same time; a frozen host's lease counts until it ends.
    void lease(pool_id pool, host_instance holder, sim_time until);
    void forget_leases(host_instance holder);
    // A host has taken a revision into use: there is one change for each revision, and the revision
    // never falls.
    void applied(host const& h, config_ptr const& config);
    // A host sends a packet to an upstream or a host: rules 4 and 8.
    void sent(host const& from, packet_view const& p, endpoint to);
    // A host issues a stream or upload to an upstream: rule 8.
    void issued(host const& from, flow_id const& id);
    // A host answers a caller: rule 6.
    void answered(host const& from, packet_view const& p);
    // A caller is told that its stream or upload has ended: rule 1.
    void given_up(flow_id const& id, packet_status status);
    // Rule 10, for all pairs of hosts; called now and then.
    void propagation();

    fleet_config const& latest() const { return *configs_.rbegin()->second; }
    bool any() const { return !configs_.empty(); }
    std::map<std::uint64_t, config_ptr> const& configs() const { return configs_; }

private:
    // Whether some host that is connected with h has had the revision (or list) for `time`, so that
    // h should act by it: both have run, and their zones were connected, for all of that time.
    template<class Reached>
    bool should_know(host const& h, sim_time time, Reached reached) const;
    void new_work(host const& from, upstream_id id, char const* what);
    revision since_state(upstream_id id) const;

    world& w_;
    std::map<pool_id, std::map<host_instance, sim_time>> leases_;
    std::map<std::uint64_t, config_ptr> configs_; // by revision
};

} // namespace chivelever::soak

#endif
