#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

bool accepts_new_flows(deployment_view const& v, upstream_entry const& e, time_point now)
{
    known_upstream const* const u = v.find(make_flow_token(e.name));
    return u != nullptr && v.accepts_new_flows(*u, now);
}

} // namespace

// Guards against a host that reverts to an older configuration when a stale listing arrives late.
TEST_CASE("a listing with an older configuration changes nothing", "[edge][view]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point const now = edge_start;
    REQUIRE(v.apply(make_operators(30, 7), {30, {make_upstream(1)}}, now, now, changes));
    CHECK_FALSE(v.apply(make_operators(29, 6), {29, {}}, now, now, changes));
    CHECK_FALSE(v.apply(make_operators(31, 6), {31, {}}, now, now, changes));
    CHECK(v.version().config_version == 7);
    CHECK(accepts_new_flows(v, make_upstream(1), now));
}

// Guards against new flows to a draining upstream, a terminated one, or one in an evacuated zone.
TEST_CASE("draining, missing and evacuated upstreams take no new flows", "[edge][view]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point now = edge_start;
    upstream_entry draining = make_upstream(1);
    draining.draining = true;
    operator_listing o = make_operators(30, 1);
    v.apply(o, {30, {draining, make_upstream(2), make_upstream(3, "wlg")}}, now, now, changes);
    CHECK_FALSE(accepts_new_flows(v, draining, now));
    CHECK(accepts_new_flows(v, make_upstream(2), now));
    CHECK(accepts_new_flows(v, make_upstream(3), now));

    o.as_of = 31;
    o.evacuated_zones = {"wlg"};
    now += 800ms;
    v.apply(o, {31, {draining, make_upstream(3, "wlg")}}, now, now, changes);
    CHECK_FALSE(accepts_new_flows(v, make_upstream(2), now));
    CHECK_FALSE(accepts_new_flows(v, make_upstream(3), now));

    o.as_of = 32;
    o.evacuated_zones.clear();
    now += 800ms;
    v.apply(o, {32, {draining, make_upstream(3, "wlg")}}, now, now, changes);
    CHECK(accepts_new_flows(v, make_upstream(3), now));
}

// Guards against refusing callers after a store outage during which entries of live upstreams
// expired, and against using expired entries for too long.
TEST_CASE("entries that expired during a store outage are used for a limited time", "[edge][view]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point now = edge_start;
    v.apply(make_operators(30, 1), {30, {make_upstream(1), make_upstream(2)}}, now, now, changes);
    now += 800ms;
    v.apply(make_operators(31, 1), {31, {make_upstream(1)}}, now, now, changes);
    now += 5s; // the store is unreachable
    v.apply(make_operators(32, 1), {32, {}}, now, now, changes);
    CHECK(accepts_new_flows(v, make_upstream(1), now));
    CHECK_FALSE(accepts_new_flows(v, make_upstream(2), now)); // missing since before the outage
    now += 1s;
    v.apply(make_operators(33, 1), {33, {}}, now, now, changes);
    CHECK(accepts_new_flows(v, make_upstream(1), now));
    now += 1500ms;
    v.apply(make_operators(34, 1), {34, {}}, now, now, changes);
    CHECK_FALSE(accepts_new_flows(v, make_upstream(1), now));
}

// Guards against new flows to an upstream that was gone before a gap between two readings: readings
// take some time, and the last one before the gap, which did not list it, began before it ended.
TEST_CASE("an upstream that was missing before an outage is not used after it", "[edge][view]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point now = edge_start;
    v.apply(make_operators(30, 1), {30, {make_upstream(1), make_upstream(2)}}, now, now, changes);
    now += 800ms;
    v.apply(make_operators(31, 1), {31, {make_upstream(1)}}, now, now + 20ms, changes);
    now += 3s; // no reading succeeds
    v.apply(make_operators(32, 1), {32, {}}, now, now + 20ms, changes);
    CHECK(accepts_new_flows(v, make_upstream(1), now + 20ms));
    CHECK_FALSE(accepts_new_flows(v, make_upstream(2), now + 20ms));
}

// Guards against packets sent to the new owner of an address, and against resetting flows whose
// upstream entry has merely expired.
TEST_CASE("an upstream has terminated when another one uses its address", "[edge][view]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point now = edge_start;
    v.apply(make_operators(30, 1), {30, {make_upstream(1)}}, now, now, changes);
    now += 500ms;
    upstream_entry other = make_upstream(9, "akl", "bulk");
    v.apply(make_operators(31, 1), {31, {other}}, now, now, changes);
    CHECK_FALSE(v.is_terminated(*v.find(make_flow_token(make_upstream(1).name)), now));
    other.address = make_upstream(1).address;
    other.revision = 32;
    now += 500ms;
    v.apply(make_operators(32, 1), {32, {other}}, now, now, changes);
    CHECK(v.is_terminated(*v.find(make_flow_token(make_upstream(1).name)), now));
    CHECK(v.find(make_flow_token(make_upstream(1).name))->entry.datagram_address ==
          make_upstream(1).datagram_address);
}

