#include "admission/max_min_share.hpp"

namespace chivelever
{

std::vector<double> max_min_shares(double capacity, std::span<share_demand const> demands)
{
    if (demands.empty())
        return {};
    return std::vector<double>(demands.size(), capacity / static_cast<double>(demands.size()));
}

} // namespace chivelever
