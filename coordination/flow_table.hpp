// Flows that pass through this host, and what their packets reveal about the upstreams: open flows,
// pending requests and stalls. Forwarding does not depend on this state; a host with an empty
// table, as after a restart, forwards by the token in the packet.
#ifndef CHIVELEVER_COORDINATION_FLOW_TABLE_HPP
#define CHIVELEVER_COORDINATION_FLOW_TABLE_HPP

#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace chivelever
{

enum class flow_phase : std::uint8_t
{
    opening, // the caller has not yet acknowledged an upstream's answer
    open,
    closing // the caller has sent a FIN
};

struct flow_record
{
    flow_token upstream;
    std::array<flow_token, 2> tried; // upstreams that did not answer the SYN
    std::uint32_t first_sequence{};
    std::uint32_t next_sequence{}; // sequence number after the caller's last byte
    std::uint32_t acknowledged{};
    time_point opened;
    time_point offered_at; // when the SYN was first sent to the present upstream
    time_point last_seen;
    time_point request_sent_at; // of the pending request; zero if there is none
    time_point last_data_at;    // of the caller's latest new bytes
    flow_phase phase{flow_phase::opening};
    std::uint8_t open_attempts{}; // upstreams that the SYN was sent to
    // The upstream had a free slot when the latest request was placed, so that it did not wait.
    bool had_free_slot{};
    bool operator==(flow_record const&) const = default;
};

// Load of one upstream as counted by this host.
struct upstream_load
{
    std::uint32_t flows{};
    std::uint32_t pending_requests{}; // requests without an answer, unanswered SYNs included
    // Time of the first pending request or of the latest answer after it.
    time_point unanswered_since{};
    // Mean of `pending_requests` over about the last second. This is the value reported to other
    // hosts: requests finish within one report interval, so an instantaneous count would be
    // outdated on arrival.
    double mean_pending_requests{};
    time_point mean_at{};
    // Pending requests whose callers had sent nothing for a while at the latest expire(). Their
    // answers may have been acknowledged through another host.
    std::uint32_t silent_requests{};
    auto operator<=>(upstream_load const&) const = default;
};

// Result of evaluating one packet of a caller.
struct flow_observation
{
    bool answered{};      // the upstream has answered since the caller's previous packet
    bool retransmitted{}; // the caller sent the same bytes again
    bool request{};       // a request starts with this packet
    std::optional<duration> answer_time;
    std::optional<duration> open_latency; // from the SYN to the caller's first acknowledgement
    bool operator==(flow_observation const&) const = default;
};

class flow_table
{
public:
    flow_record* find(flow_endpoints const& key);
    // Replaces an older flow with the same addresses.
    flow_record& open(flow_endpoints const& key, flow_token upstream, std::uint32_t sequence,
                      time_point now);
    // Adds a flow that was opened through another host.
    flow_record& add_existing(caller_packet const& p, flow_token upstream, time_point now);
    // Moves a flow to another upstream.
    void reassign(flow_record& flow, flow_token upstream, time_point now);
    flow_observation observe(flow_record& flow, caller_packet const& p, time_point now);
    void erase(flow_endpoints const& key, time_point now);
    // Removes open flows that were idle for at least `idle`, and opening and closing flows after a
    // fixed time.
    void expire(time_point now, duration idle);
    // Upstreams with a pending request and no answer for more than `limit`.
    std::vector<flow_token> stalled_upstreams(time_point now, duration limit) const;
    // Open flows of one upstream, each with its caller's latest acknowledgement number.
    std::vector<std::pair<flow_endpoints, std::uint32_t>> flows_of(flow_token upstream) const;

    upstream_load load(flow_token upstream) const;
    double mean_pending_requests(flow_token upstream, time_point now) const;
    // Whether flows to this destination usually carry more than one request.
    bool carries_long_flows(endpoint destination) const;
    // Exponential mean of the time that requests take to be answered; zero without answers.
    duration mean_answer_time() const { return mean_answer_time_; }
    std::unordered_map<std::uint32_t, upstream_load> const& loads() const { return loads_; }
    // Upstreams with pending requests.
    std::unordered_set<std::uint32_t> const& busy_upstreams() const { return busy_; }
    std::size_t size() const { return flows_.size(); }

private:
    // Flows and requests counted for one destination.
    struct destination_usage
    {
        double opened_flows{};
        double requests{};
    };
    void start_request(flow_record& flow, time_point now);
    void finish_request(flow_record& flow, time_point now);
    void detach(flow_record& flow, time_point now);

    std::unordered_map<flow_endpoints, flow_record> flows_;
    std::unordered_map<std::uint32_t, upstream_load> loads_;
    std::unordered_set<std::uint32_t> busy_; // those of loads_ with pending requests
    std::unordered_map<std::uint64_t, destination_usage> usage_; // by packed destination
    duration mean_answer_time_{};
};

} // namespace chivelever

#endif
