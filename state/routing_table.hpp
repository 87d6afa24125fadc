// Routing table: a configuration and the platform's host list, indexed for the packet path.
// Immutable; threads share it through a shared_ptr and replace it as a whole.
#ifndef CHIVELEVER_STATE_ROUTING_TABLE_HPP
#define CHIVELEVER_STATE_ROUTING_TABLE_HPP

#include "state/config.hpp"
#include "state/flow_id.hpp"
#include "state/ids.hpp"
#include "state/messages.hpp"

#include <bitset>
#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace chivelever
{

class routing_table
{
public:
    routing_table(fleet_config config, host_list hosts, std::string_view cluster_secret);
    routing_table(routing_table const&) = delete; // the indexes point into the members
    routing_table& operator=(routing_table const&) = delete;

    fleet_config const& config() const { return config_; }
    host_list const& hosts() const { return hosts_; }
    flow_signer const& signer() const { return signer_; }
    revision rev() const { return config_.rev; }

    upstream_config const* find(upstream_id id) const;
    // The active or draining upstream with this address; nullptr if there is none.
    upstream_config const* owner_of(endpoint address) const;
    service_config const* find(service_id id) const;
    zone_config const* find(zone_id id) const;
    listed_host const* find(host_id id) const;

    bool zone_is_out(zone_id id) const;
    // All upstreams of the pool, in any state.
    std::span<upstream_config const* const> pool(pool_id id) const;
    // Zones that have at least one upstream of the service.
    std::span<zone_id const> zones_of(service_id id) const;
    // Entry hosts of the zone in the host list, live and leaving.
    std::span<listed_host const* const> zone_hosts(zone_id id) const;
    // Sum of slots times weight over the pool's upstreams that take new work; 0 if there are none.
    double capacity(pool_id id) const;
    // Whether both the configuration and the host list allow new work at the upstream.
    bool takes_new_work(upstream_config const& u) const;

private:
    fleet_config config_;
    host_list hosts_;
    flow_signer signer_;
    // Open-addressing hash map, because each packet takes several look-ups.
    template<class Key, class Value>
    using index = boost::unordered_flat_map<Key, Value, std::hash<Key>>;

    std::bitset<256> evacuated_zones_;
    index<upstream_id, upstream_config const*> upstreams_;
    index<std::uint64_t, upstream_config const*> address_owners_;
    index<service_id, service_config const*> services_;
    index<host_id, listed_host const*> entry_hosts_;
    index<upstream_id, host_state> listed_upstreams_;
    index<pool_id, std::vector<upstream_config const*>> pools_;
    index<pool_id, double> capacities_;
    index<service_id, std::vector<zone_id>> service_zones_;
    index<zone_id, std::vector<listed_host const*>> zone_hosts_;
};
using routing_table_ptr = std::shared_ptr<routing_table const>;

} // namespace chivelever

#endif
