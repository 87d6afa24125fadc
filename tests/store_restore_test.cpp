// The store is restored from an older backup: its era increases by one, and revisions go back.
#include "platform/platform.hpp"
#include "protocol/protocol.hpp"
#include "tests/edge_fixture.hpp"

#include <catch2/catch.hpp>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

upstream_entry entry_at(int number, store_position position, bool draining = false)
{
    upstream_entry e = make_upstream(number);
    e.revision = position;
    e.draining = draining;
    return e;
}

// A view that has read era 1 up to revision 90, and then the listings of the restored store.
struct restored_view
{
    deployment_view view;
    std::vector<view_change> changes;
    time_point now{edge_start};

    bool read(operator_listing const& o, std::vector<upstream_entry> const& entries)
    {
        return view.apply(o, {o.as_of, entries}, now, now, changes);
    }
    bool accepts(int number) const
    {
        known_upstream const* const u = view.find(make_flow_token(make_upstream(number).name));
        return u != nullptr && view.accepts_new_flows(*u, now);
    }
};

peer_heartbeat beat_of(std::uint32_t ip, view_version const& v, time_point now)
{
    peer_heartbeat b;
    b.sender = {ip, "akl"};
    b.as_of = v.as_of;
    b.digest = v.digest;
    b.config_version = v.config_version;
    b.view_age_ms = static_cast<std::uint32_t>((now - v.confirmed_at) / 1ms);
    return b;
}

} // namespace

// Guards against a drain, an evacuation or a configuration that is ignored after a restore, until
// the revisions have caught up with those before it.
TEST_CASE("changes in a new era take effect at lower revisions", "[edge][era]")
{
    restored_view t;
    REQUIRE(t.read(make_operators({1, 90}, 5), {entry_at(1, {1, 80}), entry_at(2, {1, 85})}));
    t.now += 800ms;
    operator_listing o = make_operators({2, 60}, 6);
    o.evacuated_zones = {"wlg"};
    REQUIRE(t.read(o, {entry_at(1, {2, 55}, true), entry_at(2, {2, 50})}));
    CHECK_FALSE(t.accepts(1));
    CHECK(t.accepts(2));
    CHECK(t.view.evacuated("wlg"));
    CHECK(t.view.version().config_version == 6);
    CHECK(t.view.version().as_of == store_position{2, 60});
}

// Guards against a host that takes the view of the new era for an older one, and against one that
// fetches the view of the old era because of its higher revision.
TEST_CASE("a view of a later era is newer at any revision", "[edge][era]")
{
    peer_exchange p({1, "akl"}, 5);
    time_point const now = edge_start + 100ms;
    view_version const before{{1, 90}, 7, 3, edge_start};
    view_version const after{{2, 60}, 8, 3, edge_start};
    CHECK(p.on_heartbeat(beat_of(2, after, now), before, now).newer);
    CHECK(p.newer_peer(before, now) == std::optional<std::uint32_t>(2));
    peer_exchange q({1, "akl"}, 5);
    CHECK_FALSE(q.on_heartbeat(beat_of(2, before, now), after, now).newer);
    CHECK_FALSE(q.newer_peer(after, now).has_value());
}

// Guards against reset flows and refused callers while entries are missing until they are written
// again, and against entries that stay usable after the recovery time.
TEST_CASE("entries that a restore has lost stay usable for the recovery time", "[edge][era]")
{
    restored_view t;
    t.read(make_operators({1, 90}, 5), {entry_at(1, {1, 80}), entry_at(2, {1, 85})});
    t.now += 800ms;
    REQUIRE(t.read(make_operators({2, 60}, 5), {entry_at(1, {2, 50})}));
    known_upstream const* const lost = t.view.find(make_flow_token(make_upstream(2).name));
    CHECK(t.accepts(2));
    for (std::uint64_t revision = 61; revision < 63; ++revision)
    {
        t.now += 1s;
        t.read(make_operators({2, revision}, 5), {entry_at(1, {2, 50})});
        CHECK(t.accepts(2));
        CHECK_FALSE(t.view.is_terminated(*lost, t.now));
    }
    t.now += 500ms;
    t.read(make_operators({2, 71}, 5), {entry_at(1, {2, 50})});
    CHECK_FALSE(t.accepts(2));
    CHECK(t.view.find(lost->token) != nullptr);
}

