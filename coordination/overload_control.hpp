// Admission control for new flows while a service is overloaded. When more requests arrive than all
// upstreams of a service can process, unbounded admission fills the queues: every answer is late,
// and upstreams shed requests that have already waited. Refused flows are reset at the SYN, so
// nothing has run and the caller can retry, here or elsewhere, within its time limit.
//
// Load is measured as answer time relative to the latency objective of the route, and the refused
// share follows the control law of PIE (RFC 8033). The lowest priority is refused first; each
// priority keeps a minimum share, so that none starves.
#ifndef CHIVELEVER_COORDINATION_OVERLOAD_CONTROL_HPP
#define CHIVELEVER_COORDINATION_OVERLOAD_CONTROL_HPP

#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace chivelever
{

struct overload_settings
{
    // Target of the median answer time, as a share of the objective: the slowest requests take
    // about twice as long and are still on time, with a margin for the delay of the control.
    double target{0.48};
    // Change of the refused share per control period: `integral_gain` per objective by which the
    // median misses the target, `derivative_gain` per objective by which it has risen. With full
    // queues (a median of 1.5 objectives), one priority is refused after a third of a second; a
    // caller keeps retransmitting its SYN for 1.4 s.
    double integral_gain{0.3};
    double derivative_gain{0.4};
    double max_refused_share{0.9}; // per priority
};

class overload_control
{
public:
    explicit overload_control(overload_settings settings = {}) : settings_(settings) {}

    // Records the time that a request took to be answered.
    void answered(std::string const& service, duration answer_time, duration objective,
                  time_point now);
    // Whether a new flow is admitted.
    bool admits(std::string const& service, std::uint32_t priority, endpoint caller,
                time_point now);
    // Share of this priority's new flows that is refused.
    double refused_share(std::string const& service, std::uint32_t priority) const;
    // Services that refuse part of their new flows, with the refused share of the lowest priority.
    std::map<std::string, double> overloaded() const;
    // Decays the refused shares of services without traffic and removes unused services.
    void expire(time_point now);

private:
    struct answer_sample
    {
        time_point at;
        double share_of_objective;
    };
    struct service_state
    {
        std::deque<answer_sample> answers; // the most recent ones
        std::optional<double> previous_median;
        // 0: nothing is refused; each full `max_refused_share` covers one priority, the lowest
        // first.
        double refusal_level{};
        time_point period_start{};
        time_point last_used{};
        // Priority -> time of the latest SYN.
        std::map<std::uint32_t, time_point> last_open_by_priority;
    };
    void update(service_state& s, time_point now) const;

    overload_settings settings_;
    std::map<std::string, service_state> services_;
};

} // namespace chivelever

#endif
