#include "protocol/protocol.hpp"
#include "tests/edge_fixture.hpp"

#include <catch2/catch.hpp>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

std::vector<upstream_entry> upstreams()
{
    return {make_upstream(1), make_upstream(2), make_upstream(3)};
}

// Two hosts of a zone. Each handles packets as if the other one had more of the traffic.
struct two_hosts
{
    edge_under_test a{upstreams()};
    edge_under_test b{upstreams()};

    two_hosts() { a.fleet.hosts_in_zone = b.fleet.hosts_in_zone = 2; }
    void advance(duration d)
    {
        a.advance(d);
        b.advance(d);
    }
    // Delivers what `from` has to say, and the answers. Returns the SYNs that `from` then sends.
    std::vector<syn_retry> exchange(edge_under_test& from, edge_under_test& to)
    {
        flow_report const messages = from.router.owners().take_messages();
        std::vector<syn_retry> out;
        for (flow_owner const& asked : messages.asked)
            if (auto const answer = to.router.owner_of(asked))
                if (auto syn = from.router.learn(*answer, from.now))
                    out.push_back(*syn);
        for (flow_owner const& known : messages.known)
            to.router.learn(known, to.now);
        return out;
    }
};

} // namespace

// Guards against one SYN at two upstreams when the fabric moves the caller to another host between
// the copies, as next to a host that is stopped.
TEST_CASE("a copy of a SYN through another host reaches the same upstream", "[edge][owners]")
{
    two_hosts zone;
    flow_token const first = zone.a.handle(make_syn(1)).token;
    zone.advance(200ms);
    packet_decision const held = zone.b.handle(make_syn(1, 1));
    CHECK(held.action == packet_action::drop);
    CHECK(held.reason == packet_reason::asking_zone);
    auto const sent = zone.exchange(zone.b, zone.a);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].decision.action == packet_action::forward);
    CHECK(sent[0].decision.reason == packet_reason::by_report);
    CHECK(sent[0].decision.token == first);
    CHECK(sent[0].packet == "packet");
    zone.advance(400ms);
    CHECK(zone.b.handle(make_syn(1, 2)).token == first);
    CHECK(zone.b.router.retries_due(zone.b.now).empty());
}

// Guards against a second upstream for a SYN that waited at the socket of a host that stood still,
// while the caller's copy opened the flow through another host.
TEST_CASE("a SYN that waited at the socket does not open a flow again", "[edge][owners]")
{
    two_hosts zone;
    zone.b.handle(make_syn(1, 1));
    zone.b.router.owners().take_messages(); // lost: the other host stands still
    zone.advance(30ms);
    auto const placed = zone.b.router.retries_due(zone.b.now);
    REQUIRE(placed.size() == 1);
    flow_token const owner = placed[0].decision.token;
    CHECK(zone.b.handle(make_data(1, owner, 1001, 5000, 0)).token == owner);
    zone.advance(300ms);
    SECTION("it asks, and the flow is open")
    {
        CHECK(zone.a.handle(make_syn(1, 0), 500ms).reason == packet_reason::asking_zone);
        CHECK(zone.exchange(zone.a, zone.b).empty());
    }
    SECTION("it has read the report of the host that placed the SYN")
    {
        zone.exchange(zone.b, zone.a);
        CHECK(zone.a.handle(make_syn(1, 0), 500ms).reason == packet_reason::outdated_syn);
    }
    SECTION("the caller has given up")
    {
        CHECK(zone.a.handle(make_syn(2, 0), 1400ms).reason == packet_reason::outdated_syn);
        CHECK(zone.a.handle(make_syn(2, 2), 800ms).reason == packet_reason::outdated_syn);
    }
    zone.advance(100ms);
    CHECK(zone.a.router.retries_due(zone.a.now).empty());
}

// Guards against a delay of SYNs that cannot have been overtaken by a copy: a busy host reads them
// some milliseconds late.
TEST_CASE("a SYN that waited for less than a caller's first interval is placed at once",
          "[edge][owners]")
{
    two_hosts zone;
    CHECK(zone.a.handle(make_syn(1), 170ms).reason == packet_reason::placed);
    // Without another host in the zone there is nobody to ask.
    edge_under_test alone(upstreams());
    CHECK(alone.handle(make_syn(1, 2), 300ms).reason == packet_reason::placed);
}

