#include "state/routing_table.hpp"

#include <algorithm>
#include <utility>

namespace chivelever
{

namespace
{
template<class Map, class Key>
auto find_or_null(Map const& map, Key const& key) -> typename Map::mapped_type
{
    auto const it = map.find(key);
    return it == map.end() ? nullptr : it->second;
}
} // namespace

routing_table::routing_table(fleet_config config, host_list hosts, std::string_view cluster_secret)
    : config_(std::move(config)), hosts_(std::move(hosts)),
      signer_(cluster_secret, config_.key_epoch)
{
    for (zone_config const& z : config_.zones)
        evacuated_zones_[z.id.value] = z.state == zone_state::out;
    for (service_config const& s : config_.services)
        services_.emplace(s.id, &s);
    for (upstream_config const& u : config_.upstreams)
    {
        upstreams_.emplace(u.id, &u);
        if (u.state < upstream_state::retired)
            address_owners_.emplace(u.address.packed(), &u);
        pools_[{u.service, u.zone}].push_back(&u);
        auto& zones = service_zones_[u.service];
        if (std::find(zones.begin(), zones.end(), u.zone) == zones.end())
            zones.push_back(u.zone);
    }
    for (listed_host const& h : hosts_.hosts)
    {
        if (h.kind == listed_kind::upstream)
        {
            listed_upstreams_.emplace(upstream_id{h.id}, h.state);
            continue;
        }
        entry_hosts_.emplace(host_id{static_cast<std::uint16_t>(h.id)}, &h);
        zone_hosts_[h.zone].push_back(&h);
    }
    for (upstream_config const& u : config_.upstreams)
    {
        if (!takes_new_work(u))
            continue;
        auto const weight = effective_value(config_, setting::weight, u.service, u.zone, u.id);
        capacities_[{u.service, u.zone}] += static_cast<double>(u.slots * weight);
    }
}

upstream_config const* routing_table::find(upstream_id id) const
{
    return find_or_null(upstreams_, id);
}

upstream_config const* routing_table::owner_of(endpoint address) const
{
    return find_or_null(address_owners_, address.packed());
}

service_config const* routing_table::find(service_id id) const
{
    return find_or_null(services_, id);
}

zone_config const* routing_table::find(zone_id id) const
{
    for (zone_config const& z : config_.zones)
        if (z.id == id)
            return &z;
    return nullptr;
}

listed_host const* routing_table::find(host_id id) const
{
    return find_or_null(entry_hosts_, id);
}

bool routing_table::zone_is_out(zone_id id) const
{
    return evacuated_zones_[id.value];
}

std::span<upstream_config const* const> routing_table::pool(pool_id id) const
{
    auto const it = pools_.find(id);
    if (it == pools_.end())
        return {};
    return it->second;
}

double routing_table::capacity(pool_id id) const
{
    auto const it = capacities_.find(id);
    return it == capacities_.end() ? 0 : it->second;
}

std::span<zone_id const> routing_table::zones_of(service_id id) const
{
    auto const it = service_zones_.find(id);
    if (it == service_zones_.end())
        return {};
    return it->second;
}

std::span<listed_host const* const> routing_table::zone_hosts(zone_id id) const
{
    auto const it = zone_hosts_.find(id);
    if (it == zone_hosts_.end())
        return {};
    return it->second;
}

bool routing_table::takes_new_work(upstream_config const& u) const
{
    if (u.state != upstream_state::active || zone_is_out(u.zone))
        return false;
    auto const it = listed_upstreams_.find(u.id);
    return it == listed_upstreams_.end() || it->second == host_state::live;
}

} // namespace chivelever
