#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Opens a flow as a caller does and returns the token that the caller echoes.
flow_token open_flow(edge_under_test& host, int caller)
{
    flow_token const t = host.handle(make_syn(caller)).token;
    host.advance(7ms);
    host.handle(make_data(caller, t, 1001, 5000, 0));
    return t;
}

} // namespace

// Guards against forwarding that depends on local state: a host that has just restarted must send
// the packets of an open flow to the flow's upstream.
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

// Guards against resets of flows unknown to this host: a missing entry does not prove that the flow
// has ended.
TEST_CASE("a packet with an unknown token is dropped, not reset", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    CHECK(host.handle(make_data(1, {12345}, 1, 1, 10)).action == packet_action::drop);
    CHECK(host.handle(make_data(1, {0}, 1, 1, 10)).action == packet_action::drop);
}

// Guards against a SYN to a dead upstream that waits for the caller's retransmission.
TEST_CASE("a SYN to a dead upstream is retried elsewhere before the caller retransmits it",
          "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2), make_upstream(3)});
    flow_token const first = host.handle(make_syn(1)).token;
    host.advance(59ms);
    CHECK(host.router.retries_due(host.now).empty());
    host.advance(1ms);
    CHECK(host.router.retries_due(host.now).empty());
    CHECK(host.health.status(first, host.now) == health_status::suspected);
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{first});
    host.advance(60ms);
    host.router.probed(first, probe_result::unanswered, host.now - 60ms, host.now);
    auto const again = host.router.retries_due(host.now);
    REQUIRE(again.size() == 1);
    CHECK(again[0].packet == "packet");
    CHECK(again[0].decision.token != first);
}

// Guards against one SYN at two upstreams. If the fabric has just rerouted the flow to another
// host, for example next to a host that restarted, only that host sees the answer, and the answer
// of a second upstream would misdirect the caller's packets.
TEST_CASE("a missing answer alone does not send a SYN to a second upstream", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2), make_upstream(3)});
    flow_token const first = host.handle(make_syn(1)).token;
    for (int i = 0; i < 30; ++i)
    {
        host.advance(10ms);
        CHECK(host.router.retries_due(host.now).empty());
        for (flow_token const t : host.router.probes_due(host.now))
            host.router.probed(t, probe_result::answered, host.now, host.now);
    }
    // A retransmission may only mean that the answer was lost.
    for (std::uint32_t copies = 1; copies <= 2; ++copies)
    {
        packet_decision const d = host.handle(make_syn(1, copies));
        CHECK(d.token == first);
        CHECK(d.reason == packet_reason::by_flow);
        CHECK(d.open_attempts == 1);
        host.advance(400ms);
        CHECK(host.router.retries_due(host.now).empty());
    }
}

// Guards against a caller that waits for an upstream that is down or full although a probe shows
// it, and against one SYN at two upstreams: answers to all flows of an upstream may be late or have
// taken another way, so that missing ones alone move no SYN, however many hosts miss them.
TEST_CASE("a retransmitted SYN moves only if a probe shows a failure", "[edge][router]")
{
    using sign = std::function<void(edge_under_test&, flow_token)>;
    sign const closed = [](edge_under_test& host, flow_token t)
    { host.router.probed(t, probe_result::closed, host.now, host.now); };
    sign const failed = [](edge_under_test& host, flow_token t)
    { host.router.probed(t, probe_result::unanswered, host.now, host.now); };
    sign const other_flows = [](edge_under_test& host, flow_token t)
    {
        host.health.record_failure(t, host.now);
        host.health.record_failure(t, host.now);
    };
    sign const peer = [](edge_under_test& host, flow_token t)
    { host.health.record_peer_suspicion(t, host.now); };
    sign const inconclusive = [](edge_under_test& host, flow_token t)
    { host.router.probed(t, probe_result::inconclusive, host.now, host.now); };
    sign const nothing = [](edge_under_test&, flow_token) {};
    sign const answer = [](edge_under_test& host, flow_token t)
    { host.health.record_answer(t, host.now, host.now); };
    sign const peer_answer = [](edge_under_test& host, flow_token t)
    { host.health.record_peer_answer(t, host.now); };
    struct row
    {
        sign before;
        sign after;
        bool moves;
    };
    for (row const& r : {row{closed, nothing, true}, row{closed, answer, true},
                         row{failed, nothing, true}, row{failed, answer, false},
                         row{failed, peer_answer, false}, row{other_flows, nothing, false},
                         row{peer, nothing, false}, row{other_flows, peer, false},
                         row{inconclusive, nothing, false}, row{answer, other_flows, false}})
    {
        edge_under_test host({make_upstream(1), make_upstream(2)});
        flow_token const first = host.handle(make_syn(1)).token;
        host.advance(150ms);
        r.before(host, first);
        host.advance(50ms);
        r.after(host, first);
        CHECK((host.handle(make_syn(1, 1)).token != first) == r.moves);
    }
}

