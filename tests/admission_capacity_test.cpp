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
constexpr duration objective = 300ms;
std::string const desk = "desk";
std::string const own_zone = "akl";
constexpr std::uint32_t offers = 1;
constexpr std::uint32_t checks = 2;

// One host in a zone of ten hosts, in one of three zones with 40 slots each. Its share is 4 slots;
// with the service time of 30 ms, its limit is 12 requests.
struct admitting_host
{
    capacity_admission control{admission_settings{true}};
    time_point now{start};
    std::vector<zone_room> rooms{{"akl", 40, 0}, {"wlg", 40, 0}, {"chc", 40, 0}};
    std::vector<zone_demand> demands{{"akl", 10, 200, {{checks, 500}}, 400ms, true},
                                     {"wlg", 10, 200, {{checks, 500}}, 300ms, true},
                                     {"chc", 10, 200, {{checks, 500}}, 500ms, true}};

    admitting_host()
    {
        open(100, checks);
        open(100, offers);
        for (int i = 0; i < 20; ++i)
            control.record_answer(desk, 30ms, true);
    }
    void open(int count, std::uint32_t priority, std::uint16_t port = 443,
              duration route_objective = objective)
    {
        now += 60ms;
        endpoint const route{1, static_cast<std::uint16_t>(port + priority)};
        for (int i = 0; i < count; ++i)
            control.record_opening(desk, route, priority, route_objective, now);
        now += 60ms;
        control.record_opening(desk, route, priority, route_objective, now);
    }
    admission_result admit(double pending, std::uint32_t priority = checks,
                           std::uint32_t caller = 1)
    {
        now += 60ms;
        rooms.front().own_pending = pending;
        return control.admit({desk, {}, priority, objective, {caller, 1}, own_zone, rooms, demands},
                             now);
    }
};

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

// Guards against applying the policy where priorities or objectives make it meaningless, and
// against a decision that changes while a service has few openings.
TEST_CASE("the policy applies to services with two priorities and one objective",
          "[admission][capacity]")
{
    admitting_host host;
    CHECK(host.control.applies_to(desk));
    CHECK_FALSE(host.control.applies_to("other"));
    host.open(3, 0, 8000, 1s); // below 2% of the openings
    CHECK(host.control.applies_to(desk));
    host.open(50, 0, 8000, 1s);
    CHECK_FALSE(host.control.applies_to(desk));
    host.now += 20s;
    host.open(40, checks);
    CHECK_FALSE(host.control.applies_to(desk));
    host.open(100, checks);
    host.open(100, offers);
    CHECK(host.control.applies_to(desk));
    host.now += 30s;
    host.control.expire(host.now);
    host.open(40, checks);
    CHECK(host.control.applies_to(desk));
    host.open(5000, checks);
    CHECK_FALSE(host.control.applies_to(desk)); // a single priority in use
    CHECK_FALSE(capacity_admission{}.applies_to(desk));
}

// Guards against queues longer than the objective allows, against the lowest priority using the
// headroom of the others, and against a priority that starves.
TEST_CASE("the limit follows share, depth and priority", "[admission][capacity]")
{
    admitting_host host;
    CHECK(host.admit(12).reason == admission_reason::minimum_share); // no check is pending yet
    for (int i = 0; i < 20; ++i)
        host.admit(11); // ends the allowance for a peak after light load
    admission_result const below = host.admit(11);
    CHECK(below.reason == admission_reason::within_share);
    CHECK(below.pending == 11);
    CHECK(below.limit == Approx(12));
    CHECK(below.age == 500ms);
    CHECK(host.admit(12).reason == admission_reason::no_room);
    CHECK(host.admit(23, offers).reason == admission_reason::within_share);
    host.now += 5s;
    for (int i = 0; i < 20; ++i)
        host.control.record_request(desk, offers, host.now);
    CHECK_FALSE(host.admit(25, offers).admitted);
    CHECK(host.admit(13).reason == admission_reason::minimum_share);
    host.now += 5s;
    // A service time of 90 ms leaves time for the minimum depth only.
    for (int i = 0; i < 1000; ++i)
        host.control.record_answer(desk, 90ms, true);
    CHECK(host.admit(7).limit == Approx(6));
}

// Guards against refusals by a random peak at light load, and against an allowance for peaks that
// lasts.
TEST_CASE("a peak after light load is admitted without reports", "[admission][capacity]")
{
    admitting_host host;
    host.demands.front().heard = false;
    for (int i = 0; i < 20; ++i)
        host.admit(2);
    CHECK(host.admit(12).reason == admission_reason::within_share);
    for (int i = 0; i < 20; ++i)
        host.admit(12);
    CHECK(host.admit(12).reason != admission_reason::within_share);
}

