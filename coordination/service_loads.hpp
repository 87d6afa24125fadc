// Loads of services as reported by other hosts. A host knows the load of its own zone from the
// reports of the zone's hosts, and that of another zone from sums, so that the size of a report
// does not grow with the fleet. Figures of a zone that are missing for some of its hosts are scaled
// up, since hosts of one zone receive similar loads.
#ifndef CHIVELEVER_COORDINATION_SERVICE_LOADS_HPP
#define CHIVELEVER_COORDINATION_SERVICE_LOADS_HPP

#include "admission/admission.hpp"
#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelever
{

// Load of the fleet on one service, without the load of this host.
struct fleet_load
{
    std::vector<zone_demand> demands; // one for each zone with hosts that can be reached
    // Unanswered requests of the hosts of other zones, by zone of the upstreams.
    std::map<std::string, double> remote_pending;
    bool operator==(fleet_load const&) const = default;
};

// A reachable zone and its living hosts, this host included.
struct living_zone
{
    std::string zone;
    std::size_t hosts{};
    auto operator<=>(living_zone const&) const = default;
};

class service_loads
{
public:
    explicit service_loads(std::string zone) : zone_(std::move(zone)) {}

    // Replaces the reports of a host of this zone, or the sums of another zone. A heartbeat without
    // reports leaves the earlier ones in force until they expire.
    void record(peer_address const& from, std::vector<service_load> const& loads, time_point now);
    // The host has left or is considered dead.
    void remove(std::uint32_t host) { hosts_.erase(host); }
    void expire(time_point now);

    // `zones` lists every zone with reachable hosts.
    fleet_load load(std::string const& service, std::vector<living_zone> const& zones,
                    time_point now) const;
    // Sums over this zone, for other zones: this host's own loads and the reports of its zone.
    std::vector<service_load> zone_sums(std::vector<service_load> const& own, time_point now) const;
    // Services on which another host has reported a load.
    std::set<std::string> loaded_services(time_point now) const;

private:
    struct report
    {
        time_point received_at{};
        std::map<std::string, service_load> loads; // by service
    };
    static bool is_recent(report const& r, time_point now);
    // Sum of the reports of this zone's hosts; `hosts` is 0 without a report.
    service_load sum_of_zone(std::string const& service, time_point now) const;

    std::string zone_;
    std::unordered_map<std::uint32_t, report> hosts_; // of this zone
    std::map<std::string, report> zones_;             // other zones
};

} // namespace chivelever

#endif
