// Membership: ordering of runs and counters, suspicion, watchers, and peers to pull from.
#include "coordination/coordination.hpp"

#include <catch2/catch.hpp>

using namespace chivelever;
using namespace std::chrono_literals;

namespace
{

constexpr time_point origin{1h};

host_list make_host_list(std::uint64_t version, std::size_t zones, std::size_t per_zone)
{
    host_list l{version, {}};
    for (std::size_t i = 0; i < zones * per_zone; ++i)
        l.hosts.push_back({listed_kind::entry, static_cast<std::uint32_t>(i + 1),
                           zone_id{static_cast<std::uint8_t>(1 + i / per_zone)}, host_state::live});
    return l;
}

heartbeat make_heartbeat(int host, std::uint32_t run, std::uint32_t counter, int zone = 1,
                         host_state state = host_state::live)
{
    return {{{{static_cast<std::uint16_t>(host)}, {run}}, counter, state},
            {static_cast<std::uint8_t>(zone)}};
}

membership make_membership(host_list const& list)
{
    membership m({{1}, {100}}, {1}, 7);
    m.update(list, origin);
    return m;
}

} // namespace

// Guards against marking a dead host alive because of its delayed datagrams.
TEST_CASE("delayed heartbeats of an earlier run never mark a host alive")
{
    membership m = make_membership(make_host_list(1, 1, 3));
    outgoing_heartbeats out;
    m.on_heartbeat(make_heartbeat(2, 50, 900), origin);
    m.on_heartbeat(make_heartbeat(2, 60, 1), origin + 1s);
    CHECK(m.find({2})->instance.run == incarnation{60});
    for (duration t = 1s; t < 4s; t += 500ms)
    {
        m.tick(origin + t, out);
        m.on_heartbeat(make_heartbeat(2, 50, 1000), origin + t);
        m.on_heartbeat(make_heartbeat(2, 60, 1), origin + t); // duplicate
    }
    CHECK_FALSE(m.find({2})->alive);
    m.on_heartbeat(make_heartbeat(2, 60, 2), origin + 5s);
    CHECK(m.find({2})->alive);

    // The same rule applies after the host was removed from the list and listed again.
    host_list without = make_host_list(2, 1, 3);
    std::erase_if(without.hosts, [](listed_host const& h) { return h.id == 2; });
    m.update(without, origin + 6s);
    CHECK(m.find({2}) == nullptr);
    m.update(make_host_list(3, 1, 3), origin + 7s);
    m.on_heartbeat(make_heartbeat(2, 60, 99), origin + 8s);
    CHECK_FALSE(m.find({2})->alive);
    m.on_heartbeat(make_heartbeat(2, 61, 1), origin + 8s);
    CHECK(m.find({2})->alive);
}

// Guards against a leaving host that becomes live again through outdated information from another
// host.
TEST_CASE("leaving is final within a run and propagates through a third host")
{
    membership m = make_membership(make_host_list(1, 1, 4));
    m.on_heartbeat(make_heartbeat(2, 50, 5), origin);
    heartbeat h = make_heartbeat(3, 50, 1);
    h.digest.push_back({{{2}, {50}}, 6, host_state::leaving});
    m.on_heartbeat(h, origin);
    CHECK(m.find({2})->state == host_state::leaving);
    m.on_heartbeat(make_heartbeat(2, 50, 7), origin);
    CHECK(m.find({2})->state == host_state::leaving);
    m.on_heartbeat(make_heartbeat(2, 51, 1), origin);
    CHECK(m.find({2})->state == host_state::live);
}

// Guards against a joining host that takes over every pool, and against pools moved to a host that
// is listed but has not started.
TEST_CASE("only hosts of the first list count as alive before their first heartbeat")
{
    membership m = make_membership(make_host_list(1, 1, 3));
    CHECK(m.settled_hosts({1}, origin) == std::vector<host_id>{{2}, {3}});
    m.update(make_host_list(2, 1, 4), origin + 1s);
    CHECK_FALSE(m.find({4})->alive);
    m.on_heartbeat(make_heartbeat(4, 50, 1), origin + 1s);
    CHECK(m.find({4})->alive);
    auto const settled = m.settled_hosts({1}, origin + 2s);
    CHECK(std::find(settled.begin(), settled.end(), host_id{4}) == settled.end());
    outgoing_heartbeats out;
    m.tick(origin, out);
    m.tick(origin + 900ms, out);
    m.tick(origin + 1700ms, out);
    m.tick(origin + 2500ms, out);
    CHECK_FALSE(m.find({3})->alive); // the initial grace period is over
}

