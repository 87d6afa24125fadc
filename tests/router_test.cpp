// Routing decisions: opens, streams, request flows, zones, and hosts with different tables.
#include "coordination/coordination.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace chivelever;
using std::chrono::seconds;

namespace
{

constexpr zone_id akl{1};
constexpr zone_id wlg{2};
constexpr service_id desk{1};
constexpr service_id bulk{2};
constexpr endpoint caller{0x7f000a01, 40000};
constexpr std::string_view secret = "secret";

endpoint host_endpoint(std::uint16_t host)
{
    return {0x7f000100U + host, 7000};
}
endpoint upstream_endpoint(std::uint32_t id)
{
    return {0x7f000200U + id, 9000};
}

// Two zones; desk has upstreams 1 and 2 in akl and 3 in wlg, bulk has upstream 4 in akl.
fleet_config two_zones(std::uint64_t rev = 10)
{
    fleet_config c = empty_config();
    c.rev = {rev};
    c.key_epoch = 1;
    c.zones = {{akl, "akl"}, {wlg, "wlg"}};
    c.services = {{desk, "desk"}, {bulk, "bulk"}};
    auto const add = [&](std::uint32_t id, service_id s, zone_id z)
    {
        c.upstreams.push_back(
            {{id}, "u" + std::to_string(id), s, z, upstream_endpoint(id), {1}, 3, 2000});
    };
    add(1, desk, akl);
    add(2, desk, akl);
    add(3, desk, wlg);
    add(4, bulk, akl);
    return c;
}

cluster_entry host(std::uint16_t id, zone_id zone, bool alive = true)
{
    return {{{id}, {id * 10U}}, zone, host_state::live, alive, host_endpoint(id)};
}

// Decisions as made by one host; hosts 1 and 2 are in akl, 3 is in wlg.
struct fixture
{
    fleet_config config = two_zones();
    std::vector<cluster_entry> entries{host(1, akl), host(2, akl), host(3, wlg)};
    zone_ramp ramp;
    std::uint64_t key = 1;
    time_point now{};

