// Admission of new flows by the free capacity of a service. Answers the load at which more requests
// arrive than all slots can process: requests without capacity are refused at once, the lowest
// priority first, before they reach an upstream, and capacity is shared by max-min fairness among
// zones and callers.
//
// Decides only; reads no clock and opens no socket.
#ifndef CHIVELEVER_ADMISSION_CAPACITY_ADMISSION_HPP
#define CHIVELEVER_ADMISSION_CAPACITY_ADMISSION_HPP

#include "admission/caller_share.hpp"
#include "admission/capacity_share.hpp"
#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

struct admission_settings
{
    bool enabled{}; // false: capacity_admission applies to no service
};

struct admission_query
{
    std::string const& service;
    endpoint destination; // the route
    std::uint32_t priority{};
    duration objective{};
    endpoint caller;
    std::string const& own_zone;
    std::span<zone_room const> rooms;
    std::span<zone_demand const> demands; // one for each zone with hosts, the own one included
};

enum class admission_reason : std::uint8_t
{
    within_share,  // below this host's share of the capacity
    zone_has_room, // above the share, but the hosts of the zone leave part of theirs unused
    minimum_share, // admitted so that a low priority does not starve
    no_room,
    caller_over_share
};
std::string_view to_string(admission_reason r);

struct admission_result
{
    bool admitted{true};
    admission_reason reason{admission_reason::within_share};
    double pending{}; // own unanswered requests of the service
    double limit{};   // the limit that applied
    duration age{};   // of the oldest report used
    auto operator<=>(admission_result const&) const = default;
};

class capacity_admission
{
public:
    explicit capacity_admission(admission_settings settings = {}) : settings_(settings) {}

    // Whether the policy is enabled and the routes of the service that are in use have at least two
    // priorities and one common latency objective. Other services keep to overload_control.
    bool applies_to(std::string const& service) const;
    // Records an opening, also of a service to which the policy does not apply.
    void record_opening(std::string const& service, endpoint destination, std::uint32_t priority,
                        duration objective, time_point now);
    // A request started on an admitted flow.
    void record_request(std::string const& service, std::uint32_t priority, time_point now);
    // `had_free_slot`: the upstream had one when the request was placed, so that it did not wait.
    void record_answer(std::string const& service, duration answer_time, bool had_free_slot);
    admission_result admit(admission_query const& query, time_point now);
    // Busy slots that the arrivals at this host need, by priority; reported to other hosts.
    std::map<std::uint32_t, double> demand(std::string const& service, time_point now) const;
    void expire(time_point now);

private:
    // Number of events, decaying exponentially with time.
    struct decayed_count
    {
        double value{};
        time_point at{};
        double read(time_point now, duration time_constant) const;
        void add(time_point now, duration time_constant);
    };
    struct route_usage
    {
        decayed_count openings;
        std::uint32_t priority{};
        duration objective{};
    };
    struct priority_load
    {
        std::uint32_t priority{};
        decayed_count started; // requests
        decayed_count refused; // openings
        // Requests and admitted openings. Divides the pending requests among the priorities, for
        // which answers are not counted separately.
        decayed_count placed;
        caller_share callers;
    };
    struct service_state
    {
        std::map<endpoint, route_usage> routes;
        time_point routes_evaluated_at{};
        bool applies{};
        std::uint32_t lowest_priority{}; // of the routes in use
        duration objective{};
        std::vector<priority_load> loads; // at most max_priorities, in ascending order
        double service_time_s{};          // without waiting
        std::uint32_t answers{};          // counted up to the length of the mean
        capacity_share share;             // cached
        time_point share_at{};
        double mean_pending{}; // of the last fraction of a second
        time_point pending_at{};
        time_point at_limit_since{};
        time_point at_limit_last{};
        time_point last_used{};
    };
    static void evaluate_routes(service_state& s, time_point now);
    static priority_load& load_of(service_state& s, std::uint32_t priority);
    static double service_time_s(service_state const& s);
    static std::map<std::uint32_t, double> demand(service_state const& s, time_point now);
    static bool zone_has_room(service_state& s, admission_query const& query, double depth,
                              time_point now, admission_result& result);
    static bool below_minimum(service_state const& s, priority_load const& load, time_point now,
                              admission_result const& result);
    static admission_reason decide(service_state& s, priority_load const& load,
                                   admission_query const& query, time_point now,
                                   admission_result& result);

    admission_settings settings_;
    std::map<std::string, service_state> services_;
};

} // namespace chivelever

#endif