// Guards against new flows to an evacuated zone or a draining upstream that the backup shows as in
// service, and against holding them back for longer than the recovery time.
TEST_CASE("evacuations and drains before a restore stay in force", "[edge][era]")
{
    restored_view t;
    operator_listing o = make_operators({1, 90}, 5);
    o.evacuated_zones = {"wlg"};
    upstream_entry remote = make_upstream(3, "wlg");
    remote.revision = {1, 70};
    t.read(o, {entry_at(1, {1, 80}, true), entry_at(2, {1, 81}, true), remote});
    upstream_entry restarted = entry_at(2, {2, 40});
    restarted.started_unix_ms += 5000;
    remote.revision = {2, 30};
    for (int i = 0; i < 3; ++i)
    {
        t.now += 800ms;
        t.read(make_operators({2, 60}, 5), {entry_at(1, {2, 50}), restarted, remote});
        CHECK_FALSE(t.accepts(1));
        CHECK(t.accepts(2)); // a new start ends the drain
        CHECK_FALSE(t.accepts(3));
    }
    t.now += 810ms;
    CHECK(t.accepts(1));
    CHECK(t.accepts(3));
    t.read(make_operators({2, 61}, 5), {entry_at(1, {2, 50}), restarted, remote});
    CHECK_FALSE(t.view.evacuated("wlg"));
}

// Guards against an evacuation that cannot be ended within the recovery time.
TEST_CASE("an evacuation that is written again can be ended at once", "[edge][era]")
{
    restored_view t;
    operator_listing o = make_operators({1, 90}, 5);
    o.evacuated_zones = {"akl"};
    t.read(o, {entry_at(1, {1, 80})});
    o.as_of = {2, 60};
    t.read(o, {entry_at(1, {2, 50})});
    CHECK_FALSE(t.accepts(1));
    t.read(make_operators({2, 61}, 5), {entry_at(1, {2, 50})});
    CHECK(t.accepts(1));
}

// Guards against a restored store whose older configuration makes its other contents unusable, or
// is put in force.
TEST_CASE("an older configuration does not block a restored listing", "[edge][era]")
{
    restored_view t;
    t.read(make_operators({1, 90}, 5), {entry_at(1, {1, 80})});
    for (std::uint64_t revision = 60; revision < 62; ++revision)
    {
        t.now += 800ms;
        REQUIRE(t.read(make_operators({2, revision}, 3), {entry_at(1, {2, revision - 1}, true)}));
        CHECK(t.view.version().config_version == 5);
        CHECK_FALSE(t.accepts(1));
    }
    // Once the era has listed version 5, an older one is a listing that arrives late.
    REQUIRE(t.read(make_operators({2, 63}, 5), {entry_at(1, {2, 61}, true)}));
    CHECK_FALSE(t.read(make_operators({2, 64}, 3), {}));
}

// Guards against cold upstreams that are flooded, or warm ones that are cold again, because the
// backup holds an earlier entry of theirs.
TEST_CASE("an earlier entry in the backup does not change the cold start", "[edge][era]")
{
    restored_view t;
    upstream_entry cold = entry_at(2, {1, 85});
    cold.cold_left_ms = 2000;
    t.read(make_operators({1, 90}, 5), {entry_at(1, {1, 80}), cold});
    upstream_entry early = entry_at(1, {2, 20});
    early.cold_left_ms = 2000;
    upstream_entry previous_start = entry_at(2, {2, 50});
    previous_start.started_unix_ms -= 60'000;
    t.now += 500ms;
    t.read(make_operators({2, 60}, 5), {early, previous_start});
    known_upstream const* const second = t.view.find(make_flow_token(cold.name));
    CHECK(t.view.find(make_flow_token(early.name))->cold_until == time_point{});
    CHECK(second->cold_until == edge_start + 2s);
    CHECK(second->entry.started_unix_ms == cold.started_unix_ms);
    upstream_entry rewritten = entry_at(2, {2, 61});
    rewritten.draining = true;
    t.read(make_operators({2, 62}, 5), {early, rewritten});
    CHECK_FALSE(t.accepts(2));
}

