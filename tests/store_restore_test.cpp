// The store is restored from an older backup: its era increases by one, and revisions go back.
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

} // namespace chivelever
