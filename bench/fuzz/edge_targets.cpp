// Decoders of chivelever-edge: the pages and entries of the store, and messages of other hosts.
// What one host accepts must be accepted by the others to which it passes it on.
#include "bench/fuzz/targets.hpp"
#include "platform/platform.hpp"
#include "tests/platform_samples.hpp"
#include "transport/transport.hpp"

namespace fuzz
{

using namespace chivelever;

namespace
{

constexpr time_point now{std::chrono::hours(1)};

std::string const sample_edge_settings = R"([host]
name = edge-akl-1
zone = akl
address = 10.1.0.10
ports = 7720,7735
seeds = 10.1.0.10:8166
[listen]
packets = 10.1.0.10:8172
ready = 10.1.0.10:8167
[store]
address = 10.200.1.7:8169
[bounds]
grace_s = 6
)";

operator_listing sample_operators()
{
    findings none;
    return platform::decode_operators({{"op/config", sample::edge_config, 3}}, 8, none);
}

upstream_listing sample_upstreams()
{
    findings none;
    return platform::decode_upstreams({{"servers/i-1", sample::upstream_entry, 4}}, 8, none);
}

// Another host must accept the view of this one.
void pass_on(deployment_view const& view)
{
    for (std::uint64_t const base : {0, 5})
        require(decode_view(encode_view(view.changes_since(base, 1, now))).has_value(),
                "a view cannot be decoded by other hosts");
}

bool run_page(std::string const& input)
{
    findings problems;
    platform::listing_reader listing(platform::section::upstreams, true);
    listing.add_page(input, problems);
    require(listing.state() != platform::listing_state::invalid || !problems.empty(),
            "a page is refused without a finding");
    for (char const c : listing.next_request().target)
        require(c > ' ' && c < 0x7f, "a request is not valid HTTP");
    return listing.state() != platform::listing_state::invalid;
}

// The input is the value of one entry of three.
bool run_upstream_entry(std::string const& input)
{
    findings problems;
    auto const listing = platform::decode_upstreams({{"servers/i-1", sample::upstream_entry, 4},
                                                     {"servers/i-2", input, 5},
                                                     {"servers/i-3", sample::upstream_entry, 6}},
                                                    8, problems);
    require((listing.entries.size() == 3) == problems.empty(),
            "an entry is skipped without a finding, or used with one");
    deployment_view view;
    std::vector<view_change> changes;
    require(view.apply(sample_operators(), listing, now, now, changes), "a listing is refused");
    require(view.find(make_flow_token("i-1")) != nullptr &&
                view.find(make_flow_token("i-3")) != nullptr,
            "a valid entry is missing");
    pass_on(view);
    return listing.entries.size() == 3;
}

bool run_edge_config(std::string const& input)
{
    findings problems;
    auto const operators = platform::decode_operators({{"op/config", input, 3}}, 8, problems);
    deployment_view view;
    std::vector<view_change> changes;
    require(view.apply(operators, sample_upstreams(), now, now, changes), "a listing is refused");
    pass_on(view);
    return operators.config.has_value();
}

bool run_view(std::string const& input)
{
    auto const received = decode_view(input);
    if (!received)
        return false;
    require(decode_view(encode_view(*received)) == received, "a view changes in a round trip");
    deployment_view view;
    std::vector<view_change> changes;
    view.apply(sample_operators(), sample_upstreams(), now, now, changes);
    if (view.apply(*received, now, changes))
        pass_on(view);
    return true;
}

bool run_heartbeat(std::string const& input)
{
    auto const received = decode_heartbeat(input);
    if (!received)
        return false;
    require(decode_heartbeat(encode_heartbeat(*received)) == received,
            "a heartbeat changes in a round trip");
    peer_exchange peers({0x0A010001, "akl"}, 1);
    peers.on_heartbeat(*received, {}, now);
    peers.heartbeat_targets();
    peer_heartbeat relayed;
    relayed.observed_hosts = peers.sample_hosts(now);
    relayed.observed_zones = peers.observed_zones(now);
    require(decode_heartbeat(encode_heartbeat(relayed)).has_value(),
            "a heartbeat cannot be decoded by other hosts");
    peers.expire(now);
    return true;
}

bool run_edge_settings(std::string const& input)
{
    findings found;
    auto const s = parse_edge_settings(input, "fuzz.ini", found);
    // Lines that cannot be read are findings, but settings without them may be complete.
    require(s.has_value() || !found.empty(), "settings are rejected without a finding");
    return s.has_value();
}

peer_heartbeat sample_heartbeat()
{
    peer_heartbeat b;
    b.sender = {0x0A010016, "akl"};
    b.as_of = 77;
    b.config_version = 12;
    b.loads = {{{5}, 2, 1}};
    b.suspected_upstreams = {{5}};
    b.observed_hosts = {{{0x0A010017, "wlg"}, 120}, {{0x0A010018, "akl"}, std::nullopt}};
    b.known_hosts = 7;
    b.observed_zones = {{"wlg", 40}};
    b.observed_answers = {{{5}, 30}};
    return b;
}

} // namespace

std::vector<target> edge_targets()
{
    peer_view complete;
    complete.complete = true;
    complete.operators = sample_operators();
    complete.upstreams = sample_upstreams();
    peer_view changes = complete;
    changes.complete = false;
    changes.config_base = 7;
    changes.removed = {"i-1"};
    return {
        {"store-page", {sample::store_page}, run_page},
        {"upstream-entry", {sample::upstream_entry}, run_upstream_entry},
        {"edge-config", {sample::edge_config}, run_edge_config},
        {"edge-view", {encode_view(complete), encode_view(changes)}, run_view},
        {"edge-heartbeat", {encode_heartbeat(sample_heartbeat())}, run_heartbeat},
        {"edge-settings", {sample_edge_settings}, run_edge_settings},
    };
}

} // namespace fuzz
