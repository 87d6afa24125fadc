// Slow start of upstreams that have started or recovered. The level of an upstream is the number of
// requests that all hosts of its zone may have pending there. It begins with one request of one
// host, doubles with each round of good responses and halves after a bad sign, so that the
// upstream's own responses set the pace: a fixed one floods some upstreams and leaves others idle.
//
// Decides only; reads no clock and opens no socket. Each upstream's state is at most a few hundred
// bytes and is kept for a minute after the end.
#ifndef CHIVELEVER_ADMISSION_SLOW_START_HPP
#define CHIVELEVER_ADMISSION_SLOW_START_HPP

#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelever
{

enum class slow_start_cause : std::uint8_t
{
    listed,        // appeared in the store
    restarted,     // its entry shows a later start
    returned,      // answers again after it failed its probes
    zone_returned, // its zone is in service again after an evacuation
    reported,      // another host of its zone reports a slow start
    good_round,    // the level doubled
    slow_response, // the level halved
    no_response,   // unanswered SYN or retransmission; the level halved
    full_share,    // the end: it carried its full share
    time_elapsed   // the end: its responses were good for long enough, or no level was reported
};
std::string_view to_string(slow_start_cause c);

// A change of this host's level for one upstream, for logs and metrics.
struct slow_start_change
{
    flow_token upstream;
    slow_start_cause cause{};
    std::uint32_t level{};
    std::uint32_t lowest{};        // lowest recent level of the zone's hosts
    std::uint32_t full{};          // level of the full share
    duration response_time{};      // that caused the change; zero if none
    duration usual_time{};         // what responses of the service usually take; zero if unknown
    std::size_t reporting_hosts{}; // other hosts with a recent level
    auto operator<=>(slow_start_change const&) const = default;
};

// What this host knows of the zone's hosts with respect to one upstream.
struct slow_start_query
{
    std::uint32_t slots{1};
    std::uint32_t own_pending{}; // unanswered requests of this host at the upstream
    std::size_t rank{};          // of this host among the zone's hosts, for this upstream
    std::size_t hosts_in_zone{1};
    bool own_zone{true};   // the upstream is in this host's zone
    bool in_contact{true}; // other hosts are heard, or there are none
};

// The level of an upstream as reported by this host.
struct slow_start_report
{
    flow_token upstream;
    duration started{}; // age of the slow start
    std::uint32_t level{};
    auto operator<=>(slow_start_report const&) const = default;
};

class slow_start
{
public:
    // Begins the slow start of an upstream that started or recovered at `started`, unless that one
    // has begun already. `slots` are the upstream's.
    void start(flow_token upstream, slow_start_cause cause, std::uint32_t slots, time_point started,
               time_point now);
    // Whether the upstream is in slow start.
    bool active(flow_token upstream) const;
    // Whether this host may place a request on the upstream; true if it is not in slow start.
    bool admits(flow_token upstream, slow_start_query const& query, time_point now) const;
    // Share of the upstream's slots that counts as capacity, from 0 to 1.
    double capacity_share(flow_token upstream, time_point now) const;

    // A response of any upstream of a service with this objective. Those of upstreams that are not
    // in slow start determine what is usual.
    void record_response(flow_token upstream, std::string const& service, duration response_time,
                         duration objective, slow_start_query const& query, time_point now);
    // A SYN was not answered, or a request was retransmitted.
    void record_failure(flow_token upstream, time_point now);

    // A host of the upstream's zone reports its level.
    void record_report(std::uint32_t host, slow_start_report const& report, std::uint32_t slots,
                       time_point now);
    // Levels to report to other hosts: of upstreams that have recently responded to this one.
    std::vector<slow_start_report> reports(time_point now) const;

    // Changes since the previous call.
    std::vector<slow_start_change> take_changes();
    std::size_t active_count() const { return active_count_; }
    void expire(time_point now);

private:
    struct reported_level
    {
        std::uint32_t level{};
        time_point at{};
    };
    struct recovery
    {
        bool ended{};
        std::uint32_t full{};
        // Level of this host; 0 until the upstream has responded to it.
        std::uint32_t level{};
        std::uint32_t round_level{}; // lowest level of the zone during the current round
        std::uint32_t round_responses{};
        time_point started{};
        time_point round_started{};
        time_point halved_at{};
        time_point good_since{};    // first good response since the last bad sign; zero if none
        time_point last_response{}; // to this host
        time_point last_report{};   // of another host
        time_point ended_at{};
        std::map<std::uint32_t, reported_level> levels; // by address of the host
    };
    struct usual_response
    {
        double mean_us{};
        std::uint32_t count{};
    };
    static std::uint32_t reported_minimum(recovery const& r, time_point now);
    static std::uint32_t effective_level(recovery const& r, bool in_contact, time_point now);
    static std::uint32_t allowance(recovery const& r, slow_start_query const& query,
                                   time_point now);
    duration usual_time(std::string const& service) const;
    void begin(flow_token upstream, recovery& r, slow_start_cause cause, std::uint32_t slots,
               time_point started, time_point now);
    void end(flow_token upstream, recovery& r, slow_start_cause cause, time_point now);
    void halve(flow_token upstream, recovery& r, slow_start_cause cause, duration response_time,
               duration usual, time_point now);
    void record_change(flow_token upstream, recovery const& r, slow_start_cause cause,
                       duration response_time, duration usual, time_point now);

    std::unordered_map<std::uint32_t, recovery> recoveries_;
    std::map<std::string, usual_response> usual_; // by service
    std::vector<slow_start_change> changes_;
    std::size_t active_count_{};
};

} // namespace chivelever

#endif