// Guards against forgetting a removed route, and against treating a route that is not known yet as
// removed.
TEST_CASE("removed routes are distinguished from unknown ones", "[edge][view]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point const now = edge_start;
    v.apply(make_operators(30, 1, {desk_route, bulk_route}), {30, {}}, now, now, changes);
    v.apply(make_operators(31, 2, {desk_route}), {31, {}}, now, now, changes);
    CHECK(v.route_removed(bulk_route));
    CHECK_FALSE(v.route_removed({0xC6120009, 443}));
    v.apply(make_operators(32, 3, {desk_route, bulk_route}), {32, {}}, now, now, changes);
    CHECK_FALSE(v.route_removed(bulk_route));
}

// Guards against two upstreams that share a token: on every host, regardless of the order of
// updates, the same one must own the flows and the other must get none.
TEST_CASE("the upstream that started first owns a shared token on every host", "[edge][view]")
{
    // Searches for two names with the same 32-bit token.
    std::map<std::uint32_t, std::string> seen;
    std::string first;
    std::string second;
    for (int i = 0; first.empty(); ++i)
    {
        std::string const name = "i-" + std::to_string(i);
        auto const [it, added] = seen.emplace(make_flow_token(name).value, name);
        if (!added)
        {
            first = it->second;
            second = name;
        }
    }
    upstream_entry a = make_upstream(1);
    upstream_entry b = make_upstream(2);
    a.name = first;
    b.name = second;
    a.started_unix_ms = 2000;
    b.started_unix_ms = 1000;
    std::vector<view_change> changes;
    std::vector<std::vector<upstream_entry>> const orders{{a, b}, {b, a}};
    for (auto const& order : orders)
    {
        deployment_view v;
        v.apply(make_operators(30, 1), {30, order}, edge_start, edge_start, changes);
        known_upstream const* const owner = v.find(make_flow_token(first));
        REQUIRE(owner != nullptr);
        CHECK(owner->entry.name == second);
        CHECK(v.accepts_new_flows(*owner, edge_start));
        CHECK(v.upstreams_of("desk").at("akl").size() == 2);
    }
}

// Guards against forwarding a view in which cold upstreams look warm or entries differ, so that the
// digests of equal views never match.
TEST_CASE("a forwarded view has the same digest", "[edge][view]")
{
    deployment_view a;
    deployment_view b;
    std::vector<view_change> changes;
    time_point const now = edge_start;
    upstream_entry cold = make_upstream(3);
    cold.cold_left_ms = 1500;
    a.apply(make_operators(30, 4), {30, {make_upstream(1), cold}}, now, now, changes);
    b.apply(a.changes_since(0, 0, now + 500ms), now + 500ms, changes);
    CHECK(a.version().digest == b.version().digest);
    known_upstream const* const u = b.find(make_flow_token(cold.name));
    CHECK(u->cold_until > now + 500ms);
}

// Guards against a host that takes a view with a cold upstream for the one it has: confirm() then
// advances as_of past the entry, no difference contains it again, and the upstream counts as warm.
TEST_CASE("a cold start changes the digest of the view", "[edge][view][cold]")
{
    deployment_view reader;
    deployment_view other;
    std::vector<view_change> changes;
    time_point now = edge_start;
    upstream_entry e = make_upstream(1);
    reader.apply(make_operators(30, 1), {30, {e}}, now, now, changes);
    other.apply(reader.changes_since(0, 0, now), now, changes);
    std::uint64_t const warm = reader.version().digest;
    REQUIRE(other.version().digest == warm);

    e.cold_left_ms = 2000;
    e.revision = 33;
    now += 800ms;
    reader.apply(make_operators(33, 1), {33, {e}}, now, now, changes);
    std::uint64_t const cold = reader.version().digest;
    CHECK(cold != warm);
    other.apply(reader.changes_since(30, 1, now + 300ms), now + 300ms, changes);
    CHECK(other.version().digest == cold);

    // The digest does not change with time, and a host that reads or fetches the view after the end
    // of the cold start has the same one.
    deployment_view late;
    deployment_view late_reader;
    late.apply(reader.changes_since(0, 0, now + 5s), now + 5s, changes);
    late_reader.apply(make_operators(34, 1), {34, {e}}, now + 5s, now + 5s, changes);
    CHECK(late.version().digest == cold);
    CHECK(late_reader.version().digest == cold);
    CHECK(late.find(make_flow_token(e.name))->cold_until < now + 5100ms);

    // Another cold start without a restart is a change as well, and so is its end.
    e.revision = 50;
    reader.apply(make_operators(50, 1), {50, {e}}, now + 6s, now + 6s, changes);
    CHECK(reader.version().digest != cold);
    e.revision = 55;
    e.cold_left_ms = 0;
    reader.apply(make_operators(55, 1), {55, {e}}, now + 9s, now + 9s, changes);
    CHECK(reader.version().digest == warm);
}

