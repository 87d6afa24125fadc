#include "coordination/upstream_limit.hpp"

#include <algorithm>
#include <cmath>

namespace chivelever
{

namespace
{
constexpr duration initial_back_off = std::chrono::milliseconds(100);
constexpr duration max_back_off = std::chrono::seconds(2);
constexpr int slow_answer_factor = 3;
// Consecutive slow answers that reset the limit. Long-tailed service times exceed three medians now
// and then (an exponential one in 12% of the answers), so a single slow answer does not indicate an
// overloaded upstream.
constexpr std::uint16_t slow_answers_to_reset = 4;
// On-time answers that a slow one cancels. The limit of a warm upstream with exponential service
// times still rises (12% of its answers are slow); that of one four times slower does not (60%).
constexpr std::uint32_t slow_answer_cost = 2;
constexpr std::size_t answers_per_median = 8;
constexpr std::uint32_t max_penalty = 32;
// Time after which another upstream may raise its limit although the one that raised it last has
// neither failed nor reached its full limit, for example because it gets too few requests.
constexpr duration raise_timeout = std::chrono::seconds(5);
// How long one upstream's success at the full limit lets the others raise theirs freely.
constexpr duration verified_duration = std::chrono::seconds(30);
// Without this decay, single slow answers kept upstreams at the cold limit indefinitely.
constexpr duration penalty_half_life = std::chrono::seconds(3);

// Spreads the probes of upstreams that failed together over the back-off, so that one of them
// detects the end of an outage early. A factor between 1/2 and 1, from the golden ratio times the
// upstream number.
double probe_delay_factor(std::uint32_t upstream)
{
    double const rotation = upstream * 0.6180339887498949;
    return 1 - (rotation - std::floor(rotation)) / 2;
}
} // namespace

bool limit_raise_guard::may_raise(std::uint32_t upstream, time_point now) const
{
    return now < verified_until_ || now >= raising_until_ || upstream == raising_upstream_;
}

void limit_raise_guard::raised(std::uint32_t upstream, time_point now)
{
    if (now < verified_until_)
        return;
    raising_upstream_ = upstream;
    raising_until_ = now + raise_timeout;
}

void limit_raise_guard::reached_full(std::uint32_t upstream, time_point now)
{
    verified_until_ = now + verified_duration;
    if (upstream == raising_upstream_)
        raising_until_ = time_point::min();
}

std::uint32_t limit_raise_guard::penalty(time_point now) const
{
    auto const halvings = std::min<duration::rep>((now - last_failure_) / penalty_half_life, 31);
    return std::max(penalty_ >> halvings, 1U);
}

void limit_raise_guard::failed(std::uint32_t upstream, time_point now)
{
    verified_until_ = time_point::min();
    if (upstream == raising_upstream_)
        raising_until_ = time_point::min();
    penalty_ = std::min(penalty(now) * 2, max_penalty);
    last_failure_ = now;
}

void upstream_limit::configure(upstream_limit_settings const& s)
{
    settings_ = s;
    settings_.slots = std::max<std::uint16_t>(s.slots, 1);
    settings_.cold_limit = std::clamp<std::uint16_t>(s.cold_limit, 1, settings_.slots);
    limit_ = std::clamp(limit_, settings_.cold_limit, settings_.slots);
}

void upstream_limit::start_cold(time_point now)
{
    reset_to_cold(now);
    probing_ = false;
    back_off_ = {};
    recorded_ = 0;
    median_ = {};
}

void upstream_limit::restore_limit(std::uint16_t limit)
{
    if (probing_)
        return;
    limit_ = std::clamp(limit, settings_.cold_limit, settings_.slots);
    full_limit_verified_ = limit_ == settings_.slots;
}

bool upstream_limit::may_send(std::uint32_t outstanding, time_point now) const
{
    if (probing_)
        return outstanding == 0 && now >= next_probe_;
    return outstanding < limit_;
}

std::optional<duration> upstream_limit::warm_median() const
{
    if (median_ == duration{})
        return {};
    return median_;
}

void upstream_limit::on_answer(time_point sent, time_point now, limit_raise_guard& guard)
{
    record_answer(sent, now, median_ != duration{} && now - sent > median_ * slow_answer_factor,
                  guard);
}

void upstream_limit::on_deadline_missed(time_point sent, time_point now, limit_raise_guard& guard)
{
    record_answer(sent, now, true, guard);
}

void upstream_limit::record_answer(time_point sent, time_point now, bool slow,
                                   limit_raise_guard& guard)
{
    if (sent < last_reset_)
        return;
    consecutive_slow_ = slow ? static_cast<std::uint16_t>(consecutive_slow_ + 1) : std::uint16_t{0};
    if (limit_ == settings_.slots)
        record_latency(now - sent);
    if (consecutive_slow_ >= slow_answers_to_reset)
    {
        report_early_raise(now, guard);
        reset_to_cold(now);
        return;
    }
    probing_ = false;
    back_off_ = {};
    on_time_answers_ = slow ? on_time_answers_ - std::min(on_time_answers_, slow_answer_cost)
                            : on_time_answers_ + 1;
    raise_if_due(now, guard);
}

// Raises the limit after enough answers, or marks the full limit as verified.
void upstream_limit::raise_if_due(time_point now, limit_raise_guard& guard)
{
    if (full_limit_verified_)
        return;
    if (limit_ == settings_.slots)
    {
        full_limit_verified_ = on_time_answers_ >= settings_.warm_up_answers;
        if (full_limit_verified_ && settings_.slots > settings_.cold_limit)
            guard.reached_full(settings_.upstream, now);
    }
    else if (on_time_answers_ >= settings_.warm_up_answers * guard.penalty(now) &&
             guard.may_raise(settings_.upstream, now))
    {
        ++limit_;
        on_time_answers_ = 0;
        guard.raised(settings_.upstream, now);
    }
}

// Reports to the other upstreams that the limit was raised too early.
void upstream_limit::report_early_raise(time_point now, limit_raise_guard& guard) const
{
    if (!full_limit_verified_ && limit_ > settings_.cold_limit)
        guard.failed(settings_.upstream, now);
}

void upstream_limit::on_failure(time_point sent, time_point now, limit_raise_guard& guard)
{
    if (sent < last_reset_)
        return; // part of a failure that was already counted
    report_early_raise(now, guard);
    reset_to_cold(now);
    probing_ = true;
    back_off_ = back_off_ == duration{} ? initial_back_off : std::min(back_off_ * 2, max_back_off);
    next_probe_ = now + std::chrono::duration_cast<duration>(
                            back_off_ * probe_delay_factor(settings_.upstream));
}

void upstream_limit::advance_next_probe(time_point now)
{
    if (probing_)
        next_probe_ = std::min(next_probe_, now + initial_back_off / 2);
}

void upstream_limit::reset_to_cold(time_point now)
{
    limit_ = settings_.cold_limit;
    on_time_answers_ = 0;
    consecutive_slow_ = 0;
    full_limit_verified_ = false;
    last_reset_ = now;
}

void upstream_limit::record_latency(duration latency)
{
    latencies_[recorded_ % latency_window] = latency;
    ++recorded_;
    if (recorded_ % answers_per_median != 0)
        return;
    auto copy = latencies_;
    std::size_t const n = std::min(recorded_, latency_window);
    auto const middle = copy.begin() + static_cast<std::ptrdiff_t>(n / 2);
    std::nth_element(copy.begin(), middle, copy.begin() + static_cast<std::ptrdiff_t>(n));
    median_ = std::max(*middle, duration{1});
}

} // namespace chivelever