// Guards against resetting flows of an upstream whose address the backup assigns to its previous
// owner.
TEST_CASE("the previous owner of an address does not end its upstream", "[edge][era]")
{
    restored_view t;
    upstream_entry previous = entry_at(1, {2, 50});
    upstream_entry const present = entry_at(2, {1, 80});
    previous.address = present.address;
    t.read(make_operators({1, 90}, 5), {present});
    t.now += 800ms;
    t.read(make_operators({2, 60}, 5), {previous});
    CHECK_FALSE(t.view.is_terminated(*t.view.find(make_flow_token(present.name)), t.now));
}

// Guards against a second restore within ten seconds that ends the recovery from the first one.
TEST_CASE("two restores in a row keep lost entries and evacuations", "[edge][era]")
{
    restored_view t;
    operator_listing o = make_operators({1, 90}, 5);
    o.evacuated_zones = {"wlg"};
    t.read(o, {entry_at(1, {1, 80}), entry_at(2, {1, 81}, true)});
    t.now += 800ms;
    t.read(make_operators({2, 60}, 4), {entry_at(2, {2, 40})});
    t.now += 1600ms;
    t.read(make_operators({3, 20}, 3), {entry_at(2, {3, 15})});
    t.now += 2s;
    CHECK(t.accepts(1));
    CHECK_FALSE(t.accepts(2));
    CHECK(t.view.evacuated("wlg"));
    CHECK(t.view.version().config_version == 5);
    t.now += 500ms;
    CHECK_FALSE(t.accepts(1));
    CHECK(t.accepts(2));
    // A listing of an era before is not used, whatever its revision.
    CHECK_FALSE(t.read(make_operators({2, 99}, 6), {entry_at(2, {2, 95})}));
}

// Guards against a host that was suspended across the change, or that knows only the old era: it
// must get the complete view, and its own one must not replace that of the new era.
TEST_CASE("a host in the old era takes over the view of the new one", "[edge][era]")
{
    restored_view current;
    restored_view suspended;
    std::vector<upstream_entry> const before{entry_at(1, {1, 80}), entry_at(2, {1, 85})};
    current.read(make_operators({1, 90}, 5), before);
    suspended.read(make_operators({1, 95}, 5), before);
    time_point const now = edge_start + 10s;
    current.now = suspended.now = now;
    current.read(make_operators({2, 60}, 3), {entry_at(1, {2, 50}, true)});
    view_version const old = suspended.view.version();
    peer_view const v = current.view.changes_since(old.as_of, old.config_version, now);
    CHECK(v.complete);
    CHECK_FALSE(v.operators.config); // it has the same one
    CHECK_FALSE(current.view.apply(suspended.view.changes_since({}, 0, now), now, current.changes));
    suspended.view.confirm({2, 60}, now, now); // equal contents do not carry over an era
    CHECK(suspended.view.version() == old);
    REQUIRE(suspended.view.apply(v, now, suspended.changes));
    CHECK(suspended.view.version().as_of == store_position{2, 60});
    CHECK_FALSE(suspended.accepts(1));
    CHECK(suspended.accepts(2));
    CHECK(suspended.view.version().digest == current.view.version().digest);
    // A difference of another era must not be applied.
    peer_view difference = current.view.changes_since({2, 60}, 5, now);
    CHECK_FALSE(difference.complete);
    difference.operators.as_of.era = 3;
    CHECK_FALSE(suspended.view.apply(difference, now, suspended.changes));
}

