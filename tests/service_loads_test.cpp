#include "tests/edge_fixture.hpp"

#include <catch2/catch.hpp>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

peer_heartbeat make_report(peer_address from, std::vector<service_load> loads)
{
    peer_heartbeat b;
    b.sender = std::move(from);
    b.service_loads = std::move(loads);
    return b;
}

service_load make_load(std::uint32_t pending_milli, std::uint32_t demand_milli,
                       std::uint32_t hosts = 1, std::uint32_t age_ms = 0)
{
    return {"desk", hosts, age_ms, {{"akl", pending_milli}}, {{1, demand_milli}}};
}

zone_demand const* find_zone(fleet_load const& load, std::string const& zone)
{
    auto const it = std::ranges::find(load.demands, zone, &zone_demand::zone);
    return it == load.demands.end() ? nullptr : &*it;
}

// A host of zone akl with two peers there and two in wlg.
struct host_with_peers
{
    peer_exchange peers{{1, "akl"}, 5};
    time_point now{edge_start};

    void hear(std::uint32_t ip, std::string const& zone, std::vector<service_load> loads = {})
    {
        peers.on_heartbeat(make_report({ip, zone}, std::move(loads)), {}, now);
    }
    void hear_all()
    {
        for (std::uint32_t const ip : {2, 3})
            hear(ip, "akl");
        for (std::uint32_t const ip : {4, 5})
            hear(ip, "wlg");
    }
    fleet_load load() const { return peers.load_on_service("desk", now); }
};

} // namespace

// Guards against a zone that seems half as loaded because some of its hosts were not heard lately,
// and against this host's own load that is counted twice.
TEST_CASE("loads of a zone are scaled to its living hosts", "[edge][service_loads]")
{
    host_with_peers h;
    h.hear_all();
    h.hear(2, "akl", {make_load(1500, 2000)});
    h.hear(4, "wlg", {make_load(4000, 6000, 1, 300)});
    h.now += 100ms;
    fleet_load const load = h.load();
    REQUIRE(load.demands.size() == 2);
    zone_demand const* const own = find_zone(load, "akl");
    zone_demand const* const other = find_zone(load, "wlg");
    REQUIRE(own != nullptr);
    REQUIRE(other != nullptr);
    CHECK(*own == zone_demand{"akl", 3, 3.0, {{1, 4.0}}, 100ms, true});
    CHECK(*other == zone_demand{"wlg", 2, 8.0, {{1, 12.0}}, 400ms, true});
    CHECK(load.remote_pending == std::map<std::string, double>{{"akl", 8.0}});
    CHECK(find_zone(h.peers.load_on_service("bulk", h.now), "wlg")->heard == false);
}

// Guards against sums that grow with every exchange, as if the reports of other zones were relayed,
// and against a sum that hides how many hosts it covers.
TEST_CASE("another zone gets the sum over this zone only", "[edge][service_loads]")
{
    host_with_peers h;
    h.hear_all();
    h.hear(2, "akl", {make_load(1500, 2000)});
    h.hear(4, "wlg", {make_load(4000, 6000, 2)});
    h.now += 250ms;
    auto const sums = h.peers.reported_service_loads().zone_sums({make_load(500, 1000)}, h.now);
    CHECK(sums == std::vector{make_load(2000, 3000, 2, 250)});
}

// Guards against decisions on figures of hosts that have stopped, and against a zone that loses
// its hosts, and with them its share, together with its reports.
TEST_CASE("reports expire and are replaced by later ones", "[edge][service_loads]")
{
    host_with_peers h;
    h.hear_all();
    h.hear(2, "akl", {make_load(1000, 1000)});
    h.hear(4, "wlg", {make_load(9000, 9000, 2)});
    h.hear(5, "wlg", {make_load(3000, 3000, 2)});
    CHECK(find_zone(h.load(), "wlg")->other_pending == 3.0);
    for (int i = 0; i < 10; ++i)
    {
        h.now += 200ms;
        h.hear_all(); // without reports, as announcements of a read
        CHECK(find_zone(h.load(), "wlg")->heard == (i < 9));
        CHECK(find_zone(h.load(), "akl")->heard == (i < 9));
    }
    CHECK(find_zone(h.load(), "wlg")->hosts == 2);
    CHECK(h.load().remote_pending.empty());
    CHECK(h.peers.reported_service_loads().loaded_services(h.now).empty());
}

// Guards against shares of a zone behind a partition, and against a host that takes the whole
// capacity for itself because it hears nobody.
TEST_CASE("only reachable zones count, and a host alone keeps the size of its zone",
          "[edge][service_loads]")
{
    host_with_peers h;
    h.hear_all();
    h.peers.sample_hosts(h.now);
    for (int i = 0; i < 5; ++i)
    {
        h.now += 200ms;
        h.hear(2, "akl");
        h.hear(3, "akl");
    }
    CHECK(find_zone(h.load(), "wlg") == nullptr);
    CHECK(find_zone(h.load(), "akl")->hosts == 3);
    h.peers.sample_hosts(h.now);
    h.now += 5s;
    h.peers.sample_hosts(h.now);
    REQUIRE(h.load().demands.size() == 1);
    CHECK(h.load().demands[0].hosts == 3);
}

// Guards against figures of a faulty host that overflow, and against reports without bounds.
TEST_CASE("extreme figures are bounded", "[edge][service_loads]")
{
    host_with_peers h;
    h.hear_all();
    constexpr std::uint32_t most = 0xFFFFFFFF;
    h.hear(2, "akl", {make_load(most, most, most, most)});
    h.hear(3, "akl", {make_load(most, most, 0, most)});
    std::vector<service_load> many(1000);
    for (std::size_t i = 0; i < many.size(); ++i)
        many[i] = {"service" + std::to_string(i), 1, 0, {}, {{1, 1}}};
    h.hear(4, "wlg", many);
    auto const sums = h.peers.reported_service_loads().zone_sums({make_load(1, 1)}, h.now);
    CHECK(sums == std::vector{make_load(most, most, most, most)});
    CHECK(h.peers.reported_service_loads().loaded_services(h.now).size() < 100);
}

} // namespace chivelever
