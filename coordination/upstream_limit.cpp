#include "coordination/upstream_limit.hpp"

#include <algorithm>

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
constexpr std::size_t answers_per_median = 8;
} // namespace

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
    if (!probing_)
        limit_ = std::clamp(limit, settings_.cold_limit, settings_.slots);
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

void upstream_limit::on_answer(time_point sent, time_point now)
{
    if (sent < fell_at_)
        return;
    duration const latency = now - sent;
    bool const slow = median_ != duration{} && latency > median_ * slow_factor;
    slow_ = slow ? static_cast<std::uint16_t>(slow_ + 1) : std::uint16_t{0};
    if (limit_ == settings_.slots)
        record(latency);
    if (slow_ >= slow_answers_to_fall)
    {
        fall(now);
        return;
    }
    probing_ = false;
    back_off_ = {};
    on_time_ = slow ? std::uint16_t{0} : static_cast<std::uint16_t>(on_time_ + 1);
    if (on_time_ >= settings_.warm_up_answers && limit_ < settings_.slots)
    {
        ++limit_;
        on_time_ = 0;
    }
}

void upstream_limit::on_failure(time_point sent, time_point now)
{
    if (sent < fell_at_)
        return; // belongs to the failure that is already counted
    fall(now);
    probing_ = true;
    back_off_ = back_off_ == duration{} ? first_back_off : std::min(back_off_ * 2, max_back_off);
    next_probe_ = now + back_off_;
}

void upstream_limit::fall(time_point now)
{
    limit_ = settings_.cold_limit;
    on_time_ = 0;
    slow_ = 0;
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
