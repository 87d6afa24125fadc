// Suspicion of upstreams from passing packets. Answers upstreams that die without a word, hang or
// are cut off while their entry in the store and their health checks still look good: openings that
// are not answered and requests that are sent again are noticed within a round trip or two, long
// before the entry lapses. A connection attempt then tells a dead upstream from a lost packet.
#ifndef CHIVELEVER_COORDINATION_UPSTREAM_HEALTH_HPP
#define CHIVELEVER_COORDINATION_UPSTREAM_HEALTH_HPP

#include "state/state.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chivelever
{

enum class upstream_verdict : std::uint8_t
{
    working,
    suspected, // avoid it for new flows
    silent     // answers nothing while others do: its flows have no future
};

// Outcome of a connection attempt.
enum class probe_result : std::uint8_t
{
    answered,
    unanswered,
    inconclusive // an upstream that works did not answer either: the fault may be this host's
};

class upstream_health
{
public:
    // A packet of the caller shows that the upstream has answered.
    void progress(flow_token upstream, time_point now);
    // An opening was not answered, or a request was sent again. Returns true if the upstream
    // becomes suspected by this.
    bool failure(flow_token upstream, time_point now);
    // A request waits for longer than usual, with no answer to any other: worth a probe, no more.
    void stalled(flow_token upstream, time_point now);
    // Another host suspects it.
    void peer_suspects(flow_token upstream, time_point now);

    // Upstreams to which a connection should be tried now. Each is returned once, until its result
    // is reported.
    std::vector<flow_token> probes_due(time_point now);
    // The result of an attempt that began at `started`. Returns true if the upstream becomes silent
    // by this; an answer to any caller since then outweighs it.
    bool probed(flow_token upstream, probe_result result, time_point started, time_point now);

    // Whether the last attempt to connect to it failed, with no answer to anyone since.
    bool fails_probes(flow_token upstream) const;
    // Upstreams that have answered most recently, to compare with; `upstream` left out.
    flow_token control_for(flow_token upstream, time_point now) const;
    upstream_verdict verdict(flow_token upstream, time_point now) const;
    // Those that this host has found failing itself, for other hosts.
    std::vector<flow_token> suspects(time_point now) const;
    // True if nothing has answered for a while although several upstreams were tried: the fault is
    // then on this host's side.
    bool isolated(time_point now) const;
    // Forgets upstreams of which nothing was seen for long.
    void expire(time_point now);

private:
    struct record
    {
        time_point last_progress;
        time_point last_failure;
        time_point peer_report;
        time_point doubted; // since when a probe is wanted; zero: it is not
        time_point probed_at;
        std::uint32_t failures{};      // since the last progress
        std::uint32_t failed_probes{}; // in a row
        bool probing{};
        bool reported_silent{}; // its flows have been reset
    };
    bool others_answer(time_point now) const;
    bool is_silent(record const& r, time_point now) const;

    std::unordered_map<std::uint32_t, record> records_;
    time_point last_progress_{};       // of any upstream
    time_point first_failure_{};       // of any upstream since then
    std::uint64_t failed_upstreams_{}; // bit set of hashes, since then
};

} // namespace chivelever

#endif