// Guards against a host that suspects all others after its process was paused.
TEST_CASE("a pause of this process does not make other hosts suspected")
{
    membership m = make_membership(make_host_list(1, 1, 3));
    outgoing_heartbeats out;
    m.tick(origin, out);
    m.on_heartbeat(make_heartbeat(2, 50, 1), origin + 100ms);
    m.tick(origin + 60s, out);
    CHECK(m.find({2})->alive);
    for (duration t = 60s; t < 63s; t += 500ms)
        m.tick(origin + t, out);
    CHECK_FALSE(m.find({2})->alive);
}

TEST_CASE("pulls go to live peers with a newer revision, preferably of the local zone, at random")
{
    membership m = make_membership(make_host_list(1, 2, 4));
    m.set_local({10}, 1, host_state::live);
    CHECK_FALSE(m.best_config_peer());
    auto report_newer_config = [&](int host, int zone)
    {
        heartbeat h = make_heartbeat(host, 50, 1, zone);
        h.config = {11};
        m.on_heartbeat(h, origin);
    };
    report_newer_config(6, 2);
    CHECK(m.best_config_peer() == host_id{6});
    report_newer_config(2, 1);
    report_newer_config(3, 1);
    std::map<host_id, int> chosen;
    for (int i = 0; i < 200; ++i)
        ++chosen[*m.best_config_peer()];
    CHECK(chosen.size() == 2);
    CHECK(chosen[{2}] > 60);
    CHECK(chosen[{3}] > 60);
}

// Guards against a host that restarted with a lower run after a clock step and does not notice it.
TEST_CASE("a host detects a higher run of its own")
{
    membership m = make_membership(make_host_list(1, 1, 3));
    m.on_heartbeat(make_heartbeat(1, 90, 1), origin);
    CHECK_FALSE(m.newer_own_run());
    m.on_heartbeat(make_heartbeat(1, 200, 1), origin);
    CHECK(m.newer_own_run() == incarnation{200});
}

// Guards against a lease granter that assumes every host has a list that is still spreading.
TEST_CASE("a host that has just started is told whether the list is settled")
{
    membership m = make_membership(make_host_list(1, 1, 2));
    m.set_local({}, 1, host_state::live);
    for (duration t = 0s; t < 15s; t += 500ms)
    {
        m.on_heartbeat(make_heartbeat(2, t < 5s ? 50 : 60, static_cast<std::uint32_t>(t / 1ms) + 1),
                       origin + t);
        outgoing_heartbeats out;
        m.tick(origin + t, out);
        REQUIRE(out.size() == 1);
        CHECK(out[0].second.list_settled == (t > 13200ms && t < 15s));
    }
}

TEST_CASE("hosts agree on the two live watchers of a zone")
{
    host_list const list = make_host_list(1, 1, 5);
    membership a = make_membership(list);
    auto const first = a.watchers();
    REQUIRE(first.size() == 2);
    membership b({{2}, {100}}, {1}, 9);
    b.update(list, origin);
    b.on_heartbeat(make_heartbeat(1, 100, 1), origin);
    CHECK(b.watchers() == first);
    int const leaving_host = first[0].value == 1 ? first[1].value : first[0].value;
    a.on_heartbeat(make_heartbeat(leaving_host, 50, 1, 1, host_state::leaving), origin);
    CHECK(a.watchers() != first);
    CHECK(a.watchers().size() == 2);
}

// Guards against a running host that others never mark alive again after it was removed from the
// list and listed again.
TEST_CASE("a host that is listed again while it runs becomes alive again")
{
    host_list both;
    both.version = 1;
    both.hosts = {{listed_kind::entry, 1, {1}, host_state::live, {}, {}, {}},
                  {listed_kind::entry, 2, {1}, host_state::live, {}, {}, {}}};
    host_list one = both;
    one.version = 2;
    one.hosts.pop_back();
    membership m({{1}, {100}}, {1}, 1);
    auto const at = [](int s) { return time_point(std::chrono::seconds(s)); };
    auto const make_heartbeat = [](std::uint32_t counter)
    {
        heartbeat h;
        h.sender = {{{2}, {50}}, counter, host_state::live};
        h.zone = {1};
        return h;
    };
    m.update(both, at(0));
    m.on_heartbeat(make_heartbeat(10), at(1));
    m.update(one, at(2));
    both.version = 3;
    m.update(both, at(3));
    m.on_heartbeat(make_heartbeat(10), at(4)); // delayed: no progress beyond the known counter
    CHECK_FALSE(m.find({2})->alive);
    m.on_heartbeat(make_heartbeat(11), at(5)); // may be delayed and not seen before
    CHECK_FALSE(m.find({2})->alive);
    m.on_heartbeat(make_heartbeat(12), at(6));
    CHECK(m.find({2})->alive);
    CHECK(m.find({2})->instance.run == incarnation{50});
}