// Guards against resets of an open flow by an upstream that received a copy of its SYN and repeats
// its answer: the caller echoes that upstream's token, and a host without memory of the flow has
// nothing else.
TEST_CASE("a host without memory of a flow goes by the report, not by the token", "[edge][owners]")
{
    two_hosts zone;
    flow_token const first = zone.a.handle(make_syn(1)).token;
    zone.advance(100ms);
    zone.a.router.probed(first, probe_result::closed, zone.a.now, zone.a.now);
    zone.advance(100ms);
    flow_token const second = zone.a.handle(make_syn(1, 1)).token;
    REQUIRE(second != first);
    zone.advance(10ms);
    // The first upstream has answered after all, and the caller has chosen it.
    CHECK(zone.a.handle(make_data(1, first, 1001, 5000, 0)).token == first);
    SECTION("reported when the flow opened")
    {
        zone.exchange(zone.a, zone.b);
    }
    SECTION("reported to a host that has started since")
    {
        zone.a.router.owners().take_messages();
        for (flow_owner const& o : zone.a.router.owners().all_reports())
            zone.b.router.learn(o, zone.b.now);
    }
    zone.advance(8s);
    packet_decision const d = zone.b.handle(make_data(1, second, 1001, 5000, 100));
    CHECK(d.token == first);
    CHECK(d.reason == packet_reason::by_report);
    // A later flow from the same port is not bound by the report.
    CHECK(zone.b.handle(make_data(1, second, 500'000'000, 5000, 100)).token == second);
}

// Guards against a host that keeps a flow at the upstream that it chose for a copy of the SYN,
// though the flow has opened at another one through another host.
TEST_CASE("a report moves a flow whose SYN this host sent elsewhere", "[edge][owners]")
{
    two_hosts zone;
    flow_token const here = zone.a.handle(make_syn(1)).token;
    flow_token other;
    for (upstream_entry const& e : upstreams())
        if (make_flow_token(e.name) != here)
            other = make_flow_token(e.name);
    zone.a.router.learn({make_syn(1).flow, 1000, other, true}, zone.a.now);
    CHECK(zone.a.handle(make_data(1, here, 1101, 5000, 100)).token == other);
}

// Guards against a host that mistakes its own delay for the silence of an upstream: a copy that it
// read together with the SYN is no sign against the upstream.
TEST_CASE("a copy that is read together with its SYN counts as no failure", "[edge][owners]")
{
    edge_under_test host(upstreams());
    flow_token const first = host.handle(make_syn(1), 170ms).token;
    host.advance(25ms);
    // Arrived 15 ms after the SYN was sent on, and was read later.
    CHECK(host.handle(make_syn(1, 1), 10ms).token == first);
    CHECK(host.health.status(first, host.now) == health_status::healthy);
    host.advance(20ms);
    CHECK(host.handle(make_syn(1, 1), 10ms).newly_suspected);
}

// Guards against two hosts that each hold a copy, ask the other one and then both choose an
// upstream.
TEST_CASE("a held SYN is released if another host places the flow", "[edge][owners]")
{
    two_hosts zone;
    zone.a.handle(make_syn(1, 1));
    zone.b.handle(make_syn(1, 2));
    auto const asked = zone.a.router.owners().take_messages().asked;
    REQUIRE(asked.size() == 1);
    CHECK_FALSE(zone.b.router.owner_of(asked[0]));
    zone.b.router.owners().release(asked[0]);
    zone.advance(30ms);
    CHECK(zone.a.router.retries_due(zone.a.now).size() == 1);
    CHECK(zone.b.router.retries_due(zone.b.now).empty());
}

// Guards against callers that wait for the zone while many SYNs are held, and against a deadline
// that is not scheduled.
TEST_CASE("the number of SYNs held at a time is bounded", "[edge][owners]")
{
    two_hosts zone;
    int held = 0;
    for (int caller = 1; caller <= 200; ++caller)
        if (zone.a.handle(make_syn(caller, 1)).reason == packet_reason::asking_zone)
            ++held;
    CHECK(held == 64);
    CHECK(zone.a.router.next_retry_at() == zone.a.now + 30ms);
    zone.advance(30ms);
    CHECK(zone.a.router.retries_due(zone.a.now).size() == 64);
}

// Guards against reports that apply for longer than a flow lasts.
TEST_CASE("reports of flows expire", "[edge][owners]")
{
    flow_owners owners;
    flow_owner const o{make_syn(1).flow, 1000, {7}, true};
    owners.report(o, edge_start);
    CHECK(owners.find(o.flow, 1000).value == 7);
    owners.expire(edge_start + 61s);
    CHECK(owners.find(o.flow, 1000).value == 0);
    CHECK(owners.all_reports().empty());
}

// Guards against reports that are lost or misread on the way.
TEST_CASE("flow reports survive encoding, and malformed ones are refused", "[edge][owners]")
{
    flow_report const r{{{make_syn(1).flow, 0xFFFFFFFFU, {}, false}},
                        {{make_syn(2).flow, 7, {0xFFFFFFFFU}, true}}};
    std::string const bytes = encode_flow_report(r);
    CHECK(is_flow_report(bytes));
    CHECK(decode_flow_report(bytes) == r);
    CHECK_FALSE(is_flow_report(encode_heartbeat({})));
    CHECK_FALSE(decode_heartbeat(bytes));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(decode_flow_report(bytes.substr(0, length)));
    CHECK_FALSE(decode_flow_report(R"(["flows-1",[[1,2,3]],[]])"));
    CHECK_FALSE(decode_flow_report(R"(["flows-1",[],[[1,2,-3,4,true]]])"));
}

} // namespace chivelever
