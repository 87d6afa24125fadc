// Adaptive concurrency limit of one upstream: the maximum number of outstanding requests.
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
    std::uint32_t upstream{}; // identifies the upstream within its pool
    bool operator==(upstream_limit_settings const&) const = default;
};

// Coordinates limit increases among the upstreams of a pool. Answers at the cold limit do not show
// whether an upstream can take more load: one that warms up over time answers well there and fails
// above it. So only one upstream at a time raises its limit until one has worked at its full limit;
// then the others follow. Each failed increase doubles the number of answers required, and time
// without a failure halves it again.
class limit_raise_guard
{
public:
    // Factor applied to the number of answers required.
    std::uint32_t penalty(time_point now) const;
    bool may_raise(std::uint32_t upstream, time_point now) const;
    void raised(std::uint32_t upstream, time_point now);
    void reached_full(std::uint32_t upstream, time_point now);
    void failed(std::uint32_t upstream, time_point now);

private:
    std::uint32_t penalty_{1};
    std::uint32_t raising_upstream_{};
    time_point raising_until_{time_point::min()};
    time_point verified_until_{time_point::min()};
    time_point last_failure_{};
};

// Derives the limit only from the upstream's answers, because its health and load endpoints lag or
// mislead.
// Answers to requests sent before the last decrease are ignored, since they say nothing about the
// state after it.
class upstream_limit
{
public:
    // Applies new settings and clamps the limit to them.
    void configure(upstream_limit_settings const& s);
    // Returns to the cold limit, as for a new owner of the address.
    void start_cold(time_point now);
    // Takes over the limit that a previous holder reached.
    void restore_limit(std::uint16_t limit);

    // Whether one more request may be sent with `outstanding` in progress.
    bool may_send(std::uint32_t outstanding, time_point now) const;
    // Whether the next request is a probe because the last one timed out or was refused.
    bool probing() const { return probing_; }
    time_point next_probe() const { return next_probe_; }
    std::uint16_t limit() const { return limit_; }
    // Median latency at the full limit, if known.
    std::optional<duration> warm_median() const;

    void on_answer(time_point sent, time_point now, limit_raise_guard& guard);
    // An attempt that missed its deadline while the upstream answers others. Counts as slow even
    // without a median to compare with.
    void on_deadline_missed(time_point sent, time_point now, limit_raise_guard& guard);
    // The upstream shed a request, or one timed out that had enough time to be answered.
    void on_failure(time_point sent, time_point now, limit_raise_guard& guard);
    // Another upstream of the pool has recovered: moves the next probe forward.
    void advance_next_probe(time_point now);

private:
    static constexpr std::size_t latency_window = 32;
    void record_answer(time_point sent, time_point now, bool slow, limit_raise_guard& guard);
    void reset_to_cold(time_point now);
    void report_early_raise(time_point now, limit_raise_guard& guard) const;
    void raise_if_due(time_point now, limit_raise_guard& guard);
    void record_latency(duration latency);

    upstream_limit_settings settings_;
    std::uint16_t limit_{1};
    // On-time answers since the last increase, less a cost per slow one.
    std::uint32_t on_time_answers_{};
    bool full_limit_verified_{}; // has worked at the full limit
    std::uint16_t consecutive_slow_{};
    bool probing_{};
    duration back_off_{};
    time_point next_probe_{};
    time_point last_reset_{time_point::min()};
    std::array<duration, latency_window> latencies_{};
    std::size_t recorded_{};
    duration median_{};
};

} // namespace chivelever

#endif
