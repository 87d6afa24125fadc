#include "coordination/overload_control.hpp"

#include <algorithm>
#include <vector>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Long enough for several answers per host at the expected request rates, and shorter than the time
// in which a queue fills.
constexpr duration control_period = 100ms;
// Using the median of the latest answers keeps a few hanging or slow upstreams from looking like an
// overload. With fewer than the minimum, the result is unreliable: if one answer in seven is slow,
// the median of nine is slow in 1 of 220 periods, that of five in 1 of 43.
constexpr std::size_t max_samples = 21;
constexpr std::size_t min_samples = 9;
constexpr duration sample_lifetime = 1s;
// Factor per period by which the refused share decays without enough samples.
constexpr double decay_per_period = 0.7;
// The refused share falls faster than it rises: below the target, each refusal needlessly loses a
// request.
constexpr double decrease_factor = 3;
// A priority without a SYN for this long is left out of the ranking.
constexpr duration priority_timeout = 2s;
// A service without SYNs and answers for this long is removed.
constexpr duration service_timeout = 60s;
// Minimum share at which a service is reported as overloaded; lower values are measurement noise.
constexpr double min_reported_share = 0.05;
// A refused caller stays refused at this host for this long, so that its immediate retries do not
// add to the load. Then another set of callers is drawn.
constexpr duration caller_refusal_period = 1s;

} // namespace

void overload_control::update(service_state& s, time_point now) const
{
    duration const elapsed = now - s.period_start;
    if (elapsed < control_period)
        return;
    s.period_start = now;
    std::erase_if(s.last_open_by_priority,
                  [&](auto const& o) { return now - o.second > priority_timeout; });
    while (!s.answers.empty() && now - s.answers.front().at > sample_lifetime)
        s.answers.pop_front();
    if (s.answers.size() < min_samples)
    {
        // After a pause, one step covers all of its periods.
        s.refusal_level = elapsed > sample_lifetime ? 0 : s.refusal_level * decay_per_period;
        s.previous_median.reset();
        return;
    }
    std::vector<double> shares;
    shares.reserve(s.answers.size());
    for (answer_sample const& a : s.answers)
        shares.push_back(a.share_of_objective);
    auto const middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::ranges::nth_element(shares, middle);
    double const error = *middle - settings_.target;
    double const trend = s.previous_median ? *middle - *s.previous_median : 0.0;
    double const change = settings_.integral_gain * (error < 0 ? decrease_factor * error : error) +
                          settings_.derivative_gain * trend;
    // Below the target the derivative term must not raise the level: a jump there is noise of few
    // samples.
    s.refusal_level += error < 0 ? std::min(change, 0.0) : change;
    s.previous_median = *middle;
    double const max_level =
        settings_.max_refused_share * static_cast<double>(s.last_open_by_priority.size());
    s.refusal_level = std::clamp(s.refusal_level, 0.0, max_level);
}

void overload_control::answered(std::string const& service, duration answer_time,
                                duration objective, time_point now)
{
    if (objective <= duration{})
        return;
    service_state& s = services_[service];
    s.answers.push_back(
        {now, static_cast<double>(answer_time.count()) / static_cast<double>(objective.count())});
    if (s.answers.size() > max_samples)
        s.answers.pop_front();
    s.last_used = now;
    update(s, now);
}

bool overload_control::admits(std::string const& service, std::uint32_t priority, endpoint caller,
                              time_point now)
{
    service_state& s = services_[service];
    s.last_open_by_priority[priority] = s.last_used = now;
    update(s, now);
    auto const period = static_cast<std::uint64_t>(now.time_since_epoch() / caller_refusal_period);
    double const draw = static_cast<double>(hash_pair(caller.address, period) >> 11) * 0x1p-53;
    return draw >= refused_share(service, priority);
}

double overload_control::refused_share(std::string const& service, std::uint32_t priority) const
{
    auto const it = services_.find(service);
    if (it == services_.end())
        return 0;
    service_state const& s = it->second;
    // Lower priorities have higher numbers and are refused before this one.
    auto const lower =
        std::distance(s.last_open_by_priority.upper_bound(priority), s.last_open_by_priority.end());
    return std::clamp(s.refusal_level - settings_.max_refused_share * static_cast<double>(lower),
                      0.0, settings_.max_refused_share);
}

void overload_control::expire(time_point now)
{
    for (auto& [service, state] : services_)
        update(state, now);
    std::erase_if(services_,
                  [&](auto const& s) { return now - s.second.last_used > service_timeout; });
}

std::map<std::string, double> overload_control::overloaded() const
{
    std::map<std::string, double> out;
    for (auto const& [service, state] : services_)
        if (state.refusal_level >= min_reported_share)
            out[service] = std::min(state.refusal_level, settings_.max_refused_share);
    return out;
}

} // namespace chivelever
