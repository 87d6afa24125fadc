// Pool leases: unit tests of the individual rules.
#include "tests/lease_fixture.hpp"

#include "coordination/coordination.hpp"

#include <catch2/catch.hpp>

using namespace chivelever;
using namespace std::chrono_literals;

namespace
{

lease_request make_request(host_instance holder, std::uint32_t round, pool_id pool,
                           granter_set const& set, bool release = false)
{
    return {holder, round, {{pool, set.hash, release}}};
}

} // namespace

// Guards against a granter that grants too early, for another granter set, or to two holders.
TEST_CASE("a granter refuses during its waiting time, another set and a second holder")
{
    lease_settings const s;
    host_list const list = make_list(1, {{1, 1}, {2, 1}, {3, 1}});
    pool_id const pool = pool_of(1);
    granter_set const set = entry_hosts(list).granters(pool);
    lease_granter g({{1}, {1000}}, origin);
    g.update(list, origin);
    host_instance const a{{2}, {5}};
    host_instance const b{{3}, {5}};
    auto granted =
        [&](host_instance h, std::uint32_t round, granter_set const& granters, time_point t)
    { return g.on_request(make_request(h, round, pool, granters), t).results.at(0).granted; };
    CHECK_FALSE(granted(a, 1, set, origin + s.grant_ttl()));
    g.on_list_settled(0); // an older list
    CHECK_FALSE(granted(a, 1, set, origin + s.grant_ttl()));
    g.on_list_settled(1);
    CHECK_FALSE(granted(a, 1, set, origin + s.grant_ttl() - 1us));
    time_point t = origin + s.grant_ttl();
    CHECK(granted(a, 2, set, t));
    CHECK_FALSE(granted(b, 2, set, t + s.grant_ttl() - 1us));
    CHECK_FALSE(granted({{2}, {6}}, 1, set, t + 1s)); // the same host after a restart
    granter_set other = set;
    ++other.hash;
    CHECK_FALSE(granted(a, 3, other, t + 1s));
    CHECK(granted(b, 2, set, t + s.grant_ttl()));
}

// Guards against a delayed release, or one from another run, that frees a pool in use.
TEST_CASE("only a newer round of the current holder releases a pool")
{
    host_list const list = make_list(1, {{1, 1}, {2, 1}, {3, 1}});
    pool_id const pool = pool_of(1);
    granter_set const set = entry_hosts(list).granters(pool);
    lease_granter g({{1}, {1000}}, origin);
    g.update(list, origin);
    time_point const t = origin + 20s;
    host_instance const a{{2}, {5}};
    host_instance const b{{3}, {5}};
    REQUIRE(g.on_request(make_request(a, 7, pool, set), t).results.at(0).granted);
    g.on_request(make_request(a, 6, pool, set, true), t);
    g.on_request(make_request({{2}, {4}}, 9, pool, set, true), t);
    CHECK_FALSE(g.on_request(make_request(b, 1, pool, set), t).results.at(0).granted);
    g.on_request(make_request(a, 8, pool, set, true), t);
    CHECK(g.on_request(make_request(b, 1, pool, set), t).results.at(0).granted);
}

// Guards against settings that let two leases overlap when two clocks run 5% off in opposite
// directions.
TEST_CASE("grants outlive leases at the largest clock drift")
{
    lease_settings const s;
    CHECK((s.ttl - s.holder_margin) / 0.95 < s.grant_ttl() / 1.05);
    CHECK((s.list_skew * 0.95 + s.ttl) / 0.95 < s.new_granter_wait() / 1.05);
    CHECK(membership_settings{}.list_settle_time == s.new_granter_wait());
}

// Guards against a lease that outlives its grants at the granters, and against counting replies to
// requests that were sent before a release.
TEST_CASE("a lease starts when the request is sent and needs a majority")
{
    lease_settings const s;
    host_list const list = make_list(1, {{1, 1}, {2, 1}, {3, 1}});
    pool_id const pool = pool_of(1);
    host_id const me = *preferred_holder(pool, std::vector<host_id>{{1}, {2}, {3}});
    lease_holder h({me, {5}});
    h.update(list);
    h.set_pools(std::vector{pool});
    h.set_candidates(std::vector<host_id>{{1}, {2}, {3}});
    outgoing_leases out;
    h.tick(origin, out);
    REQUIRE(out.size() == 3);
    auto reply = [&](int granter, std::uint32_t round)
    {
        return lease_reply{
            {{static_cast<std::uint16_t>(granter)}, {1}}, round, {{pool, true, {}}}, {5}};
    };
    std::uint32_t const round = out[0].second.round;
    h.on_reply(reply(1, round), origin + 1s);
    h.on_reply(reply(1, round), origin + 1s);
    CHECK_FALSE(h.valid_until(pool, origin + 1s));
    h.on_reply(reply(3, round), origin + 1s);
    CHECK(h.valid_until(pool, origin + 1s) == origin + s.ttl - s.holder_margin);
    CHECK_FALSE(h.valid_until(pool, origin + s.ttl - s.holder_margin));
    out.clear();
    h.release(pool, origin + 1s, out);
    REQUIRE(out.size() == 3);
    CHECK(out[0].second.items.at(0).release);
    h.on_reply(reply(2, round), origin + 1s);
    h.on_reply(reply(3, round), origin + 1s);
    CHECK_FALSE(h.valid_until(pool, origin + 1s));
}

TEST_CASE("zones with two hosts use a granter of another zone, and requests fit a datagram")
{
    host_list const list = make_list(1, {{1, 1}, {2, 2}, {3, 2}, {4, 3}, {5, 3}, {6, 3}, {7, 3}});
    entry_hosts const e(list);
    CHECK(e.granters(pool_of(1, 1)).size == 1);
    CHECK(e.granters(pool_of(1, 2)).size == 3);
    CHECK(e.granters(pool_of(1, 3)).size == 3);
    CHECK(e.granters(pool_of(1, 9)).size == 0);
    lease_holder h({{1}, {5}});
    h.update(list);
    std::vector<pool_id> pools;
    pools.reserve(1000);
    for (int i = 0; i < 1000; ++i)
        pools.push_back(pool_of(i, 1));
    h.set_pools(pools);
    h.set_candidates(std::vector<host_id>{{1}});
    outgoing_leases out;
    h.tick(origin, out);
    std::size_t items = 0;
    for (auto const& [to, q] : out)
    {
        CHECK(q.items.size() <= 60);
        items += q.items.size();
    }
    CHECK(items == 1000);
}