// Guards against refusals while other hosts of the zone leave their capacity unused, and against
// using it on no or on old figures.
TEST_CASE("a host uses capacity that its zone leaves unused", "[admission][capacity]")
{
    admitting_host host;
    for (int i = 0; i < 20; ++i)
        host.control.record_request(desk, checks, host.now);
    host.demands.front().other_pending = 80; // of 120, of which 96 may be used
    for (int i = 0; i < 10; ++i)
        host.admit(12); // until the reports cover the time at the limit
    CHECK(host.admit(15).reason == admission_reason::zone_has_room);
    CHECK_FALSE(host.admit(17).admitted);
    host.demands.front().other_pending = 10;
    CHECK(host.admit(23).reason == admission_reason::zone_has_room);
    CHECK_FALSE(host.admit(24).admitted);
    host.demands.front().heard = false;
    CHECK_FALSE(host.admit(15).admitted);
    host.demands = {{"akl", 10, 0, {}, {}, false}};
    CHECK(host.admit(11).limit == Approx(12)); // the other zones' hosts may be alive
    host.rooms = {{"akl", 0, 0}};
    CHECK(host.admit(1000).admitted); // nothing to decide
    host.rooms = {{"akl", 0.5, 0}};
    host.demands = {{"akl", 10, 100, {}, {}, true}};
    CHECK(host.admit(0).admitted);
    CHECK_FALSE(host.admit(1).admitted);
}

// Guards against zones that take the capacity of others with a larger demand of a lower priority,
// and against zones without a report that lose their share or take that of others.
TEST_CASE("capacity goes to the higher priority first and to zones fairly", "[admission][capacity]")
{
    std::vector<zone_room> const rooms{{"akl", 120, 0}};
    auto const zone_share = [&](std::vector<zone_demand> const& demands) {
        return share_capacity(rooms, demands, own_zone, {{checks, 2}}).zone;
    };
    zone_demand const akl{"akl", 10, 0, {{offers, 20}, {checks, 38}}, {}, true};
    CHECK(zone_share({akl, {"wlg", 10, 0, {{offers, 50}}, {}, true}}) == Approx(65));
    CHECK(zone_share({akl, {"wlg", 10, 0, {{checks, 500}}, {}, true}}) == Approx(60));
    CHECK(zone_share({akl, {"wlg", 10, 0, {{offers, 90}, {checks, 9}}, {}, true}}) ==
          Approx(20 + 5));
    CHECK(zone_share({akl, {"wlg", 10, 0, {{offers, 500}}, {}, false}}) == Approx(60));
    CHECK(zone_share({akl, {"wlg", 0, 0, {{offers, 500}}, {}, true}}) == Approx(120));
    CHECK(zone_share({{"akl", 10, 0, {}, {}, false}, {"wlg", 10, 0, {}, {}, true}}) == Approx(60));
}

// Guards against demand and refusals that outlive a suspension of the host or the use of a service.
TEST_CASE("figures from before a suspension expire", "[admission][capacity]")
{
    admitting_host host;
    for (int i = 0; i < 100; ++i)
        host.control.record_request(desk, checks, host.now);
    CHECK(host.control.demand(desk, host.now).at(checks) == Approx(100 / 0.5 * 0.03));
    for (int i = 0; i < 100; ++i)
        host.admit(100);
    CHECK(host.control.demand(desk, host.now).at(checks) > 0.1);
    host.now += 10s;
    CHECK(host.control.demand(desk, host.now).at(checks) < 1e-6);
    CHECK(host.admit(11).admitted);
    host.control.expire(host.now + 2h);
    CHECK(host.control.demand(desk, host.now).empty());
    CHECK_FALSE(host.control.applies_to(desk));
}

// Guards against one caller that uses a host's limit while others are refused.
TEST_CASE("callers over their share are refused first", "[admission][capacity]")
{
    admitting_host host;
    for (std::uint32_t n = 0; n < 60; ++n)
    {
        host.now -= 55ms;
        host.admit(n % 2 == 0 ? 9 : 12, checks, n % 3 != 0 ? 1 : n);
        host.control.record_request(desk, checks, host.now);
    }
    CHECK(host.admit(9, checks, 1).reason == admission_reason::caller_over_share);
    CHECK(host.admit(9, checks, 500).reason == admission_reason::within_share);
    CHECK(host.admit(8, checks, 1).reason == admission_reason::within_share);
}

} // namespace chivelever
