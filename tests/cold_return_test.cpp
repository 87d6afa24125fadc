// Upstreams that come back after they failed their probes.
#include "tests/edge_fixture.hpp"

#include <catch2/catch.hpp>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

std::string const desk = "desk";
flow_token const only = make_flow_token(make_upstream(1).name);

// One upstream fails all of its probes for 400 ms and then answers again. `opened` flows were
// opened before and stay open.
void fail_and_return(edge_under_test& host, bool returns = true)
{
    for (int i = 0; i < 4; ++i)
    {
        host.health.probed(only, probe_result::unanswered, host.now - 60ms, host.now);
        host.advance(100ms);
    }
    if (returns)
        host.health.probed(only, probe_result::answered, host.now - 3ms, host.now);
}

// Flows that the host places within a second from now on; the view stays as old as it is.
int placed_in_a_second(edge_under_test& host)
{
    int placed = 0;
    for (int i = 0; i < 100; ++i)
    {
        placed += host.place.choose({desk, {}, false}, host.view, host.flows, host.health,
                                    host.fleet, host.now)
                              .upstream.value != 0
                      ? 1
                      : 0;
        host.advance(10ms);
    }
    return placed;
}

} // namespace

// Guards against full load on an upstream that was restarted while the store was down, so that its
// entry does not show the cold start: it got 11 connection attempts in a second where 6.5 were
// allowed.
TEST_CASE("an upstream that returns after failed probes counts as cold", "[edge][placement][cold]")
{
    edge_under_test host({make_upstream(1)});
    host.advance(2s); // the store is down
    fail_and_return(host);
    int const limit = 5; // requests per second: 0 * 1.5 + 5
    CHECK(placed_in_a_second(host) <= limit);
    // The cold time of the service is 2 s.
    CHECK(placement::is_cold(*host.view.find(only), host.view, host.health, host.now + 990ms));
    CHECK_FALSE(placement::is_cold(*host.view.find(only), host.view, host.health, host.now + 1s));
    host.advance(1s);
    CHECK(placed_in_a_second(host) == 100);
}

// Guards against hosts that did not use the upstream while it was down: they must not flood it.
// Relayed reports of one return seem to be later by the time on the way, and must not extend it.
TEST_CASE("a return that another host reports makes the upstream cold", "[edge][placement][cold]")
{
    edge_under_test host({make_upstream(1)});
    host.advance(3s);
    time_point const returned = host.now - 150ms;
    for (int i = 0; i < 8; ++i)
        host.health.record_peer_return(only, returned + i * 20ms);
    CHECK(host.health.returned_at(only) == returned);
    CHECK(placed_in_a_second(host) <= 5);
    CHECK(host.health.returns_since(returned).size() == 1);
    CHECK(host.health.returns_since(returned + 1us).empty());
    // A later return is another one.
    host.health.record_peer_return(only, returned + 5s);
    CHECK(host.health.returned_at(only) == returned + 5s);
}

// Guards against a cold start of an upstream that has only been unreachable, as behind a full
// accept queue or a partition: a flow from before shows that it was not restarted.
TEST_CASE("an answer on an older flow shows that the upstream was not restarted",
          "[edge][placement][cold]")
{
    edge_under_test host({make_upstream(1)});
    host.advance(2s);
    time_point const opened = host.now;
    host.advance(1s);
    fail_and_return(host, false);
    host.health.record_answer(only, host.now, opened);
    CHECK(host.health.returned_at(only) == time_point{});

    host.advance(1s);
    fail_and_return(host, false);
    host.health.record_answer(only, host.now, host.now - 10ms);
    CHECK(host.health.returned_at(only) == host.now);
}

// Guards against a cold start that lasts although the store shows that the upstream was not
// restarted, and against ending it by an entry that the upstream could not rewrite yet.
TEST_CASE("a reading of the store ends the cold start of a returned upstream",
          "[edge][placement][cold]")
{
    edge_under_test host({make_upstream(1)});
    operator_listing operators = make_operators(30, 2);
    operators.config->services[0].cold_time = 20s;
    auto const read = [&] {
        host.view.apply(operators, {30, {make_upstream(1)}}, host.now, host.now, host.changes);
    };
    auto const is_cold = [&]
    { return placement::is_cold(*host.view.find(only), host.view, host.health, host.now); };
    read();
    fail_and_return(host);
    time_point const returned = host.now;
    host.advance(5s); // the store is down, and comes back
    CHECK(is_cold());
    read();
    CHECK(is_cold()); // the upstream writes its entry again within 2.4 s
    for (int i = 0; i < 3; ++i)
    {
        host.advance(800ms);
        read();
    }
    CHECK(host.now < returned + 20s);
    CHECK_FALSE(is_cold());
}

// Guards against a cold start after a single lost probe.
TEST_CASE("one or two failed probes make no cold start", "[edge][placement][cold]")
{
    edge_under_test host({make_upstream(1)});
    host.health.probed(only, probe_result::unanswered, host.now, host.now + 60ms);
    host.health.probed(only, probe_result::unanswered, host.now + 70ms, host.now + 130ms);
    host.health.probed(only, probe_result::answered, host.now + 140ms, host.now + 143ms);
    CHECK(host.health.returned_at(only) == time_point{});
}

} // namespace chivelever
