// Passive health checking of upstreams, confirmed by active probes. Detects upstreams that crash,
// hang or are partitioned while their store entry and health checks still look good: unanswered
// SYNs and retransmitted requests reveal them within one or two round trips, long before the store
// entry expires. A connection probe then distinguishes a dead upstream from a lost packet.
#ifndef CHIVELEVER_COORDINATION_UPSTREAM_HEALTH_HPP
#define CHIVELEVER_COORDINATION_UPSTREAM_HEALTH_HPP

#include "state/state.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivelever
{

enum class health_status : std::uint8_t
{
    healthy,
    suspected, // avoided for new flows
    silent     // does not answer while others do; its flows cannot continue
};

// Result of a connection attempt.
enum class probe_result : std::uint8_t
{
    answered,
    unanswered,
    inconclusive, // a working upstream did not answer either, so this host may be at fault
    closed        // accepted and closed: the upstream works but is above its connection limit
};

class upstream_health
{
public:
    // The upstream answered, as shown by a caller's packet. An answer on a flow that was opened
    // before the upstream failed its probes shows that it was not restarted.
    void record_answer(flow_token upstream, time_point now, time_point flow_opened);
    // A SYN was not answered, or a request was retransmitted. Returns true if this makes the
    // upstream suspected.
    bool record_failure(flow_token upstream, time_point now);
    // A request has been pending for unusually long and no other was answered. Requests a probe
    // only.
    void record_stall(flow_token upstream, time_point now);
    // Another host reports the upstream as suspected. Does not request a probe: hosts with requests
    // at the upstream probe it themselves, and probes by all hosts would fill its accept queue.
    void record_peer_suspicion(flow_token upstream, time_point now);
    // The upstream answered through another host at `answered_at`. Refutes failed probes that began
    // before, since an upstream with a full accept queue does not answer probes.
    void record_peer_answer(flow_token upstream, time_point answered_at);
    // A host of the upstream's zone has seen it return at `returned_at`.
    void record_peer_return(flow_token upstream, time_point returned_at);
    // When the upstream last came back after it had failed its probes, as seen by this host or
    // another one; zero if never. It may have been restarted, and count as cold.
    time_point returned_at(flow_token upstream) const;
    // Upstreams that have returned since `since`, the latest first.
    std::vector<std::pair<flow_token, time_point>> returns_since(time_point since) const;
    // Tells since when the deployment view is stale; zero while it is recent. A stale view lists
    // upstreams that are gone, so suspicions then last until the upstream responds.
    void set_stale_since(time_point since) { stale_since_ = since; }
    // Whether the view is stale and the upstream has not recently answered any host of the zone.
    bool lacks_recent_answer(flow_token upstream, time_point now) const;
    // The latest answers to callers of this host, at most `limit`, for the hosts of the zone; empty
    // while the view is recent.
    std::vector<std::pair<flow_token, time_point>> recent_answers(std::size_t limit,
                                                                  time_point now) const;
    // Time of the upstream's latest answer to a caller of this host; zero if unknown.
    time_point last_answer(flow_token upstream) const;

    // Upstreams to probe now. Each is returned once until its result is reported.
    std::vector<flow_token> probes_due(time_point now);
    // Result of a probe that began at `started`. Returns true if this makes the upstream silent; an
    // answer to any caller since `started` overrides a failed probe.
    bool probed(flow_token upstream, probe_result result, time_point started, time_point now);

    // Whether the last probe failed and no caller has been answered since.
    bool fails_probes(flow_token upstream) const;
    // Whether a probe shows that the upstream is down or full.
    bool shows_failure(flow_token upstream, time_point now) const;
    // The upstream that answered most recently and is not in `probed`, as a control for its probes.
    flow_token reference_upstream(std::span<flow_token const> probed) const;
    health_status status(flow_token upstream, time_point now) const;
    // Upstreams found failing by this host, to be reported to other hosts.
    std::vector<flow_token> suspects(time_point now) const;
    // True if several upstreams failed and none has answered for a while, which means that the
    // fault is on this host's side.
    bool isolated(time_point now) const;
    // Removes upstreams without recent events.
    void expire(time_point now);

private:
    struct record
    {
        time_point last_answer;
        time_point peer_answer; // latest answer through another host
        time_point last_failure;
        time_point peer_report;
        time_point probe_requested_at; // time of the latest probe request; zero if none
        time_point probed_at;
        time_point probe_answered_at;
        time_point closed_at;          // of the latest probe, if it was accepted and closed
        std::uint32_t failures{};      // since the last answer
        std::uint32_t failed_probes{}; // consecutive
        time_point failing_since{};    // start of the first of them
        // Consecutive answered probes without an answer to a caller.
        std::uint32_t answered_probes{};
        bool probing{};
        bool reported_silent{}; // its flows have been reset
        bool unreachable{};     // failed its probes and has not come back yet
        time_point returned_at{};
    };
    bool other_upstreams_answer(time_point now) const;
    bool is_silent(record const& r, time_point now) const;
    static bool reported_by_peer(record const& r, time_point now);
    // Whether a report of another host is valid and not refuted by an answer.
    bool is_reported(record const& r, time_point now) const;
    // Whether failures or probes of this host make the upstream suspected.
    bool is_suspected_here(record const& r, time_point now) const;
    // Whether a suspicion that began at `t` and would otherwise last for `span` is kept because the
    // view is stale.
    bool is_kept(record const& r, time_point t, duration span) const;
    bool stale_probe_due(record const& r, time_point now) const;
    static bool answered_since(record const& r, time_point t);

    std::unordered_map<std::uint32_t, record> records_;
    time_point stale_since_{};
    time_point last_answer_{};         // of any upstream
    time_point first_failure_{};       // of any upstream since last_answer_
    std::uint64_t failed_upstreams_{}; // bit set of hashes, since last_answer_
};

} // namespace chivelever

#endif
