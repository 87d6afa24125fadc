#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Opens a flow as its caller would, and returns the token that it then echoes.
flow_token open_flow(edge_under_test& host, int caller)
{
    flow_token const t = host.handle(make_syn(caller)).token;
    host.advance(7ms);
    host.handle(make_data(caller, t, 1001, 5000, 0));
    return t;
}

} // namespace

// Guards against a host that needs memory: one that has just started must send the packets of an
// open flow to the upstream that the flow opened at.
TEST_CASE("a host that has just started forwards open flows by token", "[edge][router]")
{
    std::vector<upstream_entry> const upstreams{make_upstream(1), make_upstream(2),
                                                make_upstream(3)};
    edge_under_test first(upstreams);
    flow_token const t = open_flow(first, 1);
    edge_under_test restarted(upstreams);
    packet_decision const d = restarted.handle(make_data(1, t, 1001, 5000, 100));
    CHECK(d.action == packet_action::forward);
    CHECK(d.reason == packet_reason::by_token);
    CHECK(d.token == t);
    CHECK(d.datagram_address == restarted.view.find(t)->entry.datagram_address);
}

// Guards against resets of flows that this host knows nothing about: a missing entry alone proves
// nothing.
TEST_CASE("a packet with an unknown token is dropped, not reset", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    CHECK(host.handle(make_data(1, {12345}, 1, 1, 10)).action == packet_action::drop);
    CHECK(host.handle(make_data(1, {0}, 1, 1, 10)).action == packet_action::drop);
}

// Guards against an opening that waits for its caller's copies while its upstream is dead.
TEST_CASE("an opening to a dead upstream goes elsewhere before the caller repeats it",
          "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2), make_upstream(3)});
    flow_token const first = host.handle(make_syn(1)).token;
    host.advance(59ms);
    CHECK(host.router.due(host.now).empty());
    host.advance(1ms);
    CHECK(host.router.due(host.now).empty());
    CHECK(host.health.verdict(first, host.now) == upstream_verdict::suspected);
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{first});
    host.advance(60ms);
    host.router.probed(first, probe_result::unanswered, host.now - 60ms, host.now);
    auto const again = host.router.due(host.now);
    REQUIRE(again.size() == 1);
    CHECK(again[0].packet == "packet");
    CHECK(again[0].decision.token != first);
}

// Guards against an opening at two upstreams because routers have just moved the flow to another
// host, which alone sees the answer: the second answer would lead the caller's packets astray.
// Seen on ppmg-hub trouble-2 at 3.3 s, beside a host that was restarted; no rule was broken there.
TEST_CASE("silence alone does not offer an opening to a second upstream", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2), make_upstream(3)});
    flow_token const first = host.handle(make_syn(1)).token;
    for (int i = 0; i < 30; ++i)
    {
        host.advance(10ms);
        CHECK(host.router.due(host.now).empty());
        for (flow_token const t : host.router.probes_due(host.now))
            host.router.probed(t, probe_result::answered, host.now, host.now);
    }
    // A copy of the caller's comes through this host, and says that no answer came at all.
    CHECK(host.handle(make_syn(1, 1)).token != first);
}

// Guards against a second opening of a flow that is open: two answers would make the last echo and
// the acknowledged sequence disagree.
TEST_CASE("a late copy of an opening goes where the flow is open", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const t = open_flow(host, 1);
    host.advance(190ms);
    packet_decision const d = host.handle(make_syn(1, 1));
    CHECK(d.token == t);
    CHECK(host.router.due(host.now).empty());
}

// Guards against the answers of two upstreams that were offered the same opening: the flow stays
// with the one whose answer the caller took first.
TEST_CASE("a flow stays with the upstream that its caller chose first", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const first = host.handle(make_syn(1)).token;
    host.advance(200ms);
    flow_token const second = host.handle(make_syn(1, 1)).token;
    REQUIRE(first != second);
    host.advance(2ms);
    CHECK(host.handle(make_data(1, first, 1001, 5000, 0)).token == first);
    host.advance(2ms);
    CHECK(host.handle(make_data(1, second, 1001, 5000, 100)).token == first);
}

// Guards against refusing a route that was just added: only a fresh configuration can tell.
TEST_CASE("an unknown route is refused only under a fresh configuration", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    caller_packet p = make_syn(1);
    p.flow.destination = bulk_route;
    CHECK(host.handle(p).action == packet_action::reset);
    host.advance(2100ms);
    CHECK(host.handle(p).action == packet_action::drop);
}

// Guards against flows that go on under a route that the operators have dropped, and against resets
// under a route that this host does not know yet.
TEST_CASE("flows of a dropped route are reset, those of an unknown route are not", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    flow_token const t = open_flow(host, 1);
    caller_packet unknown = make_data(2, t, 1001, 5000, 100);
    unknown.flow.destination = bulk_route;
    CHECK(host.handle(unknown).action == packet_action::forward);
    host.view.apply(make_operators(21, 2, {bulk_route}), {21, {make_upstream(1)}}, host.now,
                    host.now, host.changes);
    packet_decision const d = host.handle(make_data(1, t, 1001, 5000, 100));
    CHECK(d.action == packet_action::reset);
    CHECK(d.reason == packet_reason::route_removed);
    CHECK(d.reset_sequence == 5000);
}

