// Divides the slots of a service among priorities, zones and hosts.
#ifndef CHIVELEVER_ADMISSION_CAPACITY_SHARE_HPP
#define CHIVELEVER_ADMISSION_CAPACITY_SHARE_HPP

#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace chivelever
{

// Upstreams of a service in one zone that this host can reach.
struct zone_room
{
    std::string zone;
    // Slots of the upstreams that take new flows; a recovering upstream counts in part.
    double slots{};
    double own_pending{}; // unanswered requests of this host at these upstreams
    auto operator<=>(zone_room const&) const = default;
};

// What the hosts of one zone tell about their load on a service.
struct zone_demand
{
    std::string zone;       // of the hosts
    std::size_t hosts{};    // living hosts of the zone; includes this host in its own zone
    double other_pending{}; // unanswered requests of these hosts, without this host's own
    // Busy slots that the arrivals at these hosts would need; capacity_admission adds its own.
    std::map<std::uint32_t, double> slots_by_priority;
    duration age{}; // of the oldest figure used
    bool heard{};   // false: no report, or an expired one
    auto operator<=>(zone_demand const&) const = default;
};

// Share of a service's capacity, in slots.
struct capacity_share
{
    double capacity{}; // of all zones
    double zone{};
    double host{};
    bool zone_heard{};   // whether figures of the own zone's other hosts are known
    duration zone_age{}; // of the oldest report of the own zone
    duration age{};      // of the oldest report used
    auto operator<=>(capacity_share const&) const = default;
};

// `own_demand`: busy slots that the arrivals at this host need, by priority.
capacity_share share_capacity(std::span<zone_room const> rooms,
                              std::span<zone_demand const> demands, std::string const& own_zone,
                              std::map<std::uint32_t, double> const& own_demand);

} // namespace chivelever

#endif
