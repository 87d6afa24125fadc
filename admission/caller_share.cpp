#include "admission/caller_share.hpp"

namespace chivelever
{

void caller_share::record(std::uint32_t, bool, time_point now)
{
    updated_at_ = now;
}

bool caller_share::within_share(std::uint32_t, time_point) const
{
    return fair_share_ >= 0;
}

void caller_share::expire(time_point)
{
    callers_.clear();
}

} // namespace chivelever
