#include "coordination/upstream_limit.hpp"

#include <algorithm>
#include <cmath>

namespace chivelever
{

namespace
{
constexpr duration first_back_off = std::chrono::milliseconds(100);
constexpr duration max_back_off = std::chrono::seconds(2);
constexpr int slow_factor = 3;
// Service times with a long tail exceed three medians now and then (an exponential one in 12% of
// the answers), so that a single slow answer is no evidence of an overloaded upstream.
constexpr std::uint16_t slow_answers_to_fall = 4;
// A slow answer takes back this many on-time ones. A warm upstream with exponential service times
// still rises (12% of its answers are slow), one that is four times slower does not (60%).
constexpr std::uint32_t slow_answer_cost = 2;
constexpr std::size_t answers_per_median = 8;
constexpr std::uint32_t max_caution = 32;
// A climber without a result, for lack of requests, gives way to another after this time.
constexpr duration climb_time = std::chrono::seconds(5);
// What one upstream has shown is good for the others for this time.
constexpr duration proven_time = std::chrono::seconds(30);
// Without a halving in time, single slow answers kept upstreams at the cold limit for good.
constexpr duration caution_half_life = std::chrono::seconds(3);

// Spreads the probes of upstreams that failed together over the back-off, so that one of them soon
// sees the end of an outage: a factor between 1/2 and 1 by the golden ratio of the number.
double spread(std::uint32_t who)
{
    double const turns = who * 0.6180339887498949;
    return 1 - (turns - std::floor(turns)) / 2;
}
} // namespace

bool climb_guard::may_rise(std::uint32_t who, time_point now) const
{
    return now < proven_until_ || now >= climbing_until_ || who == climber_;
}

void climb_guard::rose(std::uint32_t who, time_point now)
{
    if (now < proven_until_)
        return;
    climber_ = who;
    climbing_until_ = now + climb_time;
}

void climb_guard::reached_full(std::uint32_t who, time_point now)
{
    proven_until_ = now + proven_time;
    if (who == climber_)
        climbing_until_ = time_point::min();
}

std::uint32_t climb_guard::caution(time_point now) const
{
    auto const halvings = std::min<duration::rep>((now - last_failure_) / caution_half_life, 31);
    return std::max(caution_ >> halvings, 1U);
}

void climb_guard::failed(std::uint32_t who, time_point now)
{
    proven_until_ = time_point::min();
    if (who == climber_)
        climbing_until_ = time_point::min();
    caution_ = std::min(caution(now) * 2, max_caution);
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
    fall(now);
    probing_ = false;
    back_off_ = {};
    recorded_ = 0;
    median_ = {};
}

void upstream_limit::adopt(std::uint16_t limit)
{
    if (probing_)
        return;
    limit_ = std::clamp(limit, settings_.cold_limit, settings_.slots);
    settled_ = limit_ == settings_.slots;
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

void upstream_limit::on_answer(time_point sent, time_point now, climb_guard& guard)
{
    take(sent, now, median_ != duration{} && now - sent > median_ * slow_factor, guard);
}

void upstream_limit::on_late(time_point sent, time_point now, climb_guard& guard)
{
    take(sent, now, true, guard);
}

void upstream_limit::take(time_point sent, time_point now, bool slow, climb_guard& guard)
{
    if (sent < fell_at_)
        return;
    slow_ = slow ? static_cast<std::uint16_t>(slow_ + 1) : std::uint16_t{0};
    if (limit_ == settings_.slots)
        record(now - sent);
    if (slow_ >= slow_answers_to_fall)
    {
        fail_climb(now, guard);
        fall(now);
        return;
    }
    probing_ = false;
    back_off_ = {};
    on_time_ = slow ? on_time_ - std::min(on_time_, slow_answer_cost) : on_time_ + 1;
    rise(now, guard);
}

// Raises the limit after enough answers, or notes that the full limit has proved right.
void upstream_limit::rise(time_point now, climb_guard& guard)
{
    if (settled_)
        return;
    if (limit_ == settings_.slots)
    {
        settled_ = on_time_ >= settings_.warm_up_answers;
        if (settled_ && settings_.slots > settings_.cold_limit)
            guard.reached_full(settings_.who, now);
    }
    else if (on_time_ >= settings_.warm_up_answers * guard.caution(now) &&
             guard.may_rise(settings_.who, now))
    {
        ++limit_;
        on_time_ = 0;
        guard.rose(settings_.who, now);
    }
}

// Tells the other upstreams that the limit was raised too early.
void upstream_limit::fail_climb(time_point now, climb_guard& guard) const
{
    if (!settled_ && limit_ > settings_.cold_limit)
        guard.failed(settings_.who, now);
}

void upstream_limit::on_failure(time_point sent, time_point now, climb_guard& guard)
{
    if (sent < fell_at_)
        return; // belongs to the failure that is already counted
    fail_climb(now, guard);
    fall(now);
    probing_ = true;
    back_off_ = back_off_ == duration{} ? first_back_off : std::min(back_off_ * 2, max_back_off);
    next_probe_ = now + std::chrono::duration_cast<duration>(back_off_ * spread(settings_.who));
}

void upstream_limit::hasten_probe(time_point now)
{
    if (probing_)
        next_probe_ = std::min(next_probe_, now + first_back_off / 2);
}

void upstream_limit::fall(time_point now)
{
    limit_ = settings_.cold_limit;
    on_time_ = 0;
    slow_ = 0;
    settled_ = false;
    fell_at_ = now;
}

void upstream_limit::record(duration latency)
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
