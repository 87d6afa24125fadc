// Bounds on the results of short admission and retry experiments with fixed seeds.
#include "bench/admission/run.hpp"

#include <catch2/catch.hpp>

using namespace chivelever;
using namespace chivelever::experiment;

// Guards against idle slots while requests are queued, and against more requests than slots.
TEST_CASE("one holder nearly reaches the goodput of an ideal queue without overload")
{
    invariants::reset();
    for (std::uint64_t const seed : {1, 2, 3})
        for (std::uint16_t const slots : {3, 2})
        {
            scenario s;
            s.seed = seed;
            s.slots = slots;
            s.seconds = 8;
            result const ideal = run<ideal_policy>(s);
            result const r = run<pool_policy>(s);
            CHECK(r.excess == 0);
            CHECK(r.goodput() >= 0.95 * ideal.goodput());
        }
    CHECK(invariants::violations() == 0);
}

// Guards against sending a cold upstream more than one request at a time, and against limits that
// rise too slowly.
TEST_CASE("upstreams that start cold are not overloaded and soon used in full")
{
    invariants::reset();
    for (std::uint64_t const seed : {1, 2, 3})
    {
        scenario s;
        s.seed = seed;
        s.seconds = 3;
        s.load = 0.5;
        s.start_cold = true;
        result const r = run<pool_policy>(s);
        CHECK(r.excess == 0);
        CHECK(r.full_capacity_s > 0);
        CHECK(r.full_capacity_s < 1);
        // These upstreams answer well at the cold limit long before they can take more. The bound
        // is on the excess requests caused by raising limits too early. If all raise their limits
        // at once, and a failed increase does not raise the number of answers needed, there are 236
        // in 20 s.
        s.seconds = 8;
        s.warm_after_s = 2;
        CHECK(run<pool_policy>(s).excess <= 8);
    }
    CHECK(invariants::violations() == 0);
}

// Guards against retries that multiply the load on a failing pool, and against probes that come too
// late after an outage.
TEST_CASE("attempts stay bounded in a total outage and service returns within two seconds")
{
    invariants::reset();
    for (std::uint64_t const seed : {1, 2, 3})
    {
        scenario s;
        s.seed = seed;
        s.seconds = 14;
        s.load = 0.6;
        s.idempotent = 1;
        s.outage_from = 3;
        s.outage_to = 9.7;
        result const r = run<pool_policy>(s);
        CHECK(static_cast<double>(r.outage_attempts) <=
              1.1 * static_cast<double>(r.outage_offered));
        CHECK(r.attempts <= r.all_offered + r.all_offered / 10);
        CHECK(r.recovery_s >= 0);
        CHECK(r.recovery_s <= 2);
    }
    CHECK(invariants::violations() == 0);
}

TEST_CASE("experiments with the same seed give the same result")
{
    scenario s;
    s.seconds = 2;
    s.measure_from = 0;
    CHECK(run<pool_policy>(s) == run<pool_policy>(s));
}