// Guards against a SYN that stays at a dead upstream because its first probe was inconclusive, and
// against one that was moved to a second dead upstream and is not checked there.
TEST_CASE("a retransmitted SYN is checked again after 60 ms at most", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2), make_upstream(3)});
    flow_token const first = host.handle(make_syn(1)).token;
    host.advance(200ms);
    CHECK(host.handle(make_syn(1, 1)).token == first);
    host.advance(60ms);
    host.router.probed(first, probe_result::unanswered, host.now - 60ms, host.now);
    auto const moved = host.router.retries_due(host.now);
    REQUIRE(moved.size() == 1);
    flow_token const second = moved[0].decision.token;
    CHECK(second != first);
    host.advance(340ms);
    host.router.probed(second, probe_result::closed, host.now, host.now);
    flow_token const third = host.handle(make_syn(1, 2)).token;
    CHECK(third != second);
    CHECK(third != first);
    CHECK(host.router.next_retry_at() <= host.now + 60ms);
}

// Guards against probes that prove nothing on a host with little traffic: an upstream that answered
// a while ago serves as the control.
TEST_CASE("the reference for probes is the upstream that answered last", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const a = make_flow_token(make_upstream(1).name);
    std::vector<flow_token> const b{make_flow_token(make_upstream(2).name)};
    CHECK(host.router.reference_upstream({}, host.now).value == 0);
    host.health.record_answer(a, host.now, host.now);
    host.health.record_answer(b[0], host.now + 1ms, host.now);
    host.health.record_answer({12345}, host.now + 2ms, host.now); // no longer in the view
    CHECK(host.router.reference_upstream({}, host.now + 1min) == b[0]);
    CHECK(host.router.reference_upstream(b, host.now + 1min) == a);
}

// Guards against reopening an open flow at another upstream: with two answers, the echoed token and
// the acknowledged sequence number would disagree.
TEST_CASE("a late retransmission of a SYN goes to the upstream of the open flow", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const t = open_flow(host, 1);
    host.advance(190ms);
    packet_decision const d = host.handle(make_syn(1, 1));
    CHECK(d.token == t);
    CHECK(host.router.retries_due(host.now).empty());
}

// Guards against switching upstreams when two of them answer the same SYN: the flow stays with the
// one whose answer the caller accepted first.
TEST_CASE("a flow stays with the upstream that its caller chose first", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const first = host.handle(make_syn(1)).token;
    host.advance(200ms);
    host.router.probed(first, probe_result::closed, host.now, host.now);
    flow_token const second = host.handle(make_syn(1, 1)).token;
    REQUIRE(first != second);
    host.advance(2ms);
    CHECK(host.handle(make_data(1, first, 1001, 5000, 0)).token == first);
    host.advance(2ms);
    CHECK(host.handle(make_data(1, second, 1001, 5000, 100)).token == first);
}

// Guards against resets for a route that was just added: only a recently confirmed configuration
// can show that a route does not exist.
TEST_CASE("an unknown route is reset only under a recently confirmed configuration",
          "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    caller_packet p = make_syn(1);
    p.flow.destination = bulk_route;
    CHECK(host.handle(p).action == packet_action::reset);
    host.advance(2100ms);
    CHECK(host.handle(p).action == packet_action::drop);
}

// Guards against flows that continue on a route removed by the operators, and against resets on a
// route that this host does not know yet.
TEST_CASE("flows of a removed route are reset, those of an unknown route are not", "[edge][router]")
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

// Guards against flows that hang until their time limit after their upstream died. They are reset
// once connection probes fail as well, and only while other upstreams answer.
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
    host.handle(make_data(served, alive, 1101, 6000, 0)); // the other upstream answers
    host.advance(60ms);
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{dead});
    CHECK(host.router.probed(dead, probe_result::unanswered, host.now, host.now)
              .empty()); // one failed probe is not enough
    host.advance(40ms);
    host.handle(make_data(served, alive, 1201, 7000, 0));
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{dead});
    CHECK(host.router.probed(dead, probe_result::unanswered, host.now, host.now)
              .empty()); // neither are two
    host.advance(110ms);
    REQUIRE(host.router.probes_due(host.now) == std::vector<flow_token>{dead});
    auto const resets = host.router.probed(dead, probe_result::unanswered, host.now, host.now);
    CHECK(resets.size() == callers[dead.value].size());
    for (packet_decision const& d : resets)
        CHECK(d.token == dead);
}

