#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

std::string const desk = "desk";

// An edge router whose services all have admission by capacity, with a decision of the test.
struct capacity_host : edge_under_test
{
    admission_result decision{true, admission_reason::within_share, 0, 100, {}};
    fleet_load others;
    int asked{};
    std::vector<zone_room> rooms; // of the latest query
    std::vector<zone_demand> demands;

    explicit capacity_host(std::vector<upstream_entry> const& upstreams)
        : edge_under_test(upstreams)
    {
        capacity.policy.applies_to = [](std::string const&) { return true; };
        capacity.policy.admit = [this](admission_query const& q, time_point)
        {
            ++asked;
            rooms.assign(q.rooms.begin(), q.rooms.end());
            demands.assign(q.demands.begin(), q.demands.end());
            return decision;
        };
        fleet.load_on_service = [this](std::string const&) { return others; };
    }
    // Zone of the upstream that the next flow is placed on; empty if it is refused.
    std::string open(int caller)
    {
        known_upstream const* const u = view.find(handle(make_syn(caller)).token);
        return u == nullptr ? "" : u->entry.zone;
    }
};

std::vector<upstream_entry> make_zones(int per_zone)
{
    std::vector<upstream_entry> out;
    for (int i = 0; i < per_zone; ++i)
    {
        out.push_back(make_upstream(i, "akl"));
        out.push_back(make_upstream(100 + i, "wlg"));
        out.push_back(make_upstream(200 + i, "zqn"));
    }
    return out;
}

} // namespace

// Guards against capacity of upstreams that take no new flows, and against requests there that
// count although nobody will answer them.
TEST_CASE("a query counts usable upstreams and the requests pending there", "[edge][capacity]")
{
    std::vector<upstream_entry> upstreams{make_upstream(1), make_upstream(2),
                                          make_upstream(3, "wlg"), make_upstream(4, "wlg"),
                                          make_upstream(5, "zqn")};
    upstreams[3].draining = true;
    capacity_host h(upstreams);
    h.others.demands = {{"akl", 3, 7.5, {{1, 2.0}}, 400ms, true}, {"wlg", 2, 0, {}, {}, false}};
    h.fleet.zone_reachable = [](std::string const& z) { return z != "zqn"; };
    flow_token const first = h.handle(make_syn(1)).token;
    CHECK(h.rooms == std::vector<zone_room>{{"akl", 4, 0}, {"wlg", 2, 0}});
    CHECK(h.demands == h.others.demands);
    flow_token const second = h.handle(make_syn(2)).token;
    CHECK(h.rooms[0].own_pending == 1);
    CHECK(first != second);
    CHECK(h.open(3) == "wlg");
    CHECK(h.rooms[0].own_pending == 2);
    h.health.record_failure(first, h.now);
    h.advance(100ms);
    h.handle(make_syn(4));
    CHECK(h.rooms == std::vector<zone_room>{{"akl", 2, 1}, {"wlg", 2, 1}});
    // Without reports, the zone of this host is known by its size.
    h.others = {};
    h.fleet.hosts_in_zone = 9;
    h.advance(100ms);
    h.handle(make_syn(5));
    CHECK(h.demands == std::vector<zone_demand>{{"akl", 9, 0, {}, {}, false}});
}

// Guards against refusals after a change of the fabric's hash: the answers of the requests in
// flight are acknowledged through other hosts, and this one would stay at its limit until the flows
// expire.
TEST_CASE("requests whose callers are silent do not count", "[edge][capacity]")
{
    capacity_host h({make_upstream(1)});
    h.handle(make_syn(1));
    h.handle(make_syn(2));
    CHECK(h.rooms[0].own_pending == 1);
    h.advance(900ms);
    h.router.expire(h.now);
    h.handle(make_syn(3));
    CHECK(h.rooms[0].own_pending == 2);
    h.advance(200ms);
    h.router.expire(h.now);
    h.handle(make_syn(4));
    CHECK(h.rooms[0].own_pending == 1);
}

// Guards against a cold upstream whose slots count at hosts that must not use it.
TEST_CASE("a cold upstream counts only at hosts that may use it", "[edge][capacity]")
{
    std::vector<upstream_entry> upstreams{make_upstream(1), make_upstream(2, "wlg")};
    upstreams[1].cold_left_ms = 3000;
    capacity_host h(upstreams);
    h.handle(make_syn(1));
    CHECK(h.rooms == std::vector<zone_room>{{"akl", 2, 0}, {"wlg", 0, 0}});
}

