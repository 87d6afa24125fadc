#include "admission/capacity_share.hpp"

#include "admission/max_min_share.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace chivelever
{

namespace
{

// A zone that takes part in the division with the figures that it reported.
struct participant
{
    zone_demand const* demand{};
    bool own{};
    double share{};
};

// Reports come from other hosts; a figure that is not a number counts as none.
double demand_of(participant const& p, std::uint32_t priority,
                 std::map<std::uint32_t, double> const& own_demand)
{
    double sum = 0;
    if (auto const it = p.demand->slots_by_priority.find(priority);
        it != p.demand->slots_by_priority.end())
        sum += it->second;
    if (auto const it = own_demand.find(priority); p.own && it != own_demand.end())
        sum += it->second;
    return std::isfinite(sum) ? std::max(sum, 0.0) : 0.0;
}

// Allocates capacity to one priority after the other, the highest first, and what is left equally.
void allocate(double capacity, std::vector<participant>& zones,
              std::map<std::uint32_t, double> const& own_demand)
{
    std::set<std::uint32_t> priorities;
    for (auto const& [priority, slots] : own_demand)
        priorities.insert(priority);
    for (participant const& p : zones)
        for (auto const& [priority, slots] : p.demand->slots_by_priority)
            priorities.insert(priority);
    std::vector<share_demand> wanted(zones.size());
    for (std::uint32_t const priority : priorities)
    {
        double total = 0;
        for (std::size_t i = 0; i < zones.size(); ++i)
        {
            wanted[i].demand = demand_of(zones[i], priority, own_demand);
            total += wanted[i].demand;
        }
        // The equal division of an excess is left to the end.
        std::vector<double> const shares = max_min_shares(std::min(capacity, total), wanted);
        for (std::size_t i = 0; i < zones.size(); ++i)
        {
            zones[i].share += shares[i];
            capacity = std::max(capacity - shares[i], 0.0);
        }
    }
    for (participant& p : zones)
        p.share += capacity / static_cast<double>(zones.size());
}

} // namespace

// A zone without a report counts as using its equal share, so that hosts without contact never
// exceed the capacity together.
capacity_share share_capacity(std::span<zone_room const> rooms,
                              std::span<zone_demand const> demands, std::string const& own_zone,
                              std::map<std::uint32_t, double> const& own_demand)
{
    capacity_share result;
    for (zone_room const& r : rooms)
        result.capacity += std::max(r.slots, 0.0);
    std::vector<participant> heard;
    double zone_count = 0;
    double own_hosts = 1;
    bool own_listed = false;
    bool own_reported = false;
    for (zone_demand const& d : demands)
    {
        bool const own = d.zone == own_zone;
        if (d.hosts == 0 && !own)
            continue;
        ++zone_count;
        own_listed = own_listed || own;
        own_reported = own_reported || (own && d.heard);
        if (own)
            own_hosts = std::max(static_cast<double>(d.hosts), 1.0);
        // A host that is alone in its zone has no one to hear from.
        bool const known = d.heard || (own && d.hosts <= 1);
        if (own)
        {
            result.zone_heard = known;
            result.zone_age = d.age;
        }
        if (!known)
            continue;
        heard.push_back({&d, own, 0});
        if (d.heard)
            result.age = std::max(result.age, d.age);
    }
    if (!own_listed)
        ++zone_count;
    // Without contact, zones are not known to have no hosts just because none is listed.
    if (!own_reported)
        for (zone_room const& r : rooms)
            if (r.zone != own_zone &&
                std::ranges::find(demands, r.zone, &zone_demand::zone) == demands.end())
                ++zone_count;
    double const equal_share = result.capacity / zone_count;
    result.zone = equal_share;
    allocate(equal_share * static_cast<double>(heard.size()), heard, own_demand);
    for (participant const& p : heard)
        if (p.own)
            result.zone = p.share;
    result.host = result.zone / own_hosts;
    return result;
}

} // namespace chivelever
