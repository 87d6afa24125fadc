#include "coordination/store_sync.hpp"

#include "coordination/change_submitter.hpp"

#include <algorithm>

namespace chivelever
{

duration jitter_backoff::next(std::uint64_t random)
{
    auto const possible_values = static_cast<std::uint64_t>(bound_.count()) + 1;
    duration const pause{static_cast<duration::rep>(random % possible_values)};
    bound_ = std::min(bound_ * 2, max_bound);
    return pause;
}

std::string conflict_message(std::optional<config_change> const& by)
{
    if (!by)
        return "conflict: another change was accepted first";
    return "conflict: revision " + std::to_string(by->rev.value) + " is change " + by->change_id +
           " by " + by->author;
}

} // namespace chivelever