// Guards against state of refused flows, against a second decision on a retransmitted SYN, which
// would refuse a flow that an upstream may have opened, and against refusals by a host that does
// not know its share yet.
TEST_CASE("a flow is decided on once, by a host that has settled", "[edge][capacity]")
{
    capacity_host h(make_zones(2));
    packet_decision const d = h.handle(make_syn(1));
    CHECK(d.admission == h.decision);
    h.decision = {false, admission_reason::no_room, 9, 8, 300ms};
    h.advance(200ms);
    CHECK(h.handle(make_syn(1, 1)).action == packet_action::forward);
    CHECK(h.asked == 1);
    packet_decision const refused = h.handle(make_syn(2));
    CHECK(refused.action == packet_action::reset);
    CHECK(refused.reason == packet_reason::overloaded);
    CHECK(refused.admission == h.decision);
    CHECK(h.flows.size() == 1);
    h.fleet.settled = false;
    CHECK(h.handle(make_syn(3)).action == packet_action::forward);
    CHECK(h.asked == 2);
    // Without a usable upstream there is nothing to decide: the flow goes to a suspected one.
    h.fleet.settled = true;
    for (upstream_entry const& e : make_zones(2))
        h.health.record_failure(make_flow_token(e.name), h.now);
    h.advance(100ms);
    CHECK(h.handle(make_syn(4)).action == packet_action::forward);
    CHECK(h.asked == 2);
}

// Guards against a change for services to which the policy does not apply.
TEST_CASE("other services are neither asked about nor placed by zone loads", "[edge][capacity]")
{
    capacity_host h(make_zones(2));
    h.capacity.policy.applies_to = [](std::string const&) { return false; };
    h.decision.admitted = false;
    edge_under_test plain(make_zones(2));
    for (int caller = 0; caller < 40; ++caller)
        CHECK(h.handle(make_syn(caller)) == plain.handle(make_syn(caller)));
    CHECK(h.asked == 0);
    CHECK(h.capacity.own_loads({}, h.now).empty());
}

// Guards against figures in heartbeats that other hosts would take for somebody else's load.
TEST_CASE("own loads hold the requests of this host by zone of the upstreams", "[edge][capacity]")
{
    capacity_host h(make_zones(2));
    h.capacity.policy.demand = [](std::string const&, time_point) {
        return std::map<std::uint32_t, double>{{0, 0.5}, {1, 2}, {2, 3}, {3, 4}, {4, 5}};
    };
    h.handle(make_syn(1));
    h.handle(make_syn(2));
    auto const loads = h.capacity.own_loads({"desk", "unknown"}, h.now);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0] ==
          service_load{"desk", 1, 0, {{"akl", 2000}}, {{0, 500}, {1, 2000}, {2, 3000}, {3, 4000}}});
}

// Guards against refusals while another zone has free slots, against spillover that ignores the
// load of that zone, and against spillover into a zone behind a partition.
TEST_CASE("flows spill to the reachable zone with the least load", "[edge][capacity][placement]")
{
    capacity_host h(make_zones(4)); // 8 slots in each zone
    h.others.demands = {{"akl", 4, 0, {}, {}, true}};
    h.others.remote_pending = {{"wlg", 6.0}, {"zqn", 1.0}};
    CHECK(h.open(1) == "akl"); // 0 per slot
    CHECK(h.open(2) == "akl"); // expected 1 x 4 / 8
    // Expected 2 x 4 / 8 here; 0.9 + 1 / 8 in zqn.
    CHECK(h.open(3) == "akl");
    CHECK(h.open(4) == "zqn"); // 1.5 here
    h.fleet.zone_reachable = [](std::string const& z) { return z == "akl"; };
    h.advance(100ms);
    for (int caller = 5; caller < 20; ++caller)
        CHECK(h.open(caller) == "akl");
}