// Guards against flows that stay on a silent upstream because a retransmitted request between two
// probes had already made it suspected. In that case no flow was reset at once, and all waited for
// 200 ms.
TEST_CASE("a retransmitted request between two probes does not hide a silent upstream",
          "[edge][router]")
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
    CHECK(host.router.probed(dead, probe_result::unanswered, host.now - 1ms, host.now).empty());
    host.advance(20ms);
    CHECK_FALSE(
        host.router.probed(dead, probe_result::unanswered, host.now - 1ms, host.now).empty());
}

// Guards against each host of a zone finding out by itself about an upstream that is gone: what
// another host has suspected takes one probe less.
TEST_CASE("a suspicion of another host saves a probe", "[edge][router]")
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
    host.health.record_peer_suspicion(dead, host.now);
    CHECK(host.router.probed(dead, probe_result::unanswered, host.now - 1ms, host.now).empty());
    host.advance(20ms);
    CHECK_FALSE(
        host.router.probed(dead, probe_result::unanswered, host.now - 1ms, host.now).empty());
}

// Guards against resets of the flows of a living upstream that does not answer probes, as one with
// a full accept queue: an answer through another host of the zone refutes the probes.
TEST_CASE("an upstream that answers another host is not silent", "[edge][router]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    std::map<int, flow_token> flows;
    for (int c = 1; c <= 6; ++c)
        flows[c] = open_flow(host, c);
    flow_token const doubtful = flows[1];
    int const other =
        std::ranges::find_if(flows, [&](auto const& f) { return f.second != doubtful; })->first;
    host.handle(make_data(1, doubtful, 1001, 5000, 100));
    for (int probe = 0; probe < 8; ++probe)
    {
        host.advance(70ms);
        host.handle(make_data(other, flows[other], 1001, 6000U + static_cast<unsigned>(probe), 0));
        // Another host reports an answer after the second probe of each three.
        if (probe % 3 == 2)
            host.health.record_peer_answer(doubtful, host.now - 30ms);
        CHECK(host.router.probed(doubtful, probe_result::unanswered, host.now - 60ms, host.now)
                  .empty());
        CHECK(host.health.status(doubtful, host.now) != health_status::silent);
    }
    CHECK(host.handle(make_data(1, doubtful, 1101, 5000, 100)).action == packet_action::forward);
}

// Guards against an isolated host that resets all flows.
TEST_CASE("no flow is reset while no upstream answers this host", "[edge][router]")
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

// Guards against reordered upload packets that look like retransmissions.
TEST_CASE("reordered packets raise no suspicion", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    flow_token const t = open_flow(host, 1);
    host.handle(make_data(1, t, 2201, 5000, 1200));
    host.advance(1ms);
    CHECK_FALSE(host.handle(make_data(1, t, 1001, 5000, 1200)).newly_suspected);
    host.advance(200ms);
    CHECK(host.handle(make_data(1, t, 2201, 5000, 1200)).newly_suspected);
}

// Guards against accepting malformed SYNs, or packets before a configuration is loaded.
TEST_CASE("SYNs with other flags and packets before loading are dropped", "[edge][router]")
{
    edge_under_test host({make_upstream(1)});
    caller_packet p = make_syn(1);
    p.fin = true;
    CHECK(host.handle(p).reason == packet_reason::bad_flags);
    deployment_view empty;
    edge_router fresh(empty, host.flows, host.health, host.place, host.overload, host.fleet,
                      host.capacity);
    CHECK(fresh.handle({make_syn(2), "packet"}, host.now).reason == packet_reason::not_loaded);
}

// Guards against a slow host, such as one with 0.12 CPU cores, that mistakes its own delay for a
// silent upstream: an answer read during a probe overrides the probe's failure.
TEST_CASE("an answer during a failed probe keeps the flows", "[edge][router]")
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
        CHECK(host.health.status(slow, host.now) == health_status::healthy);
        host.advance(200ms);
    }
}

} // namespace chivelever
