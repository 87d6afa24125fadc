// Connects capacity_admission with the state of an edge host: collects the slots, pending requests
// and reported loads that a decision about a service needs, and keeps what placement and the
// heartbeats use of them. Slots and reports are recomputed every 100 ms, so that an opening costs
// little; the host's own pending requests are counted for each decision, since they change with it.
#ifndef CHIVELEVER_COORDINATION_SERVICE_CAPACITY_HPP
#define CHIVELEVER_COORDINATION_SERVICE_CAPACITY_HPP

#include "admission/admission.hpp"
#include "coordination/deployment_view.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/placement.hpp"
#include "coordination/service_loads.hpp"
#include "coordination/upstream_health.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelever
{

// The decisions of capacity_admission; tests replace them.
struct capacity_policy
{
    std::function<bool(std::string const& service)> applies_to;
    std::function<admission_result(admission_query const&, time_point)> admit;
    std::function<std::map<std::uint32_t, double>(std::string const& service, time_point)> demand;
};
capacity_policy make_capacity_policy(capacity_admission& admission);

// Latest figures of one service, for metrics.
struct capacity_status
{
    double pending{};
    double limit{};
    double demand{}; // of this host's arrivals, in slots
    auto operator<=>(capacity_status const&) const = default;
};

class service_capacity
{
public:
    service_capacity(capacity_admission& admission, std::string zone, deployment_view const& view,
                     flow_table const& flows, upstream_health const& health, placement const& place,
                     fleet_state const& fleet)
        : policy(make_capacity_policy(admission)), admission_(admission), zone_(std::move(zone)),
          view_(view), flows_(flows), health_(health), place_(place), fleet_(fleet)
    {
    }

    void record_opening(std::string const& service, route_entry const& route, time_point now);
    void record_request(std::string const& service, std::uint32_t priority, time_point now);
    void record_answer(std::string const& service, duration answer_time, bool had_free_slot);

    std::string const& own_zone() const { return zone_; }
    bool applies_to(std::string const& service) const { return policy.applies_to(service); }
    // Nullopt if there is nothing to decide: the service has no slots, or this host has just
    // started and does not know the other hosts, so that its share would be wrong.
    std::optional<admission_result> admit(std::string const& service, route_entry const& route,
                                          endpoint caller, time_point now);
    // Loads by which the next flow is placed; null if the policy does not apply to the service. The
    // pointer is valid until the next call.
    capacity_placement const* placement_loads(std::string const& service, time_point now);

    // Loads of this host for heartbeats within the zone. `reported` are services on which other
    // hosts report loads: without a report of its own, this host would count as using its share.
    std::vector<service_load> own_loads(std::set<std::string> const& reported, time_point now);
    // Services of which a part of the openings was refused recently, with that part.
    std::map<std::string, double> overloaded(time_point now) const;
    // Services to which the policy applies.
    std::vector<std::string> services() const;
    capacity_status status(std::string const& service, time_point now);
    void expire(time_point now);

    capacity_policy policy;

private:
    // Openings of which the policy decided, decayed.
    struct decision_counts
    {
        double asked{};
        double refused{};
        time_point at{};
        void decay(time_point now);
    };
    struct service_state
    {
        time_point computed_at{};
        std::vector<zone_room> rooms; // of reachable zones
        fleet_load others;
        capacity_placement loads;
        // Limit of the lowest priority that is asked for: the limits of higher ones are wider.
        double limit{};
        std::uint32_t limit_priority{};
        time_point limit_at{};
        decision_counts decisions;
        time_point last_used{};
    };
    // Brings slots, reports and own pending requests up to date.
    service_state& update(std::string const& service, time_point now);
    void compute(std::string const& service, service_state& s, time_point now) const;
    void count_own_pending(std::string const& service, service_state& s, time_point now) const;
    // Slots of the upstream that take new flows of this host.
    double usable_slots(known_upstream const& u, time_point now) const;

    capacity_admission& admission_;
    std::string zone_;
    deployment_view const& view_;
    flow_table const& flows_;
    upstream_health const& health_;
    placement const& place_;
    fleet_state const& fleet_;
    std::map<std::string, service_state> services_;
};

} // namespace chivelever

#endif
