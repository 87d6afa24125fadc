// The part of peer_exchange that keeps the loads reported by other hosts.
#include "coordination/peer_exchange.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

constexpr double milli_per_unit = 1000;

} // namespace

void peer_exchange::subtract_loads(peer& p)
{
    for (reported_load const& l : p.loads)
    {
        auto const it = total_loads_.find(l.upstream.value);
        if (it == total_loads_.end())
            continue;
        it->second.flows -= l.flows;
        it->second.mean_pending_milli -= l.mean_pending_milli;
        if (it->second.flows == 0 && it->second.mean_pending_milli == 0)
            total_loads_.erase(it);
    }
    p.loads.clear();
}

void peer_exchange::replace_loads(peer& p, std::vector<reported_load> const& loads, time_point now)
{
    subtract_loads(p);
    for (reported_load const& l : loads)
    {
        if (l.flows == 0 && l.mean_pending_milli == 0)
            continue;
        reported_load& sum = total_loads_[l.upstream.value];
        sum.flows += l.flows;
        sum.mean_pending_milli += l.mean_pending_milli;
        p.loads.push_back(l);
    }
    p.loads_received_at = now;
}

upstream_load peer_exchange::peer_load(flow_token upstream) const
{
    upstream_load out;
    auto const it = total_loads_.find(upstream.value);
    if (it == total_loads_.end())
        return out;
    out.flows = it->second.flows;
    out.mean_pending_requests = it->second.mean_pending_milli / milli_per_unit;
    return out;
}

std::vector<living_zone> peer_exchange::living_hosts(time_point now) const
{
    bool const contact = has_contact(now);
    std::vector<living_zone> out{{self_.zone, contact ? 1 : known_local_hosts_}};
    // A host that hears nobody keeps the last known size of its zone and counts no other zone.
    for (auto const& [zone, hosts] : zone_hosts_)
    {
        if (!contact || zone.empty() || !zone_reachable(zone, now))
            continue;
        auto const living = static_cast<std::size_t>(std::ranges::count_if(
            hosts, [&](std::uint32_t ip) { return is_alive(peers_.at(ip), now); }));
        if (zone == self_.zone)
            out.front().hosts += living;
        else if (living > 0)
            out.push_back({zone, living});
    }
    return out;
}

fleet_load peer_exchange::load_on_service(std::string const& service, time_point now) const
{
    return service_loads_.load(service, living_hosts(now), now);
}

} // namespace chivelever
