#include "admission/caller_share.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Time constant of the counts: a steady caller's count equals its openings per second.
constexpr double time_constant_s = 1;
// The fair share is the result of sorting all callers, which is too slow for each SYN.
constexpr duration update_period = 50ms;
// Searching for callers to remove while the table is full is limited to once per this time.
constexpr duration min_expire_period = 250ms;
// A caller may always have this many openings per second. Its requests have no other origin, and a
// count of one or two openings does not show overuse.
constexpr double min_share = 2;
// A caller with a lower count is removed: three seconds after a single opening.
constexpr double min_count = 0.05;
// With fewer refused openings per second than this, all callers get what they ask for.
constexpr double min_refused = 0.5;

} // namespace

void caller_share::usage::decay(time_point now)
{
    if (now <= at)
        return;
    double const factor =
        std::exp(-std::chrono::duration<double>(now - at).count() / time_constant_s);
    asked *= factor;
    admitted *= factor;
    at = now;
}

void caller_share::usage::add(bool was_admitted, time_point now)
{
    decay(now);
    asked += 1;
    admitted += was_admitted ? 1 : 0;
}

// Finds the share with which the admitted openings would have been divided by max-min fairness:
// callers that ask for less get all of it, the others an equal part of the rest.
void caller_share::update_fair_share(time_point now)
{
    updated_at_ = now;
    fair_share_ = std::numeric_limits<double>::infinity();
    total_.decay(now);
    if (total_.asked - total_.admitted < min_refused)
        return;
    std::vector<double> asked;
    asked.reserve(callers_.size());
    double left = 0;
    for (auto& [caller, u] : callers_)
    {
        u.decay(now);
        asked.push_back(u.asked);
        left += u.admitted;
    }
    std::ranges::sort(asked);
    for (std::size_t i = 0; i < asked.size(); ++i)
    {
        double const equal = left / static_cast<double>(asked.size() - i);
        if (asked[i] >= equal)
        {
            fair_share_ = equal;
            return;
        }
        left -= asked[i];
    }
}

void caller_share::record(std::uint32_t caller, bool admitted, time_point now)
{
    auto it = callers_.find(caller);
    if (it == callers_.end())
    {
        if (callers_.size() >= max_callers && now - expired_at_ >= min_expire_period)
            expire(now);
        if (callers_.size() >= max_callers)
            return;
        it = callers_.try_emplace(caller).first;
    }
    it->second.add(admitted, now);
    total_.add(admitted, now);
    if (now - updated_at_ >= update_period)
        update_fair_share(now);
}

bool caller_share::within_share(std::uint32_t caller, time_point now) const
{
    auto const it = callers_.find(caller);
    if (it == callers_.end())
        return true;
    usage u = it->second;
    u.decay(now);
    return u.admitted < std::max(fair_share_, min_share);
}

void caller_share::expire(time_point now)
{
    expired_at_ = now;
    for (auto& [caller, u] : callers_)
        u.decay(now);
    std::erase_if(callers_, [](auto const& c) { return c.second.asked < min_count; });
    update_fair_share(now);
}

} // namespace chivelever