// Guards against subtracting the age of a view from the cold time twice: during an outage of the
// store, restarted hosts took cold upstreams for warm by the age of the view too early.
TEST_CASE("a view of some age does not shorten a cold start", "[edge][view][cold]")
{
    deployment_view reader;
    std::vector<view_change> changes;
    upstream_entry e = make_upstream(1);
    e.cold_left_ms = 10'000;
    reader.apply(make_operators(30, 1), {30, {e}}, edge_start, edge_start, changes);
    time_point const end = edge_start + 10s;
    // The store is down: the view reaches a second host after 4 s, and a third one after 3 s more.
    deployment_view second;
    deployment_view third;
    second.apply(reader.changes_since(0, 0, edge_start + 4s), edge_start + 4s, changes);
    third.apply(second.changes_since(0, 0, edge_start + 7s), edge_start + 7s, changes);
    for (deployment_view const* const v : {&reader, &second, &third})
        CHECK(v->find(make_flow_token(e.name))->cold_until == end);
    // The same after other hosts have confirmed the view.
    third.confirm(31, edge_start + 8s, edge_start + 8s);
    deployment_view fourth;
    fourth.apply(third.changes_since(0, 0, edge_start + 9s), edge_start + 9s, changes);
    CHECK(fourth.find(make_flow_token(e.name))->cold_until == end);
}

// Guards against sending complete views at each change, and against differences that lose an
// upstream, a removal or a configuration.
TEST_CASE("applying a view difference gives the same view", "[edge][view]")
{
    deployment_view a;
    deployment_view b;
    std::vector<view_change> changes;
    time_point now = edge_start;
    std::vector<upstream_entry> entries;
    entries.reserve(41);
    for (int i = 0; i < 40; ++i)
        entries.push_back(make_upstream(i));
    a.apply(make_operators(30, 4), {30, entries}, now, now, changes);
    b.apply(a.changes_since(0, 0, now), now, changes);

    entries.erase(entries.begin() + 3, entries.begin() + 5);
    entries[7].draining = true;
    entries[7].revision = 33;
    entries.push_back(make_upstream(50));
    entries.back().revision = 34;
    operator_listing o = make_operators(35, 9);
    o.evacuated_zones = {"wlg"};
    now += 800ms;
    a.apply(o, {35, entries}, now, now, changes);
    peer_view const difference = a.changes_since(30, 4, now);
    CHECK(difference.upstreams.entries.size() == 2);
    CHECK(difference.removed.size() == 2);
    REQUIRE(b.apply(difference, now, changes));
    CHECK(b.version().digest == a.version().digest);
    CHECK(b.version().digest == difference.digest);
    CHECK(b.version().config_version == 9);
    CHECK(b.evacuated("wlg"));
    CHECK_FALSE(b.find(make_flow_token(make_upstream(3).name))->listed);
    CHECK_FALSE(a.changes_since(35, 9, now).operators.config);
}

// Guards against sending the complete configuration to every host at each of many changes: this
// saturated the 10 Mbit/s link of a small host for a second, and its upstreams appeared silent.
TEST_CASE("applying a configuration difference gives the same routes", "[edge][view]")
{
    deployment_view a;
    deployment_view b;
    deployment_view outdated;
    std::vector<view_change> changes;
    time_point const now = edge_start;
    std::vector<endpoint> routes;
    routes.reserve(320);
    for (unsigned i = 0; i < 300; ++i)
        routes.push_back({0xC6120000U + i, 443});
    a.apply(make_operators(30, 4, routes), {30, {}}, now, now, changes);
    b.apply(a.changes_since(0, 0, now), now, changes);
    outdated.apply(make_operators(29, 2, {desk_route}), {29, {}}, now, now, changes);
    std::uint64_t version = 4;
    for (int step = 0; step < 20; ++step)
    {
        routes.erase(routes.begin());
        routes.push_back({0xC6130000U + static_cast<unsigned>(step), 443});
        version += 3;
        a.apply(make_operators(31U + static_cast<unsigned>(step), version, routes), {40, {}}, now,
                now, changes);
    }
    peer_view const v = a.changes_since(30, 4, now);
    REQUIRE(v.operators.config);
    CHECK(v.config_base == 4);
    CHECK(v.operators.config->routes.size() == 20);
    CHECK(v.dropped_routes.size() == 20);
    REQUIRE(b.apply(v, now, changes));
    CHECK(b.version().digest == a.version().digest);
    for (endpoint const r : routes)
        CHECK(b.route(r) != nullptr);
    CHECK(b.route_removed({0xC6120000U, 443}));
    // A host at a version unknown to the sender gets the complete configuration.
    CHECK_FALSE(outdated.apply(v, now, changes));
    CHECK(a.changes_since(29, 2, now).config_base == 0);
    REQUIRE(outdated.apply(a.changes_since(29, 2, now), now, changes));
    CHECK(outdated.route(routes.back()) != nullptr);
}

} // namespace chivelever
