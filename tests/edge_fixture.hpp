// Deployment views and packets shared by the tests of the edge router.
#ifndef CHIVELEVER_TESTS_EDGE_FIXTURE_HPP
#define CHIVELEVER_TESTS_EDGE_FIXTURE_HPP

#include "coordination/coordination.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace chivelever
{

inline constexpr time_point edge_start{std::chrono::hours(1)};
inline constexpr endpoint desk_route{0xC6120001, 443};
inline constexpr endpoint bulk_route{0xC6120001, 8080};

inline upstream_entry make_upstream(int number, std::string zone = "akl",
                                    std::string service = "desk")
{
    upstream_entry e;
    char name[16];
    std::snprintf(name, sizeof name, "i-%08x", 0x7f000000 + number);
    e.name = name;
    e.datagram_address = 0x7f000000U + static_cast<unsigned>(number);
    e.address = {0x0A800000U + static_cast<unsigned>(number), 8080};
    e.service = std::move(service);
    e.zone = std::move(zone);
    e.slots = 2;
    e.started_unix_ms = 1'000'000 + number;
    e.revision = 10;
    return e;
}

inline operator_listing make_operators(store_position as_of, std::uint64_t version,
                                       std::vector<endpoint> const& routes = {desk_route})
{
    edge_config c;
    c.version = version;
    for (endpoint const r : routes)
        c.routes.push_back(
            {r, {{"desk", 1}}, 1, std::chrono::seconds(3), std::chrono::milliseconds(200)});
    c.services.push_back({"desk", 0, std::chrono::seconds(2)});
    c.idle_limit = std::chrono::seconds(15);
    return {as_of, c, {}};
}

inline caller_packet make_syn(int caller, std::uint32_t earlier_transmissions = 0)
{
    caller_packet p;
    p.flow = {{0x64400000U + static_cast<unsigned>(caller), 40001}, desk_route};
    p.syn = true;
    p.sequence = 1000;
    p.acknowledged = earlier_transmissions;
    return p;
}

inline caller_packet make_data(int caller, flow_token token, std::uint32_t sequence,
                               std::uint32_t acknowledged, std::uint16_t bytes)
{
    caller_packet p;
    p.flow = make_syn(caller).flow;
    p.ack = true;
    p.sequence = sequence;
    p.acknowledged = acknowledged;
    p.payload_bytes = bytes;
    p.token = token;
    return p;
}

// The edge router of one host with its state, without sockets.
struct edge_under_test
{
    deployment_view view;
    flow_table flows;
    upstream_health health;
    placement place{{"akl", 1.5, 5}, 7};
    fleet_state fleet{[](flow_token) { return upstream_load{}; },
                      [](std::string const&) { return true; }, [](flow_token) { return 0; }, 1};
    overload_control overload;
    capacity_admission admission;
    service_capacity capacity{admission, "akl", view, flows, health, place, fleet};
    edge_router router{view, flows, health, place, overload, fleet, capacity};
    time_point now{edge_start};
    std::vector<view_change> changes;

    explicit edge_under_test(std::vector<upstream_entry> const& upstreams)
    {
        view.apply(make_operators(20, 1), {20, upstreams}, now, now, changes);
    }
    void advance(duration d) { now += d; }
    // Records a store read with unchanged contents.
    void confirm() { view.confirm(view.version().as_of, now, now); }
    packet_decision handle(caller_packet const& p, duration waited = {})
    {
        return router.handle({p, "packet", waited}, now);
    }
};

} // namespace chivelever

#endif
