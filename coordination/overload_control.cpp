#include "coordination/overload_control.hpp"

#include <algorithm>
#include <vector>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Several answers at each host of the milestone's sites, and shorter than a queue takes to fill.
constexpr duration control_period = 100ms;
// The median is taken over the latest answers, so that some upstreams that hang or are slow do not
// pass for an overload. With fewer than the least number nothing is known: where one answer in
// seven is slow by nature, the median of nine is slow in 1 of 220 periods, that of five in 1 of 43.
constexpr std::size_t most_answers = 21;
constexpr std::size_t least_answers = 9;
constexpr duration answer_life = 1s;
// While too little is known, the refused share fades by this factor in each period.
constexpr double fading = 0.7;
// The refused share falls faster than it rises: below the target each refusal is a request lost for
// nothing.
constexpr double release_factor = 3;
// A priority that has sent no opening for this long takes no part in the ranking.
constexpr duration priority_life = 2s;
// A service without openings and answers for this long is forgotten.
constexpr duration service_life = 60s;
// From this share on a service is reported as overloaded; less is the noise of the measurement.
constexpr double reported_share = 0.05;
// A caller that is refused stays refused at this host for this long, so that its retries, which
// follow at once, do not add to the load. Then it is another caller's turn.
constexpr duration caller_turn = 1s;

} // namespace

void overload_control::update(service_state& s, time_point now) const
{
    duration const since = now - s.period_start;
    if (since < control_period)
        return;
    s.period_start = now;
    std::erase_if(s.openings, [&](auto const& o) { return now - o.second > priority_life; });
    while (!s.answers.empty() && now - s.answers.front().at > answer_life)
        s.answers.pop_front();
    if (s.answers.size() < least_answers)
    {
        // After a pause one step covers all periods of it.
        s.pressure = since > answer_life ? 0 : s.pressure * fading;
        s.median_before.reset();
        return;
    }
    std::vector<double> shares;
    shares.reserve(s.answers.size());
    for (answer const& a : s.answers)
        shares.push_back(a.share_of_objective);
    auto const middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::ranges::nth_element(shares, middle);
    double const error = *middle - settings_.target;
    double const trend = s.median_before ? *middle - *s.median_before : 0.0;
    double const change = settings_.integral_gain * (error < 0 ? release_factor * error : error) +
                          settings_.derivative_gain * trend;
    // A median that jumps below the target is the noise of few answers.
    s.pressure += error < 0 ? std::min(change, 0.0) : change;
    s.median_before = *middle;
    double const most = settings_.most_refused * static_cast<double>(s.openings.size());
    s.pressure = std::clamp(s.pressure, 0.0, most);
}

void overload_control::answered(std::string const& service, duration answer_time,
                                duration objective, time_point now)
{
    if (objective <= duration{})
        return;
    service_state& s = services_[service];
    s.answers.push_back(
        {now, static_cast<double>(answer_time.count()) / static_cast<double>(objective.count())});
    if (s.answers.size() > most_answers)
        s.answers.pop_front();
    s.last_used = now;
    update(s, now);
}

bool overload_control::admits(std::string const& service, std::uint32_t priority, endpoint caller,
                              time_point now)
{
    service_state& s = services_[service];
    s.openings[priority] = s.last_used = now;
    update(s, now);
    auto const turn = static_cast<std::uint64_t>(now.time_since_epoch() / caller_turn);
    double const draw = static_cast<double>(hash_pair(caller.address, turn) >> 11) * 0x1p-53;
    return draw >= refused_share(service, priority);
}

double overload_control::refused_share(std::string const& service, std::uint32_t priority) const
{
    auto const it = services_.find(service);
    if (it == services_.end())
        return 0;
    service_state const& s = it->second;
    // Lower priorities have higher numbers and are refused before this one.
    auto const lower = std::distance(s.openings.upper_bound(priority), s.openings.end());
    return std::clamp(s.pressure - settings_.most_refused * static_cast<double>(lower), 0.0,
                      settings_.most_refused);
}

void overload_control::expire(time_point now)
{
    for (auto& [service, state] : services_)
        update(state, now);
    std::erase_if(services_,
                  [&](auto const& s) { return now - s.second.last_used > service_life; });
}

std::map<std::string, double> overload_control::overloaded() const
{
    std::map<std::string, double> out;
    for (auto const& [service, state] : services_)
        if (state.pressure >= reported_share)
            out[service] = std::min(state.pressure, settings_.most_refused);
    return out;
}

} // namespace chivelever