// Guards against hosts that overflow the queues of the same upstreams while others have free slots.
TEST_CASE("close to its limit, a host uses upstreams in an order of its own", "[edge][capacity]")
{
    std::vector<std::vector<std::uint32_t>> orders;
    for (std::uint64_t const seed : {3, 4})
    {
        std::vector<upstream_entry> upstreams;
        upstreams.reserve(12);
        for (int i = 0; i < 12; ++i)
            upstreams.push_back(make_upstream(i));
        capacity_host h(upstreams);
        h.place = placement({"akl", 1.5, 5}, seed);
        h.decision.limit = 1;
        // Reports say that all but two upstreams are busy.
        h.fleet.peer_load = [](flow_token t) {
            return upstream_load{0, 0, {}, t.value % 6 == 0 ? 0.0 : 9.0, {}};
        };
        h.handle(make_syn(0)); // nothing is pending yet: by reports
        std::vector<std::uint32_t>& order = orders.emplace_back();
        for (int caller = 1; caller < 12; ++caller)
            order.push_back(h.handle(make_syn(caller)).token.value);
        // Every other upstream once.
        CHECK(std::set<std::uint32_t>(order.begin(), order.end()).size() == 11);
    }
    CHECK(orders[0] != orders[1]);
}

namespace
{

// Hosts of zone akl under load, beside a zone without callers. The upstreams of a zone are one
// queue, and the hosts hear nothing from each other.
class two_zones
{
public:
    static constexpr int hosts_per_zone = 6;
    static constexpr int upstreams_per_zone = 10; // of 2 slots
    static constexpr duration service_time = 30ms;

    two_zones()
    {
        std::vector<upstream_entry> upstreams;
        for (int i = 0; i < upstreams_per_zone; ++i)
        {
            upstreams.push_back(make_upstream(i, "akl"));
            upstreams.push_back(make_upstream(100 + i, "wlg"));
        }
        for (int i = 0; i < hosts_per_zone; ++i)
        {
            hosts_.push_back(std::make_unique<capacity_host>(upstreams));
            hosts_.back()->fleet.settled = true;
        }
        free_at_["akl"].resize(2 * upstreams_per_zone);
        free_at_["wlg"].resize(2 * upstreams_per_zone);
    }

    // Share of the flows of zone akl that went to wlg in each window. `load` is in slots of a zone;
    // wlg has no callers of its own.
    std::vector<double> run(double load, duration time, duration window)
    {
        std::vector<double> shares;
        double const per_ms = load * 2 * upstreams_per_zone / (service_time / 1ms);
        time_point const end = now_ + time;
        int opened = 0;
        int spilled = 0;
        for (time_point next = now_ + window; now_ < end; now_ += 1ms)
        {
            finish();
            for (int n = std::poisson_distribution<int>(per_ms)(random_); n > 0; --n, ++opened)
                spilled += open() == "wlg" ? 1 : 0;
            if (now_ < next)
                continue;
            next += window;
            shares.push_back(opened == 0 ? 0.0 : static_cast<double>(spilled) / opened);
            opened = spilled = 0;
        }
        return shares;
    }

private:
    struct request
    {
        capacity_host* host;
        flow_endpoints flow;
    };

    std::string open()
    {
        capacity_host& h = *hosts_[random_() % hosts_.size()];
        h.now = now_;
        h.others.demands = {{"akl", hosts_per_zone, 0, {}, {}, false}};
        packet_decision const d = h.handle(make_syn(++callers_));
        std::string zone = h.view.find(d.token)->entry.zone;
        auto& free_at = free_at_[zone];
        auto const slot = std::ranges::min_element(free_at);
        *slot = std::max(*slot, now_) + service_time;
        under_way_.emplace(*slot, request{&h, d.flow});
        return zone;
    }

    void finish()
    {
        for (; !under_way_.empty() && under_way_.begin()->first <= now_;
             under_way_.erase(under_way_.begin()))
            under_way_.begin()->second.host->flows.erase(under_way_.begin()->second.flow, now_);
    }

    std::minstd_rand random_{11};
    std::vector<std::unique_ptr<capacity_host>> hosts_;
    std::map<std::string, std::vector<time_point>> free_at_;
    std::multimap<time_point, request> under_way_;
    time_point now_{edge_start};
    int callers_{};
};

} // namespace

// Guards against spillover that swings between none and all of the flows, as with reports alone,
// and against flows that stay in the other zone when the own one has free slots again.
TEST_CASE("spillover is steady under overload and ends with it", "[edge][capacity][placement]")
{
    two_zones zones;
    zones.run(1.5, 1s, 250ms);
    for (double const share : zones.run(1.5, 3s, 250ms))
    {
        CHECK(share > 0.1); // a third must go elsewhere
        CHECK(share < 0.7);
    }
    zones.run(0.3, 1s, 250ms);
    for (double const share : zones.run(0.3, 2s, 250ms))
        CHECK(share < 0.1);
}

} // namespace chivelever