// Guards against a mixture of two eras in one listing, and against eras that are no numbers.
TEST_CASE("a listing across the change of the era is read again", "[edge][era]")
{
    findings problems;
    platform::listing_reader listing(platform::section::upstreams, true);
    listing.add_page(R"({"items":[{"key":"servers/i-1","value":"","revision":3}],"hasMore":true,)"
                     R"("asOf":9})",
                     problems, 1);
    CHECK(listing.state() == platform::listing_state::incomplete);
    listing.add_page(R"({"items":[],"hasMore":false,"asOf":4})", problems, 2);
    CHECK(listing.state() == platform::listing_state::era_changed);
    CHECK(problems.empty());
    CHECK(platform::decode_era("", problems) == std::optional<std::uint64_t>(0));
    CHECK(platform::decode_era("17", problems) == std::optional<std::uint64_t>(17));
    CHECK(problems.empty());
    for (char const* const text : {"x", "-1", "1.5", "2,3", " 4", "99999999999999999999"})
        CHECK_FALSE(platform::decode_era(text, problems));
    CHECK(problems.size() == 6);
}

// Guards against a response of a replica that was not restored, which would bring back the old era.
TEST_CASE("responses of an earlier era of the same store are rejected", "[edge][era]")
{
    store_era era;
    endpoint const store{0x0A000001, 443};
    CHECK(era.observe(store, 0));
    CHECK(era.observe(store, 2));
    CHECK_FALSE(era.observe(store, 1));
    CHECK_FALSE(era.observe(store, 0));
    CHECK(era.observe(store, 2));
    CHECK(era.observe({0x0A000002, 443}, 1)); // the settings name another store
    CHECK(era.latest() == 1);
}

// Guards against renewing a lease id that the restored store has granted to another holder, and
// against an address stored under such a lease.
TEST_CASE("a host requests a new lease in a new era", "[edge][era]")
{
    time_point now = edge_start;
    host_directory d(1);
    auto const register_host = [&](std::uint64_t lease, std::uint64_t era)
    {
        REQUIRE(d.next(now) == directory_step::request_lease);
        d.on_lease({lease}, now, era);
        REQUIRE(d.next(now) == directory_step::write_address);
        d.on_written(era);
        REQUIRE(d.next(now) == directory_step::wait);
    };
    d.update(0, true, now);
    d.on_directory(false, now);
    now += 3s;
    d.update(0, true, now);
    register_host(7, 1);
    now += 1min;
    d.on_directory(true, now);
    REQUIRE(d.next(now) == directory_step::renew_lease);
    d.on_renewed(now, 2); // the restored store renews lease 7 of another holder
    register_host(3, 2);
    d.on_store_era(3); // seen in a reading
    CHECK_FALSE(d.complete());
    REQUIRE(d.next(now) == directory_step::request_lease);
    d.on_lease({4}, now, 3);
    d.on_written(4); // stored under a lease id of the next era
    register_host(5, 4);
    CHECK(d.complete());
}

// Guards against hosts of the earlier version that cannot read the messages, or whose messages
// cannot be read: the era follows all earlier elements and defaults to 0.
TEST_CASE("the era is carried by all messages between hosts", "[edge][era]")
{
    peer_heartbeat b = beat_of(2, {{3, 77}, 1, 2, edge_start}, edge_start);
    std::string text = encode_heartbeat(b);
    CHECK(decode_heartbeat(text) == b);
    // The levels of slow starts, none here, follow the era.
    std::string const tail = ",3,[]]";
    REQUIRE(text.ends_with(tail));
    b.as_of.era = 0;
    CHECK(decode_heartbeat(text.substr(0, text.size() - tail.size()) + "]") == b);

    peer_view v;
    v.operators = make_operators({3, 60}, 4);
    v.upstreams = {{3, 60}, {entry_at(1, {3, 50})}};
    text = encode_view(v);
    CHECK(decode_view(text) == v);
    REQUIRE(text.ends_with(",3]"));
    auto const without = decode_view(text.substr(0, text.size() - 3) + "]");
    REQUIRE(without);
    CHECK(without->upstreams.entries[0].revision == store_position{0, 50});

    CHECK(decode_view_query(encode_view_query({{3, 77}, 12})) == view_base{{3, 77}, 12});
    CHECK(decode_view_query("as_of=77&config=12") == view_base{77, 12});
}

} // namespace chivelever
