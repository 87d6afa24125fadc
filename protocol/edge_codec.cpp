#include "protocol/edge_codec.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <cinttypes>
#include <cstdio>
#include <limits>

namespace chivelever
{

namespace
{

namespace json = boost::json;

// Messages are JSON arrays in a fixed order, because heartbeats are sent many times a second and
// member names would triple their size. The first element is the layout version.
constexpr std::int64_t heartbeat_layout_version = 1;
constexpr std::int64_t view_layout_version = 3;
// First element of a flow report, which is sent to the same port as heartbeats.
constexpr std::string_view flow_report_tag = "flows-1";
constexpr std::uint64_t max_packed_endpoint = 0xFFFF'FFFF'FFFF; // 32 bits of address, 16 of port
constexpr double max_requests_per_s = 1e6;
// Leaves room for the time on the way, which the receiver adds.
constexpr std::uint32_t max_view_age_ms = 0x7FFF'FFFF;
constexpr std::int64_t max_duration_us = 86'400'000'000; // a day

template<class Int>
Int number(json::value const& v)
{
    return v.to_number<Int>();
}

std::string text(json::value const& v)
{
    auto const& s = v.as_string();
    return {s.data(), s.size()};
}

// Throws std::out_of_range if the number is not in the range. Sums and products of the decoded
// numbers must not overflow.
template<class Int>
Int number_in(json::value const& v, Int low, Int high)
{
    auto const n = number<Int>(v);
    if (n < low || n > high)
        throw std::out_of_range("number is out of range");
    return n;
}

duration decode_duration(json::value const& v)
{
    return duration(number_in<std::int64_t>(v, 0, max_duration_us));
}

endpoint decode_endpoint(json::value const& v)
{
    return endpoint::from_packed(number_in<std::uint64_t>(v, 0, max_packed_endpoint));
}

json::array encode_upstream(upstream_entry const& e)
{
    return {e.name,
            e.datagram_address,
            e.address.packed(),
            e.service,
            e.zone,
            e.slots,
            e.draining,
            e.cold_left_ms,
            e.started_unix_ms,
            e.revision.revision,
            e.write_number};
}

upstream_entry decode_upstream(json::value const& v, std::uint64_t era)
{
    auto const& row = v.as_array();
    upstream_entry e;
    e.name = text(row.at(0));
    e.datagram_address = number<std::uint64_t>(row.at(1));
    e.address = decode_endpoint(row.at(2));
    e.service = text(row.at(3));
    e.zone = text(row.at(4));
    e.slots = number_in<std::uint32_t>(row.at(5), 1, std::numeric_limits<std::uint32_t>::max());
    e.draining = row.at(6).as_bool();
    e.cold_left_ms = number<std::uint32_t>(row.at(7));
    e.started_unix_ms = number<std::int64_t>(row.at(8));
    e.revision = {era, number<std::uint64_t>(row.at(9))};
    // Hosts of earlier versions send no further elements.
    if (row.size() > 10)
        e.write_number = number<std::uint64_t>(row.at(10));
    return e;
}

json::array encode_route(route_entry const& r)
{
    json::array targets;
    for (route_target const& t : r.targets)
        targets.push_back(json::array{t.service, t.weight});
    return {r.destination.packed(), std::move(targets), r.priority, r.timeout.count(),
            r.latency_objective.count()};
}

route_entry decode_route(json::value const& v)
{
    auto const& row = v.as_array();
    route_entry r;
    r.destination = decode_endpoint(row.at(0));
    for (json::value const& t : row.at(1).as_array())
        r.targets.push_back({text(t.as_array().at(0)), number<std::uint32_t>(t.as_array().at(1))});
    r.priority = number<std::uint32_t>(row.at(2));
    r.timeout = decode_duration(row.at(3));
    r.latency_objective = decode_duration(row.at(4));
    if (r.targets.empty())
        throw std::out_of_range("route has no targets");
    return r;
}

json::value encode_config(std::optional<edge_config> const& c)
{
    if (!c)
        return nullptr;
    json::array routes;
    for (route_entry const& r : c->routes)
        routes.push_back(encode_route(r));
    json::array services;
    for (service_entry const& s : c->services)
        services.push_back(json::array{s.name, s.cold_requests_per_s, s.cold_time.count()});
    return json::array{c->version, c->idle_limit.count(), std::move(routes), std::move(services)};
}

std::optional<edge_config> decode_config(json::value const& v)
{
    if (v.is_null())
        return std::nullopt;
    auto const& row = v.as_array();
    edge_config c;
    c.version = number<std::uint64_t>(row.at(0));
    c.idle_limit = decode_duration(row.at(1));
    for (json::value const& r : row.at(2).as_array())
        c.routes.push_back(decode_route(r));
    for (json::value const& s : row.at(3).as_array())
        c.services.push_back({text(s.as_array().at(0)),
                              number_in<double>(s.as_array().at(1), 0, max_requests_per_s),
                              decode_duration(s.as_array().at(2))});
    return c;
}

json::array encode_peer(peer_address const& p)
{
    return {p.ip, p.zone};
}

peer_address decode_peer(json::value const& v)
{
    return {number<std::uint32_t>(v.as_array().at(0)), text(v.as_array().at(1))};
}

observed_host decode_observed_host(json::value const& v)
{
    auto const& row = v.as_array();
    observed_host o{decode_peer(v), std::nullopt};
    if (row.size() > 2)
        o.age_ms = number<std::uint32_t>(row.at(2));
    return o;
}

json::array encode_service_load(service_load const& l)
{
    json::array pending;
    for (zone_pending const& z : l.pending)
        pending.push_back(json::array{z.zone, z.pending_milli});
    json::array demand;
    for (priority_demand const& d : l.demand)
        demand.push_back(json::array{d.priority, d.milli_slots});
    return {l.service, l.hosts, l.age_ms, std::move(pending), std::move(demand)};
}

service_load decode_service_load(json::value const& v)
{
    auto const& row = v.as_array();
    service_load l;
    l.service = text(row.at(0));
    l.hosts = number<std::uint32_t>(row.at(1));
    l.age_ms = number<std::uint32_t>(row.at(2));
    for (json::value const& z : row.at(3).as_array())
        l.pending.push_back({text(z.as_array().at(0)), number<std::uint32_t>(z.as_array().at(1))});
    for (json::value const& d : row.at(4).as_array())
        l.demand.push_back(
            {number<std::uint32_t>(d.as_array().at(0)), number<std::uint32_t>(d.as_array().at(1))});
    return l;
}

json::array encode_recovering(recovering_upstream const& r)
{
    return {r.upstream.value, r.returned_ms ? json::value(*r.returned_ms) : nullptr,
            r.started_ms ? json::value(*r.started_ms) : nullptr, r.level};
}

recovering_upstream decode_recovering(json::value const& v)
{
    auto const& row = v.as_array();
    recovering_upstream r{{number<std::uint32_t>(row.at(0))}, std::nullopt, std::nullopt, 0};
    if (!row.at(1).is_null())
        r.returned_ms = number<std::uint32_t>(row.at(1));
    if (!row.at(2).is_null())
        r.started_ms = number<std::uint32_t>(row.at(2));
    r.level = number<std::uint32_t>(row.at(3));
    return r;
}

json::array encode_flow_owners(std::vector<flow_owner> const& owners)
{
    json::array rows;
    for (flow_owner const& o : owners)
        rows.push_back(json::array{o.flow.caller.packed(), o.flow.destination.packed(),
                                   o.first_sequence, o.upstream.value, o.open});
    return rows;
}

std::vector<flow_owner> decode_flow_owners(json::value const& v)
{
    std::vector<flow_owner> out;
    for (json::value const& item : v.as_array())
    {
        auto const& row = item.as_array();
        out.push_back({{decode_endpoint(row.at(0)), decode_endpoint(row.at(1))},
                       number<std::uint32_t>(row.at(2)),
                       {number<std::uint32_t>(row.at(3))},
                       row.at(4).as_bool()});
    }
    return out;
}

json::value parse(std::string_view text)
{
    return json::parse(json::string_view(text.data(), text.size()));
}

// Runs a decoder and turns any exception from a malformed message into nullopt.
template<class Decode>
auto decode_or_nullopt(Decode decode) -> std::optional<decltype(decode())>
{
    try
    {
        return decode();
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace

std::string encode_heartbeat(peer_heartbeat const& b)
{
    json::array loads;
    for (reported_load const& l : b.loads)
        loads.push_back(json::array{l.upstream.value, l.flows, l.mean_pending_milli});
    json::array suspects;
    for (flow_token const t : b.suspected_upstreams)
        suspects.push_back(t.value);
    json::array hosts;
    for (observed_host const& o : b.observed_hosts)
    {
        json::array row = encode_peer(o.host);
        if (o.age_ms)
            row.push_back(*o.age_ms);
        hosts.push_back(std::move(row));
    }
    json::array zones;
    for (observed_zone const& o : b.observed_zones)
        zones.push_back(json::array{o.zone, o.age_ms});
    json::value const known_hosts = b.known_hosts ? json::value(*b.known_hosts) : nullptr;
    json::array answers;
    for (observed_answer const& o : b.observed_answers)
        answers.push_back(json::array{o.upstream.value, o.age_ms});
    json::array services;
    for (service_load const& l : b.service_loads)
        services.push_back(encode_service_load(l));
    json::array recovering;
    for (recovering_upstream const& r : b.recovering)
        recovering.push_back(encode_recovering(r));
    return json::serialize(json::array{heartbeat_layout_version, encode_peer(b.sender), b.leaving,
                                       b.as_of.revision, b.digest, b.config_version, b.view_age_ms,
                                       std::move(loads), std::move(suspects), std::move(hosts),
                                       std::move(zones), std::move(answers), known_hosts,
                                       std::move(services), b.as_of.era, std::move(recovering)});
}

std::optional<peer_heartbeat> decode_heartbeat(std::string_view bytes)
{
    return decode_or_nullopt(
        [&]
        {
            json::value const v = parse(bytes);
            auto const& row = v.as_array();
            if (number<std::int64_t>(row.at(0)) != heartbeat_layout_version)
                throw std::out_of_range("unknown layout version");
            peer_heartbeat b;
            b.sender = decode_peer(row.at(1));
            b.leaving = row.at(2).as_bool();
            b.as_of.revision = number<std::uint64_t>(row.at(3));
            b.digest = number<std::uint64_t>(row.at(4));
            b.config_version = number<std::uint64_t>(row.at(5));
            b.view_age_ms = number<std::uint32_t>(row.at(6));
            for (json::value const& l : row.at(7).as_array())
                b.loads.push_back({{number<std::uint32_t>(l.as_array().at(0))},
                                   number<std::uint32_t>(l.as_array().at(1)),
                                   number<std::uint32_t>(l.as_array().at(2))});
            for (json::value const& t : row.at(8).as_array())
                b.suspected_upstreams.push_back({number<std::uint32_t>(t)});
            for (json::value const& o : row.at(9).as_array())
                b.observed_hosts.push_back(decode_observed_host(o));
            // Hosts of earlier versions send no further elements.
            if (row.size() > 10)
                for (json::value const& o : row.at(10).as_array())
                    b.observed_zones.push_back(
                        {text(o.as_array().at(0)), number<std::uint32_t>(o.as_array().at(1))});
            if (row.size() > 11)
                for (json::value const& o : row.at(11).as_array())
                    b.observed_answers.push_back({{number<std::uint32_t>(o.as_array().at(0))},
                                                  number<std::uint32_t>(o.as_array().at(1))});
            if (row.size() > 12 && !row.at(12).is_null())
                b.known_hosts = number<std::uint32_t>(row.at(12));
            if (row.size() > 13)
                for (json::value const& l : row.at(13).as_array())
                    b.service_loads.push_back(decode_service_load(l));
            if (row.size() > 14)
                b.as_of.era = number<std::uint64_t>(row.at(14));
            if (row.size() > 15)
                for (json::value const& r : row.at(15).as_array())
                    b.recovering.push_back(decode_recovering(r));
            return b;
        });
}

bool is_flow_report(std::string_view bytes)
{
    constexpr std::string_view opening = "[\"";
    return bytes.starts_with(opening) && bytes.substr(opening.size()).starts_with(flow_report_tag);
}

std::string encode_flow_report(flow_report const& r)
{
    return json::serialize(
        json::array{json::string_view(flow_report_tag.data(), flow_report_tag.size()),
                    encode_flow_owners(r.asked), encode_flow_owners(r.known)});
}

std::optional<flow_report> decode_flow_report(std::string_view bytes)
{
    return decode_or_nullopt(
        [&]
        {
            json::value const v = parse(bytes);
            auto const& row = v.as_array();
            return flow_report{decode_flow_owners(row.at(1)), decode_flow_owners(row.at(2))};
        });
}

std::string encode_view_query(view_base const& b)
{
    return "as_of=" + std::to_string(b.as_of.revision) +
           "&config=" + std::to_string(b.config_version) + "&era=" + std::to_string(b.as_of.era);
}

view_base decode_view_query(std::string const& query)
{
    view_base b;
    int const read = std::sscanf(query.c_str(), "as_of=%" SCNu64 "&config=%" SCNu64 "&era=%" SCNu64,
                                 &b.as_of.revision, &b.config_version, &b.as_of.era);
    return read >= 2 ? b : view_base{};
}

std::string encode_view(peer_view const& v)
{
    json::array zones;
    for (std::string const& z : v.operators.evacuated_zones)
        zones.push_back(json::string(z));
    json::array upstreams;
    for (upstream_entry const& e : v.upstreams.entries)
        upstreams.push_back(encode_upstream(e));
    json::array dropped;
    for (endpoint const e : v.dropped_routes)
        dropped.push_back(e.packed());
    json::array removed;
    for (std::string const& name : v.removed)
        removed.push_back(json::string(name));
    return json::serialize(
        json::array{view_layout_version, v.view_age_ms, v.operators.as_of.revision,
                    encode_config(v.operators.config), std::move(zones), v.upstreams.as_of.revision,
                    std::move(upstreams), v.complete, v.digest, std::move(removed), v.config_base,
                    std::move(dropped), v.operators.as_of.era});
}

std::optional<peer_view> decode_view(std::string_view bytes)
{
    return decode_or_nullopt(
        [&]
        {
            json::value const v = parse(bytes);
            auto const& row = v.as_array();
            if (number<std::int64_t>(row.at(0)) != view_layout_version)
                throw std::out_of_range("unknown layout version");
            peer_view out;
            out.view_age_ms = std::min(number<std::uint32_t>(row.at(1)), max_view_age_ms);
            // Hosts of earlier versions send no era. All listed entries are of the view's era.
            std::uint64_t const era = row.size() > 12 ? number<std::uint64_t>(row.at(12)) : 0;
            out.operators.as_of = {era, number<std::uint64_t>(row.at(2))};
            out.operators.config = decode_config(row.at(3));
            for (json::value const& z : row.at(4).as_array())
                out.operators.evacuated_zones.insert(text(z));
            out.upstreams.as_of = {era, number<std::uint64_t>(row.at(5))};
            for (json::value const& e : row.at(6).as_array())
                out.upstreams.entries.push_back(decode_upstream(e, era));
            out.complete = row.at(7).as_bool();
            out.digest = number<std::uint64_t>(row.at(8));
            for (json::value const& name : row.at(9).as_array())
                out.removed.push_back(text(name));
            out.config_base = number<std::uint64_t>(row.at(10));
            for (json::value const& e : row.at(11).as_array())
                out.dropped_routes.push_back(decode_endpoint(e));
            return out;
        });
}

} // namespace chivelever
