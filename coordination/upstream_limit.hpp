// Limit controller of one upstream: how many requests may be outstanding there.
#ifndef CHIVELEVER_COORDINATION_UPSTREAM_LIMIT_HPP
#define CHIVELEVER_COORDINATION_UPSTREAM_LIMIT_HPP

#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace chivelever
{

struct upstream_limit_settings
{
    std::uint16_t slots{1};
    std::uint16_t cold_limit{1};
    std::uint16_t warm_up_answers{4};
    std::uint32_t who{}; // tells the upstreams of a pool apart
    bool operator==(upstream_limit_settings const&) const = default;
};

// Shared by the upstreams of a pool. Answers at the cold limit don't show whether an upstream bears
// more: one that warms up by time answers well there and falls over above. So one upstream at a
// time tries higher limits until one has worked at its full limit, after which the others follow.
// Each failed climb doubles the number of answers needed, and time without one halves it again.
class climb_guard
{
public:
    // Factor of the number of answers needed.
    std::uint32_t caution(time_point now) const;
    bool may_rise(std::uint32_t who, time_point now) const;
    void rose(std::uint32_t who, time_point now);
    void reached_full(std::uint32_t who, time_point now);
    void failed(std::uint32_t who, time_point now);

private:
    std::uint32_t caution_{1};
    std::uint32_t climber_{};
    time_point climbing_until_{time_point::min()};
    time_point proven_until_{time_point::min()};
    time_point last_failure_{};
};

// The upstream's own answers are the only evidence used, because its health and load endpoints lag
// or mislead. Answers to requests sent before the last fall say nothing about the state after it
// and are ignored.
class upstream_limit
{
public:
    // Takes new settings; the limit is kept within them.
    void configure(upstream_limit_settings const& s);
    // Back to the cold limit, as for a new owner of the address.
    void start_cold(time_point now);
    // Takes over the limit that a previous holder reached.
    void adopt(std::uint16_t limit);

    // Whether one more request may be sent with `outstanding` in progress.
    bool may_send(std::uint32_t outstanding, time_point now) const;
    // The next request is a probe: the last one timed out or was refused.
    bool probing() const { return probing_; }
    time_point next_probe() const { return next_probe_; }
    std::uint16_t limit() const { return limit_; }
    // Median latency while at the full limit, if known.
    std::optional<duration> warm_median() const;

    void on_answer(time_point sent, time_point now, climb_guard& guard);
    // An attempt that was not answered by its deadline, while the upstream answers others. Counts
    // as a slow answer, also while no median says what is slow.
    void on_late(time_point sent, time_point now, climb_guard& guard);
    // A shed answer, or a time-out that had enough time to be answered.
    void on_failure(time_point sent, time_point now, climb_guard& guard);
    // Another upstream of the pool has recovered: the next probe is due soon.
    void hasten_probe(time_point now);

private:
    static constexpr std::size_t latency_window = 32;
    void take(time_point sent, time_point now, bool slow, climb_guard& guard);
    void fall(time_point now);
    void fail_climb(time_point now, climb_guard& guard) const;
    void rise(time_point now, climb_guard& guard);
    void record(duration latency);

    upstream_limit_settings settings_;
    std::uint16_t limit_{1};
    std::uint32_t on_time_{}; // on-time answers since the last rise, less slow ones
    bool settled_{};          // has worked at the full limit
    std::uint16_t slow_{};    // consecutive slow answers
    bool probing_{};
    duration back_off_{};
    time_point next_probe_{};
    time_point fell_at_{time_point::min()};
    std::array<duration, latency_window> latencies_{};
    std::size_t recorded_{};
    duration median_{};
};

} // namespace chivelever

#endif