    cluster_view view(std::uint16_t self) const
    {
        auto const e =
            std::find_if(entries.begin(), entries.end(),
                         [&](cluster_entry const& x) { return x.instance.host.value == self; });
        return {e->instance, e->zone, entries};
    }
    // Returns the host of akl that is (or is not) the holder of the pool.
    std::uint16_t akl_host(pool_id pool, bool holder) const
    {
        std::uint16_t const holder_id = view(1).holder(pool)->instance.host.value;
        return holder ? holder_id : static_cast<std::uint16_t>(3 - holder_id);
    }
    route decide(std::uint16_t self, packet_view const& p, endpoint source = caller) const
    {
        routing_table const table(config, {}, secret);
        return router{}.decide(p, source, table, view(self), ramp, key, now);
    }
};

packet_view open_packet(flow_kind kind, service_id service = desk)
{
    packet_view p;
    p.kind = packet_kind::open;
    p.flow = kind;
    p.service = service;
    p.caller = caller;
    return p;
}

packet_view flow_packet(packet_kind kind, encoded_flow_id const& id, bool idempotent = false)
{
    packet_view p;
    p.kind = kind;
    p.caller = caller;
    p.flow_id = as_view(id);
    p.idempotent = idempotent;
    return p;
}

encoded_flow_id stream_id(fleet_config const& c, std::size_t upstream, std::uint16_t issuer = 1)
{
    routing_table const table(c, {}, secret);
    return flow_issuer(host(issuer, akl).instance)
        .stream(flow_kind::stream, c.upstreams[upstream], table);
}

encoded_flow_id request_id_of(fleet_config const& c, host_instance executor)
{
    routing_table const table(c, {}, secret);
    return flow_issuer(executor).request({desk, akl}, 30'000, table);
}

} // namespace

// Guards against two admitting hosts per pool, and against work for a host that cannot admit.
TEST_CASE("all hosts agree on the holder, and it is alive and not leaving")
{
    fixture f;
    for (std::uint32_t s = 1; s <= 50; ++s)
    {
        pool_id const pool{{s}, akl};
        auto const first = f.view(1).holder(pool)->instance;
        CHECK(f.view(3).holder(pool)->instance == first);
        fixture g;
        g.entries[first.host.value - 1U].alive = false;
        CHECK(g.view(3).holder(pool)->instance != first);
        g.entries[2U - first.host.value].state = host_state::leaving;
        CHECK(g.view(3).holder(pool) == nullptr);
    }
    CHECK(f.view(1).zone_hosts(akl).size() == 2);
    CHECK(f.view(1).find({9}) == nullptr);
}

// Guards against opens that leave the zone needlessly or bypass the holder.
TEST_CASE("an open goes to the holder in the local zone")
{
    fixture const f;
    auto const p = open_packet(flow_kind::request);
    std::uint16_t const holder = f.akl_host({desk, akl}, true);
    CHECK(f.decide(holder, p).action == route_action::local_open);
    auto const r = f.decide(f.akl_host({desk, akl}, false), p);
    CHECK(r.action == route_action::to_host);
    CHECK(r.to == host_endpoint(holder));
    CHECK(f.decide(3, p).pool == pool_id{desk, wlg});
    // wlg has no upstream of bulk
    CHECK(f.decide(3, open_packet(flow_kind::stream, bulk)).to ==
          host_endpoint(f.akl_host({bulk, akl}, true)));
}

// Guards against new work for draining upstreams and zones that are out.
TEST_CASE("an open skips zones that are out or take no new work")
{
    fixture f;
    std::uint16_t const holder = f.akl_host({desk, akl}, true);
    SECTION("out")
    {
        f.config.zones[0].state = zone_state::out;
    }
    SECTION("draining")
    {
        f.config.upstreams[0].state = f.config.upstreams[1].state = upstream_state::draining;
    }
    CHECK(f.decide(holder, open_packet(flow_kind::stream)).to == host_endpoint(3));
    f.config.zones[1].state = zone_state::out;
    auto const r = f.decide(holder, open_packet(flow_kind::stream));
    CHECK(r.action == route_action::reply);
    CHECK(r.status == packet_status::not_run_no_upstream);
}

// Guards against requests admitted by a host without the pool's ledger.
TEST_CASE("without a holder a stream falls back to hashing and a request is refused")
{
    fixture f;
    f.config.zones[1].state = zone_state::out;
    f.entries[0].state = f.entries[1].state = host_state::leaving;
    auto const r = f.decide(1, open_packet(flow_kind::stream));
    CHECK(r.action == route_action::local_fallback_open);
    CHECK((r.upstream == upstream_id{1} || r.upstream == upstream_id{2}));
    CHECK(f.decide(1, open_packet(flow_kind::request)).status ==
          packet_status::not_run_no_upstream);
    f.config.zones[1].state = zone_state::in; // a zone with a holder is preferred
    CHECK(f.decide(1, open_packet(flow_kind::request)).to == host_endpoint(3));
}

// Guards against forwarding loops between hosts with different views.
TEST_CASE("an open at the hop limit is not forwarded")
{
    fixture const f;
    auto p = open_packet(flow_kind::stream);
    p.hops = max_hops;
    std::uint16_t const other = f.akl_host({desk, akl}, false);
    CHECK(f.decide(other, p).action == route_action::local_fallback_open);
    p.flow = flow_kind::request;
    CHECK(f.decide(other, p).status == packet_status::not_run_moved);
}

TEST_CASE("unknown services, wrong kinds and missing callers are refused or counted")
{
    fixture const f;
    CHECK(f.decide(1, open_packet(flow_kind::stream, {99})).status ==
          packet_status::unknown_service);
    CHECK(f.decide(1, open_packet(flow_kind{})).reason == drop_reason::wrong_kind);
    auto const id = stream_id(f.config, 0);
    auto p = flow_packet(packet_kind::data, id);
    p.caller = {};
    CHECK(f.decide(1, p).reason == drop_reason::no_caller);
    p = flow_packet(packet_kind::data, id);
    p.service = bulk;
    CHECK(f.decide(1, p).reason == drop_reason::service_mismatch);
    CHECK(f.decide(1, flow_packet(packet_kind::request, id)).reason == drop_reason::wrong_kind);
    CHECK(f.decide(1, flow_packet(packet_kind::opened, id)).reason == drop_reason::wrong_kind);
    CHECK(f.decide(1, flow_packet(packet_kind::given_up, id)).reason == drop_reason::wrong_source);
    auto forged = id;
    forged[20] = static_cast<char>(forged[20] + 1);
    CHECK(f.decide(1, flow_packet(packet_kind::data, forged)).reason == drop_reason::forged);
    CHECK(to_string(drop_reason::other_service) == "other_service");
}

// Guards against a load spike in a zone that has just returned.
TEST_CASE("a returning zone's share of opens grows over the ramp")
{
    fixture f;
    f.config.zones[0].state = zone_state::returning;
    routing_table const table(f.config, {}, secret);
    f.ramp = zone_ramp{}.updated(table, time_point(seconds(100)));
    auto const kept = [&](std::int64_t second)
    {
        f.now = time_point(seconds(second));
        int n = 0;
        for (f.key = 0; f.key < 500; ++f.key)
            n += f.decide(1, open_packet(flow_kind::stream)).to != host_endpoint(3);
        return n;
    };
    CHECK(kept(100) > 25);
    CHECK(kept(100) < 80);
    CHECK(kept(115) > 230);
    CHECK(kept(115) < 320);
    CHECK(kept(130) == 500);
    // Reinstalling a table does not restart the ramp; a second return does.
    CHECK(f.ramp.updated(table, time_point(seconds(110))).share(akl, time_point(seconds(130))) ==
          1);
    f.config.zones[0].changed_at = {11};
    routing_table const again(f.config, {}, secret);
    CHECK(f.ramp.updated(again, time_point(seconds(130))).share(akl, time_point(seconds(130))) <
          0.11);
}

// Guards against flows broken by a planned change: drain, removal, newer and older tables.
TEST_CASE("a stream's packets reach its upstream from any host")
{
    fixture f;
    auto const id = stream_id(f.config, 0);
    auto const p = flow_packet(packet_kind::data, id);
    SECTION("same table") {}
    SECTION("draining")
    {
        f.config.upstreams[0].state = upstream_state::draining;
    }
    SECTION("retired")
    {
        f.config.upstreams[0].state = upstream_state::retired;
    }
    SECTION("older table without the upstream")
    {
        f.config.rev = {9};
        f.config.upstreams.erase(f.config.upstreams.begin());
    }
    for (std::uint16_t h = 1; h <= 3; ++h)
    {
        auto const r = f.decide(h, p);
        CHECK(r.action == route_action::to_upstream);
        CHECK(r.to == upstream_endpoint(1));
    }
}

// Guards against packets sent to a new owner of the address.
TEST_CASE("a stream whose upstream is no longer the one in the id is given up")
{
    fixture f;
    auto const id = stream_id(f.config, 0);
    auto& u = f.config.upstreams[0];
    auto expected = packet_status::upstream_gone;
    SECTION("new incarnation")
    {
        u.owner = {2};
    }
    SECTION("new address")
    {
        u.address = upstream_endpoint(77);
    }
    SECTION("other service")
    {
        u.service = bulk;
    }
    SECTION("removed from the table")
    {
        f.config.upstreams.erase(f.config.upstreams.begin());
    }
    SECTION("retired and its address reused")
    {
        u.state = upstream_state::retired;
        f.config.upstreams[3].address = u.address;
    }
    SECTION("released")
    {
        u.state = upstream_state::released;
    }
    SECTION("zone out")
    {
        f.config.zones[0].state = zone_state::out;
        expected = packet_status::zone_out;
    }
    f.config.rev = {11};
    auto const r = f.decide(2, flow_packet(packet_kind::data, id));
    CHECK(r.action == route_action::reply);
    CHECK(r.reply == packet_kind::given_up);
    CHECK(r.status == expected);
    CHECK(r.to == caller);
}

// Guards against an older table that sends a flow to the previous service of its address.
TEST_CASE("an older table that gives the address to another service defers to the issuer")
{
    fixture f;
    auto const id = stream_id(f.config, 0);
    auto const p = flow_packet(packet_kind::data, id);
    f.config.rev = {9};
    f.config.upstreams[0].service = bulk;
    auto const r = f.decide(2, p);
    CHECK(r.action == route_action::to_host);
    CHECK(r.to == host_endpoint(1));
    CHECK(f.decide(1, p).reason == drop_reason::stale_table);
    f.entries[0].alive = false;
    CHECK(f.decide(2, p).reason == drop_reason::stale_table);
}

// Guards against injected answers and flow counts that never decrease.
TEST_CASE("answers come from the flow's upstream, and a close passes through the holder")
{
    fixture const f;
    auto const id = stream_id(f.config, 0);
    auto const r = f.decide(2, flow_packet(packet_kind::data, id), upstream_endpoint(1));
    CHECK(r.action == route_action::to_caller);
    CHECK(r.to == caller);
    CHECK(f.decide(2, flow_packet(packet_kind::answer, id), upstream_endpoint(2)).reason ==
          drop_reason::wrong_source);
    auto p = flow_packet(packet_kind::close, id);
    std::uint16_t const other = f.akl_host({desk, akl}, false);
    CHECK(f.decide(other, p).action == route_action::to_host);
    p.hops = 1;
    for (std::uint16_t h = 1; h <= 3; ++h)
    {
        CHECK(f.decide(h, p).action == route_action::local_close);
        CHECK(f.decide(h, p).to == upstream_endpoint(1));
    }
}

// Guards against requests that run outside the executor that keeps their ledger.
TEST_CASE("requests and cancels go to the executor of their flow")
{
    fixture f;
    auto const id = request_id_of(f.config, host(2, akl).instance);
    for (packet_kind const kind : {packet_kind::request, packet_kind::cancel, packet_kind::close})
    {
        CHECK(f.decide(1, flow_packet(kind, id)).to == host_endpoint(2));
        CHECK(f.decide(3, flow_packet(kind, id)).action == route_action::to_host);
    }
    CHECK(f.decide(2, flow_packet(packet_kind::request, id)).action == route_action::local_request);
    CHECK(f.decide(2, flow_packet(packet_kind::cancel, id)).action == route_action::local_cancel);
    CHECK(f.decide(2, flow_packet(packet_kind::close, id)).action == route_action::local_close);
    CHECK(f.decide(2, flow_packet(packet_kind::data, id)).reason == drop_reason::wrong_kind);
    auto const answer = flow_packet(packet_kind::answer, id);
    CHECK(f.decide(2, answer, upstream_endpoint(1)).action == route_action::local_answer);
    CHECK(f.decide(2, answer, upstream_endpoint(4)).reason == drop_reason::wrong_source);
    // A request forwarded to a host other than its executor is not forwarded again.
    auto p = flow_packet(packet_kind::request, id);
    p.hops = 1;
    CHECK(f.decide(1, p).status == packet_status::outcome_unknown);
    p.idempotent = true;
    CHECK(f.decide(3, p).reply == packet_kind::given_up);
    f.config.zones[0].state = zone_state::out;
    CHECK(f.decide(2, flow_packet(packet_kind::request, id)).status == packet_status::zone_out);
}

// Guards against a restarting host that ends a flow while it installs old revisions: its table has
// the zone out, but the id is newer and the zone has returned.
TEST_CASE("an older table does not end a flow because its zone was out")
{
    fixture f;
    fleet_config newer = f.config;
    newer.rev.value = f.config.rev.value + 5;
    routing_table const issued(newer, {}, secret);
    auto const id = flow_issuer(host(2, akl).instance)
                        .stream(flow_kind::stream, *issued.find(upstream_id{1}), issued);
    f.config.zones[0].state = zone_state::out;
    CHECK(f.decide(2, flow_packet(packet_kind::data, id)).action == route_action::to_upstream);
}

// Guards against a request that runs elsewhere and that its frozen executor then answers as not
// run, and against a non-idempotent request that runs twice.
TEST_CASE("requests of a lost executor do not run elsewhere")
{
    fixture f;
    std::uint16_t const holder = f.akl_host({desk, akl}, true);
    std::uint16_t const other = f.akl_host({desk, akl}, false);
    // The id names an earlier incarnation of the other host. Hosts that know only its current
    // incarnation forward the packet and let that host decide.
    auto const id = request_id_of(f.config, {{other}, {7}});
    auto const non_idempotent_request = flow_packet(packet_kind::request, id);
    auto const idempotent_request = flow_packet(packet_kind::request, id, true);
    CHECK(f.decide(holder, non_idempotent_request).to == host_endpoint(other));
    CHECK(f.decide(other, non_idempotent_request).status == packet_status::outcome_unknown);
    CHECK(f.decide(other, idempotent_request).reply == packet_kind::given_up);
    CHECK(f.decide(other, idempotent_request).status == packet_status::upstream_gone);
    CHECK(f.decide(other, flow_packet(packet_kind::close, id)).reason ==
          drop_reason::executor_gone);
    auto forwarded = idempotent_request; // must not return to the host that sent it here
    forwarded.hops = 2;
    CHECK(f.decide(holder, forwarded).reply == packet_kind::given_up);
    f.entries[other - 1U].alive = false;
    CHECK(f.decide(holder, non_idempotent_request).status == packet_status::outcome_unknown);
    CHECK(f.decide(holder, idempotent_request).reply == packet_kind::given_up);
}

// Guards against a cache entry of another pool when more pools are queried than fit.
TEST_CASE("the holder cache returns the same holders as a new view")
{
    fixture const f;
    cluster_view const used = f.view(1);
    for (int round = 0; round < 2; ++round)
        for (std::uint32_t s = 0; s < 5000; ++s)
        {
            pool_id const pool{{s}, {static_cast<std::uint8_t>(1 + s % 3)}}; // zone 3 has no hosts
            cluster_view const unused = f.view(1);
            cluster_entry const* const expected = unused.holder(pool);
            cluster_entry const* const got = used.holder(pool);
            REQUIRE((got == nullptr) == (expected == nullptr));
            if (got != nullptr)
                REQUIRE(got->instance == expected->instance);
        }
}

// Guards against overloaded upstreams in zones that have few of them.
TEST_CASE("opens are spread over zones in proportion to their slots")
{
    fleet_config config = empty_config();
    config.rev = {1};
    config.services = {{desk, "desk"}};
    host_list hosts;
    std::vector<cluster_entry> entries;
    // Upstreams of equal weight: 2, 1 and 1 in three zones of three hosts each.
    for (std::uint8_t z = 1; z <= 3; ++z)
    {
        config.zones.push_back({{z}, "zone" + std::to_string(z)});
        for (int h = 0; h < 3; ++h)
            entries.push_back({{{static_cast<std::uint16_t>(10 * z + h)}, {1}},
                               {z},
                               host_state::live,
                               true,
                               host_endpoint(10 * z + h)});
    }
    for (std::uint32_t i = 0; i < 4; ++i)
    {
        upstream_config u;
        u.id = {i + 1};
        u.service = desk;
        u.zone = {static_cast<std::uint8_t>(i < 2 ? 1 : i)};
        u.address = upstream_endpoint(static_cast<int>(i) + 1);
        u.slots = 3;
        u.connections = 2000;
        config.upstreams.push_back(u);
    }
    routing_table const table(config, hosts, secret);
    std::map<zone_id, double> opens;
    constexpr int per_host = 1000;
    for (cluster_entry const& at : entries)
    {
        cluster_view const view(at.instance, at.zone, entries);
        for (std::uint64_t key = 0; key < per_host; ++key)
        {
            packet_view p = open_packet(flow_kind::stream);
            auto const r = router{}.decide(p, caller, table, view, zone_ramp{},
                                           hash_pair(key, at.instance.host.value), time_point{});
            zone_id zone = at.zone;
            for (cluster_entry const& e : entries)
                if (r.action == route_action::to_host && e.packet == r.to)
                    zone = e.zone;
            ++opens[zone];
        }
    }
    double const mean = static_cast<double>(entries.size() * per_host) / 4;
    CHECK(opens[{1}] / 2 / mean < 1.05);
    CHECK(opens[{2}] / mean < 1.05);
    CHECK(opens[{3}] / mean < 1.05);
}
