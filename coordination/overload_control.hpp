// Which openings are refused while a service is overloaded. Answers more requests than all
// upstreams of a service can work off: queues that nobody refuses fill up, after which every answer
// is late and upstreams shed what has already waited. The refusal is a reset at the opening packet,
// at once: nothing has run, and the caller may try again or elsewhere within its time.
//
// The load is measured by the answers themselves, as a share of the latency objective of their
// routes, and steers the refused share with the control law of PIE (RFC 8033). The lowest priority
// is refused first; each priority keeps some openings, so that none starves.
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
    // Median answer time to hold, as a share of the objective: the slowest requests take about
    // twice as long, and are still on time.
    double target{0.55};
    // Change of the refused share per control period, for an error of one objective: by how far the
    // median is off, and by how fast it moves. With full queues (a median of 1.5 objectives) one
    // priority is refused after half a second, of the 1.4 s that an opening waits.
    double integral_gain{0.2};
    double derivative_gain{0.2};
    double most_refused{0.9}; // of any priority
};

class overload_control
{
public:
    explicit overload_control(overload_settings settings = {}) : settings_(settings) {}

    // A request was answered after this time.
    void answered(std::string const& service, duration answer_time, duration objective,
                  time_point now);
    // Whether an opening is let in.
    bool admits(std::string const& service, std::uint32_t priority, endpoint caller,
                time_point now);
    // Share of the openings of this priority that is refused.
    double refused_share(std::string const& service, std::uint32_t priority) const;
    // Services of which a part of the openings is refused, with that part of the lowest priority.
    std::map<std::string, double> overloaded() const;
    // Lets the refused shares of services without traffic fade, and forgets services that are gone.
    void expire(time_point now);

private:
    struct answer
    {
        time_point at;
        double share_of_objective;
    };
    struct service_state
    {
        std::deque<answer> answers; // the latest ones
        std::optional<double> median_before;
        // 0: nothing is refused; each whole `most_refused` is one priority, the lowest first.
        double pressure{};
        time_point period_start{};
        time_point last_used{};
        std::map<std::uint32_t, time_point> openings; // priority -> latest opening
    };
    void update(service_state& s, time_point now) const;

    overload_settings settings_;
    std::map<std::string, service_state> services_;
};

} // namespace chivelever

#endif
