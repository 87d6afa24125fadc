// Weighted max-min fairness: divides scarce capacity so that nobody gets more than it asks for and
// nobody gains at the expense of one that has less.
#ifndef CHIVELEVER_ADMISSION_MAX_MIN_SHARE_HPP
#define CHIVELEVER_ADMISSION_MAX_MIN_SHARE_HPP

#include <span>
#include <vector>

namespace chivelever
{

struct share_demand
{
    double demand{};
    double weight{1};
    auto operator<=>(share_demand const&) const = default;
};

// Shares of `capacity` in the order of `demands`. What exceeds the sum of the demands is divided by
// weight as well, so that every participant has a share even if its demand is not known yet.
std::vector<double> max_min_shares(double capacity, std::span<share_demand const> demands);

} // namespace chivelever

#endif
