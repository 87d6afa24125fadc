#include "admission/max_min_share.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace chivelever
{

namespace
{

// Figures come from other hosts; one that is not a number would break the order of the demands.
double usable(double value)
{
    return std::isfinite(value) ? std::max(value, 0.0) : 0.0;
}

} // namespace

std::vector<double> max_min_shares(double capacity, std::span<share_demand const> demands)
{
    std::vector<double> shares(demands.size());
    std::vector<std::size_t> order;
    double left = usable(capacity);
    double weight_left = 0;
    for (std::size_t i = 0; i < demands.size(); ++i)
        if (usable(demands[i].weight) > 0)
        {
            order.push_back(i);
            weight_left += demands[i].weight;
        }
    double const total_weight = weight_left;
    // Serves the smallest demand per weight first: what it leaves of an equal division is shared by
    // the others.
    auto const per_weight = [&](std::size_t i)
    { return usable(demands[i].demand) / demands[i].weight; };
    std::ranges::sort(order, {}, per_weight);
    for (std::size_t const i : order)
    {
        double const equal = left * std::min(demands[i].weight / weight_left, 1.0);
        shares[i] = std::min(usable(demands[i].demand), equal);
        left = std::max(left - shares[i], 0.0);
        weight_left -= demands[i].weight;
    }
    for (std::size_t const i : order)
        shares[i] += left * demands[i].weight / total_weight;
    return shares;
}

} // namespace chivelever
