#include "admission/admission.hpp"
#include "coordination/coordination.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <numeric>

namespace chivelever
{

// Guards against capacity that is lost or given twice, and against a large demand that reduces the
// share of a smaller one.
TEST_CASE("max-min shares serve small demands first and divide the rest", "[admission][capacity]")
{
    using demands = std::vector<share_demand>;
    using shares = std::vector<double>;
    CHECK(max_min_shares(240, {}).empty());
    CHECK(max_min_shares(90, demands{{10}, {100}, {40}}) == shares{10, 40, 40});
    CHECK(max_min_shares(90, demands{{10}, {20}, {30}}) == shares{20, 30, 40});
    CHECK(max_min_shares(90, demands{{100, 2}, {100, 1}}) == shares{60, 30});
    CHECK(max_min_shares(90, demands{{0}, {0}, {0}}) == shares{30, 30, 30});
    CHECK(max_min_shares(90, demands{{50, 0}, {10}}) == shares{0, 90});
    CHECK(max_min_shares(-1, demands{{50}, {10}}) == shares{0, 0});
}

// Guards against a report with an invalid figure that takes the capacity of other zones.
TEST_CASE("invalid demands count as none", "[admission][capacity]")
{
    double const nan = std::numeric_limits<double>::quiet_NaN();
    double const infinite = std::numeric_limits<double>::infinity();
    std::vector<share_demand> const demands{{nan}, {80}, {infinite}, {-5}, {30, nan}};
    auto const shares = max_min_shares(100, demands);
    CHECK(shares == std::vector<double>{5, 85, 5, 5, 0});
    CHECK(std::accumulate(shares.begin(), shares.end(), 0.0) == Approx(100));
}

} // namespace chivelever