// Guards against flows that hang until their time limit because their upstream died: they are reset
// once a connection attempt fails as well, and only while other upstreams answer.
TEST_CASE("flows of a silent upstream are reset, and only of that one", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    std::map<std::uint32_t, std::set<int>> callers;
    for (int c = 1; c <= 8; ++c)
        callers[open_flow(host, c).value].insert(c);
    REQUIRE(callers.size() == 2);
    flow_token const dead{callers.begin()->first};
    flow_token const alive{callers.rbegin()->first};
    int const waiting = *callers[dead.value].begin();
    int const served = *callers[alive.value].begin();
    host.handle(make_data(waiting, dead, 1001, 5000, 100));
    host.handle(make_data(served, alive, 1001, 5000, 100));
    host.advance(60ms);
    host.handle(make_data(served, alive, 1101, 6000, 0)); // the other one answers
    host.advance(60ms);
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{dead});
    CHECK(host.router.probed(dead, probe_result::unanswered, host.now, host.now)
              .empty()); // one attempt proves nothing
    host.advance(40ms);
    host.handle(make_data(served, alive, 1201, 7000, 0));
    host.advance(110ms);
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{dead});
    auto const resets = host.router.probed(dead, probe_result::unanswered, host.now, host.now);
    CHECK(resets.size() == callers[dead.value].size());
    for (packet_decision const& d : resets)
        CHECK(d.token == dead);
}

// Guards against flows that stay on a silent upstream because it was found out between two
// attempts, by a repeated request (seen with the stand-in: no flow was reset at once, all waited
// for 200 ms).
TEST_CASE("a repeated request between two attempts does not hide the silence", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    std::map<int, flow_token> flows;
    for (int c = 1; c <= 6; ++c)
        flows[c] = open_flow(host, c);
    flow_token const dead = flows[1];
    int const other =
        std::ranges::find_if(flows, [&](auto const& f) { return f.second != dead; })->first;
    host.handle(make_data(1, dead, 1001, 5000, 100));
    host.advance(160ms);
    host.handle(make_data(other, flows[other], 1001, 6000, 0));
    CHECK(host.router.probed(dead, probe_result::unanswered, host.now - 1ms, host.now).empty());
    CHECK(host.handle(make_data(1, dead, 1001, 5000, 100)).newly_suspected == false);
    host.advance(20ms);
    CHECK_FALSE(
        host.router.probed(dead, probe_result::unanswered, host.now - 1ms, host.now).empty());
}

// Guards against a host that is itself cut off and resets the flows of everyone.
TEST_CASE("no flow is reset while nobody answers this host", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    std::set<std::uint32_t> tokens;
    for (int c = 1; c <= 4; ++c)
    {
        flow_token const t = open_flow(host, c);
        tokens.insert(t.value);
        host.handle(make_data(c, t, 1001, 5000, 100));
    }
    host.advance(400ms);
    for (int round = 0; round < 5; ++round)
    {
        for (flow_token const t : host.router.probes_due(host.now))
            CHECK(host.router.probed(t, probe_result::unanswered, host.now, host.now).empty());
        for (int c = 1; c <= 4; ++c)
            host.handle(make_data(c, {*tokens.begin()}, 1001, 5000, 100));
        host.advance(200ms);
    }
    CHECK(host.health.isolated(host.now));
}

// Guards against packets of uploads that overtake each other and look like repetitions.
TEST_CASE("packets that overtake each other raise no suspicion", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    flow_token const t = open_flow(host, 1);
    host.handle(make_data(1, t, 2201, 5000, 1200));
    host.advance(1ms);
    CHECK_FALSE(host.handle(make_data(1, t, 1001, 5000, 1200)).newly_suspected);
    host.advance(200ms);
    CHECK(host.handle(make_data(1, t, 2201, 5000, 1200)).newly_suspected);
}

// Guards against malformed openings and packets before anything is known.
TEST_CASE("openings with other flags and packets before loading are dropped", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    caller_packet p = make_syn(1);
    p.fin = true;
    CHECK(host.handle(p).reason == packet_reason::bad_flags);
    deployment_view empty;
    edge_router fresh(empty, host.flows, host.health, host.place, host.overload, host.fleet);
    CHECK(fresh.handle(make_syn(2), "packet", host.now).reason == packet_reason::not_loaded);
}

// Guards against a host that is slow itself and takes its own delay for the upstream's silence: an
// answer that was read while the attempt ran outweighs it. Seen on a host with 0.12 cores.
TEST_CASE("an answer during a failed attempt keeps the flows", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    std::map<int, flow_token> flows;
    for (int c = 1; c <= 4; ++c)
        flows[c] = open_flow(host, c);
    flow_token const slow = flows[1];
    host.handle(make_data(1, slow, 1001, 5000, 100));
    host.advance(110ms);
    for (int round = 0; round < 3; ++round)
    {
        time_point const started = host.now;
        host.router.probes_due(host.now);
        host.advance(60ms);
        for (auto const& [c, t] : flows)
            host.handle(make_data(c, t, 1101, 6000U + static_cast<unsigned>(round), 0));
        host.advance(1ms);
        CHECK(host.router.probed(slow, probe_result::unanswered, started, host.now).empty());
        CHECK(host.health.verdict(slow, host.now) == upstream_verdict::working);
        host.advance(200ms);
    }
}

} // namespace chivelever
