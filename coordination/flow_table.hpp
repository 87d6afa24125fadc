// The flows that pass this host, and what their callers' packets tell of the upstreams: open flows,
// requests that wait for an answer, and stalls. Nothing here is needed to forward a packet; a host
// that has just started has an empty table and forwards by token.
#ifndef CHIVELEVER_COORDINATION_FLOW_TABLE_HPP
#define CHIVELEVER_COORDINATION_FLOW_TABLE_HPP

#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivelever
{

enum class flow_phase : std::uint8_t
{
    opening, // the caller has not yet shown that an upstream answered
    open,
    closing // the caller has sent its end
};

struct flow_record
{
    flow_token upstream;
    std::array<flow_token, 2> tried; // upstreams that did not answer the opening
    std::uint32_t first_sequence{};
    std::uint32_t sent_end{}; // sequence after the last byte that the caller has sent
    std::uint32_t acknowledged{};
    time_point opened;
    time_point last_seen;
    time_point request_at; // of the request that waits for its answer; zero: none
    time_point data_at;    // of the caller's latest new bytes
    flow_phase phase{flow_phase::opening};
    std::uint8_t offers{}; // upstreams that the opening was sent to
    bool operator==(flow_record const&) const = default;
};

// What this host counts for one upstream.
struct upstream_load
{
    std::uint32_t flows{};
    std::uint32_t waiting{};  // requests without an answer, openings included
    time_point quiet_since{}; // first request that waits, or latest answer after it
    // Mean of `waiting` over the last second or so. Other hosts hear this one: a request takes less
    // time than a message to them is apart from the next, so that the present number says nothing.
    double mean_waiting{};
    time_point mean_at{};
    auto operator<=>(upstream_load const&) const = default;
};

// What one packet of a caller shows.
struct flow_observation
{
    bool answered{}; // the upstream has answered since the caller's previous packet
    bool repeated{}; // the caller sends the same bytes again
    bool request{};  // a request starts with this packet
    std::optional<duration> answer_time;
    std::optional<duration> opening_time; // until the caller showed that an upstream answered
    bool operator==(flow_observation const&) const = default;
};

class flow_table
{
public:
    flow_record* find(flow_ends const& key);
    // Replaces an older flow between the same ends.
    flow_record& open(flow_ends const& key, flow_token upstream, std::uint32_t sequence,
                      time_point now);
    // A flow that opened through another host.
    flow_record& adopt(caller_packet const& p, time_point now);
    // Moves an opening to another upstream.
    void offer(flow_record& flow, flow_token upstream, time_point now);
    flow_observation observe(flow_record& flow, caller_packet const& p, time_point now);
    void erase(flow_ends const& key, time_point now);
    // Forgets flows that were idle for longer than `idle`.
    void expire(time_point now, duration idle);
    // Upstreams of which a request waits and that have answered nothing for `limit`.
    std::vector<flow_token> stalled(time_point now, duration limit) const;
    // The open flows of one upstream, with what their callers have acknowledged last.
    std::vector<std::pair<flow_ends, std::uint32_t>> flows_of(flow_token upstream) const;

    upstream_load load(flow_token upstream) const;
    double mean_waiting(flow_token upstream, time_point now) const;
    // Whether flows to this destination mostly carry more than one request.
    bool carries_many(endpoint destination) const;
    std::unordered_map<std::uint32_t, upstream_load> const& loads() const { return loads_; }
    std::size_t size() const { return flows_.size(); }

private:
    // What callers of one destination do with their flows.
    struct flow_habit
    {
        double openings{};
        double requests{};
    };
    void start_waiting(flow_record& flow, time_point now);
    void stop_waiting(flow_record& flow, time_point now);
    void release(flow_record& flow, time_point now);

    std::unordered_map<flow_ends, flow_record> flows_;
    std::unordered_map<std::uint32_t, upstream_load> loads_;
    std::unordered_map<std::uint64_t, flow_habit> habits_; // by packed destination
};

} // namespace chivelever

#endif
