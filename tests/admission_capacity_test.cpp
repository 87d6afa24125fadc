#include "admission/admission.hpp"
#include "coordination/coordination.hpp"

#include <catch2/catch.hpp>
#include <limits>
#include <numeric>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point start{std::chrono::hours(1)};

} // namespace

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

// Guards against one caller that takes the capacity of a thousand others: 40 of 100 openings per
// second are admitted, the callers over their share refused first.
TEST_CASE("a greedy caller is over its share and the others are not", "[admission][capacity]")
{
    caller_share callers;
    constexpr std::uint32_t greedy = 7;
    int others_over = 0;
    int greedy_over = 0;
    for (std::uint32_t n = 0; n < 400; ++n)
    {
        time_point const now = start + n * 10ms;
        std::uint32_t const caller = n % 2 == 0 ? greedy : 1000 + n % 999;
        bool const within = callers.within_share(caller, now);
        (caller == greedy ? greedy_over : others_over) += within ? 0 : 1;
        callers.record(caller, within && n % 5 < 2, now);
    }
    CHECK(others_over == 0);
    CHECK(greedy_over > 150);
}

// Guards against a limit per caller while there is no overload, and against refusing a caller that
// opens no more than two flows per second.
TEST_CASE("callers are within their share without refusals or with few openings",
          "[admission][capacity]")
{
    caller_share callers;
    for (std::uint32_t n = 0; n < 1000; ++n)
    {
        callers.record(1, true, start + n * 1ms);
        CHECK(callers.within_share(1, start + n * 1ms));
    }
    caller_share scarce;
    for (std::uint32_t n = 0; n < 300; ++n)
    {
        scarce.record(100 + n, false, start + n * 10ms);
        if (n % 50 != 0)
            continue;
        CHECK(scarce.within_share(1, start + n * 10ms));
        scarce.record(1, true, start + n * 10ms);
    }
}

// Guards against memory that grows with the number of addresses, and against counts that outlive a
// suspension of the host.
TEST_CASE("the number of tracked callers is bounded and old counts expire", "[admission][capacity]")
{
    caller_share callers;
    for (std::uint32_t n = 0; n < 5000; ++n)
        callers.record(n, n < 100, start);
    for (int n = 0; n < 50; ++n)
        callers.record(3, true, start + 1ms);
    CHECK(callers.tracked() == caller_share::max_callers);
    callers.record(3, false, start + 60ms);
    CHECK_FALSE(callers.within_share(3, start + 60ms));
    CHECK(callers.within_share(4999, start + 60ms));
    CHECK(callers.within_share(3, start + 10s));
    callers.record(9000, true, start + 10s); // makes room in the full table
    CHECK(callers.tracked() == 1);
    callers.expire(start + 20s);
    CHECK(callers.tracked() == 0);
}

} // namespace chivelever
