#include "platform/platform.hpp"
#include "transport/transport.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chivelever
{

namespace
{

std::string bytes_of(std::initializer_list<int> values)
{
    std::string s;
    for (int const v : values)
        s += static_cast<char>(v);
    return s;
}

// The example SYN packet of the platform's documentation.
std::string example_syn()
{
    return bytes_of({0x44, 0x33, 0x22, 0x11, 0,    0,    0,    0,    0,    0,    2,
                     0,    0,    0,    0,    0,    0xd5, 0xc3, 0xb2, 0xa1, 0xbb, 1,
                     7,    0,    0x40, 0x64, 0x41, 0x9c, 1,    0,    0x12, 0xc6});
}

std::string item(std::string const& key, std::string const& base64, int revision)
{
    return "{\"key\":\"" + key + "\",\"value\":\"" + base64 +
           "\",\"revision\":" + std::to_string(revision) + "}";
}

upstream_listing decode_entry(std::string const& key, std::string const& value, findings& problems)
{
    return platform::decode_upstreams({{key, value, 5}}, 9, problems);
}

// A store with pages of two items, which refuses a target that is not a valid part of a request
// line.
class paged_store
{
public:
    explicit paged_store(std::vector<std::string> keys) : keys_(std::move(keys))
    {
        std::ranges::sort(keys_);
    }

    // The body of the page, or nothing if the store refuses the request.
    std::optional<std::string> get(std::string_view target) const
    {
        if (!std::ranges::all_of(target, [](char c) { return c > ' ' && c < 0x7f && c != '#'; }))
            return std::nullopt;
        auto const query = parse_query(target.substr(target.find('?') + 1));
        auto const after = query.find("after");
        boost::json::array items;
        bool has_more = false;
        for (std::string const& key : keys_)
        {
            if (!key.starts_with(query.at("prefix")) ||
                (after != query.end() && key <= after->second))
                continue;
            has_more = items.size() == page_items;
            if (has_more)
                break;
            items.push_back({{"key", key}, {"value", ""}, {"revision", 1}});
        }
        return boost::json::serialize(
            boost::json::object{{"items", items}, {"hasMore", has_more}, {"asOf", 9}});
    }

private:
    static constexpr std::size_t page_items = 2;
    std::vector<std::string> keys_;
};

std::vector<std::string> read_keys(paged_store const& store, findings& problems)
{
    platform::listing_reader listing(platform::section::upstreams, true);
    std::vector<std::string> keys;
    while (listing.state() == platform::listing_state::incomplete)
    {
        auto const body = store.get(listing.next_request().target);
        if (!body)
            return {};
        listing.add_page(*body, problems);
    }
    for (platform::stored_item const& i : listing.take_items())
        keys.push_back(i.key);
    return listing.state() == platform::listing_state::complete ? keys : std::vector<std::string>{};
}

std::string const good_entry =
    R"({"service":"desk","address":"10.128.0.9:8080","zone":"regina","version":"v1",)"
    R"("maxConcurrency":2,"state":"ready","warmupLeftMs":250,"sequence":4,"born":1700000000123})";

} // namespace

// Guards against a late copy of another response on a connection in use: a page of operators' items
// was read as a listing without upstreams, and all of them counted as gone.
TEST_CASE("a page of another section is not an answer", "[platform]")
{
    findings problems;
    std::string const operators =
        "{\"items\":[" + item("op/config", "e30=", 3) + "],\"hasMore\":false,\"asOf\":5}";
    CHECK_FALSE(platform::decode_page(platform::section::upstreams, operators, problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].section == "op/config");
    CHECK(platform::decode_page(platform::section::operators, operators, problems));
}

// Guards against a key by another writer that stops every read of the store: the last key of a page
// is part of the next request, which the store refuses or misreads if the key is not encoded.
TEST_CASE("any key at the end of a page leaves the listing readable", "[platform]")
{
    for (std::string const& odd :
         std::vector<std::string>{"i-1 copy", "i-1+", "i-1&prefix=op/", "i-1%2", "i-1%20", "i-1#",
                                  "i-1?x=1", "i-1=", "i-1/../i-2", "i-1\"", "i-1\r\nX: y",
                                  "i-1\x01", "i-1\x7f", "i-1\xc4\x81", "i-1\xf0\x9f\x8c\x8a"})
    {
        INFO(odd);
        paged_store const store(
            {"op/config", "servers/i-0", "servers/" + odd, "servers/i-2", "servers/i-3"});
        findings problems;
        CHECK(read_keys(store, problems) == std::vector<std::string>{"servers/i-0",
                                                                     "servers/" + odd,
                                                                     "servers/i-2", "servers/i-3"});
        CHECK(problems.empty());
    }
}

// Guards against arithmetic on numbers that no service has: they are bounded, and the rest of the
// configuration is used.
TEST_CASE("excessive numbers in a configuration are bounded", "[platform]")
{
    findings problems;
    std::string const text =
        R"({"version":4,"routes":[],"services":[{"name":"desk","warmupS":1e300,"warmupPerS":1e300}]})";
    auto const listing = platform::decode_operators({{"op/config", text, 3}}, 5, problems);
    REQUIRE(listing.config);
    REQUIRE(listing.config->services.size() == 1);
    CHECK(listing.config->services[0].cold_time == std::chrono::hours(24));
    CHECK(listing.config->services[0].cold_requests_per_s <= 1e6);
}

// The packet header must be decoded and encoded exactly as the platform specifies it.
TEST_CASE("the platform's example packet and reset", "[platform]")
{
    auto const d = platform::decode_packet(example_syn());
    REQUIRE(d.fault == platform::packet_fault::none);
    CHECK(d.packet.syn);
    CHECK_FALSE(d.packet.ack);
    CHECK(d.packet.sequence == 0x11223344);
    CHECK(to_string(d.packet.flow.caller) == "100.64.0.7:40001");
    CHECK(to_string(d.packet.flow.destination) == "198.18.0.1:443");
    auto const reset = platform::encode_reset(d.packet.flow, 0);
    CHECK(std::string(reset.data(), reset.size()) ==
          bytes_of({0, 0, 0, 0, 0,    0,    0, 0, 0,    0,    0x80, 0, 0, 0, 0,    0,
                    0, 0, 0, 0, 0x41, 0x9c, 1, 0, 0x12, 0xc6, 0xbb, 1, 7, 0, 0x40, 0x64}));
}

// Encapsulation for an upstream must change nothing in the packet but the token.
TEST_CASE("a packet to an upstream carries the upstream's address and token", "[platform]")
{
    std::array<char, platform::upstream_prefix_bytes + platform::max_packet_bytes> out{};
    std::string const packet = example_syn();
    std::size_t const n = platform::encode_for_upstream(packet, 0x7f3a91c2, {0x01020304}, out);
    REQUIRE(n == 40);
    std::string const sent(out.data(), n);
    CHECK(sent.substr(0, 8) == bytes_of({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
    CHECK(sent.substr(8, 12) == packet.substr(0, 12));
    CHECK(sent.substr(20, 4) == bytes_of({4, 3, 2, 1}));
    CHECK(sent.substr(24) == packet.substr(16));
}

// Malformed datagrams must be rejected and never read past their end.
TEST_CASE("packets with an invalid header are rejected", "[platform]")
{
    using platform::packet_fault;
    std::string p = example_syn();
    CHECK(platform::decode_packet(p.substr(0, 31)).fault == packet_fault::short_head);
    CHECK(platform::decode_packet("").fault == packet_fault::short_head);
    CHECK(platform::decode_packet(p + "x").fault == packet_fault::wrong_length);
    p[10] = 1;
    CHECK(platform::decode_packet(p).fault == packet_fault::unknown_flags);
    std::mt19937 random(1);
    for (int i = 0; i < 20'000; ++i)
    {
        std::string noise(random() % 1400, '\0');
        for (char& c : noise)
            c = static_cast<char>(random());
        auto const d = platform::decode_packet(noise);
        CHECK((d.fault != packet_fault::none || noise.size() == 32U + d.packet.payload_bytes));
        platform::find_request_id(noise);
    }
}

TEST_CASE("the request id header is found regardless of case", "[platform]")
{
    std::string const head(32, '\0');
    CHECK(platform::find_request_id(
              head + "GET / HTTP/1.1\r\nchivelever-request-id:  ab12\r\n\r\n") == "ab12");
    CHECK(platform::find_request_id(head + "GET / HTTP/1.1\r\nHost: x\r\n\r\n").empty());
    CHECK(platform::find_request_id("short").empty());
}

// Invalid entries by other writers must not become upstreams or hide the valid ones.
TEST_CASE("invalid upstream entries are rejected", "[platform]")
{
    findings problems;
    auto const good = decode_entry("servers/i-7f3a91c2", good_entry, problems);
    REQUIRE(good.entries.size() == 1);
    CHECK(problems.empty());
    upstream_entry const& e = good.entries[0];
    CHECK(e.name == "i-7f3a91c2");
    CHECK(e.datagram_address == 0x7f3a91c2);
    CHECK(to_string(e.address) == "10.128.0.9:8080");
    CHECK(e.slots == 2);
    CHECK(e.cold_left_ms == 250);
    CHECK(e.started_unix_ms == 1700000000123);
    CHECK(e.write_number == 4);
    CHECK(e.revision == 5);

    auto const refused = [&](std::string const& from, std::string const& to)
    {
        std::string text = good_entry;
        auto const at = text.find(from);
        REQUIRE(at != std::string::npos);
        text.replace(at, from.size(), to);
        findings found;
        bool const none = decode_entry("servers/i-7f3a91c2", text, found).entries.empty();
        return none && found.size() == 1;
    };
    CHECK(refused("\"ready\"", "\"resting\""));
    CHECK(refused("\"ready\"", "7"));
    CHECK(refused("\"desk\"", "null"));
    CHECK(refused("\"desk\"", "\"\""));
    CHECK(refused("10.128.0.9:8080", "10.128.0.9"));
    CHECK(refused("\"maxConcurrency\":2", "\"maxConcurrency\":0"));
    CHECK(refused("\"maxConcurrency\":2", "\"maxConcurrency\":\"2\""));
    CHECK(refused("\"warmupLeftMs\":250", "\"warmupLeftMs\":-1"));
    CHECK(refused("\"sequence\":4", "\"sequence\":\"4\""));
    CHECK(refused("\"zone\":\"regina\",", ""));
    CHECK(refused("1700000000123", "\"today\""));
    CHECK(refused("{", "["));
    CHECK(decode_entry("servers/nothing", "{}", problems).entries.empty());
    CHECK(decode_entry("servers/xyz", good_entry, problems).entries.empty());
    CHECK(decode_entry("servers/0123456789abcdef01", good_entry, problems).entries.empty());
}

// Store responses that are truncated, not JSON, or of the wrong structure must be rejected.
TEST_CASE("pages of a store listing are decoded", "[platform]")
{
    findings problems;
    auto const page = platform::decode_page(platform::section::upstreams,
                                            "{\"items\":[" + item("servers/a", "aGFsbG8=", 3) +
                                                "," + item("servers/b", "!!!!", 4) +
                                                ",7,{\"key\":1}],\"hasMore\":true,\"asOf\":9}",
                                            problems);
    REQUIRE(page);
    REQUIRE(page->items.size() == 2);
    CHECK(page->items[0].value == "hallo");
    CHECK(page->items[0].revision == 3);
    CHECK(page->items[1].value.empty()); // invalid base64
    CHECK(page->has_more);
    CHECK(page->as_of == 9);
    CHECK(problems.size() == 2);
    for (char const* const bad : {"", "{", "[]", "{\"items\":3,\"asOf\":1}", "{\"items\":[]}",
                                  "{\"items\":[],\"asOf\":-4}", "null"})
        CHECK_FALSE(platform::decode_page(platform::section::upstreams, bad, problems));
}

// Decoding the configuration must not lose routes or services.
TEST_CASE("configuration and evacuations are decoded", "[platform]")
{
    findings problems;
    std::string const config =
        R"({"version":7,"routes":[)"
        R"({"name":"a","host":"198.18.0.1","prefix":"/8080/","type":"upload","timeoutMs":2500,)"
        R"("targetLatencyMs":150,"priority":1,"service":"desk"},)"
        R"({"name":"b","host":"198.18.0.1","prefix":"/8443/","backends":[{"service":"desk",)"
        R"("weight":90},{"service":"bulk","weight":10}]},{"name":"c","host":"x","prefix":"/1/"}],)"
        R"("services":[{"name":"desk","warmupS":2.0,"warmupPerS":4.5}],)"
        R"("limits":{"idleTimeoutMs":15000}})";
    auto const o = platform::decode_operators(
        {{"op/config", config, 4}, {"op/evacuate/regina", "{}", 5}, {"op/other", "?", 6}}, 9,
        problems);
    REQUIRE(o.config);
    CHECK(o.as_of == 9);
    CHECK(o.config->version == 7);
    REQUIRE(o.config->routes.size() == 2);
    CHECK(to_string(o.config->routes[0].destination) == "198.18.0.1:8080");
    CHECK(o.config->routes[0].priority == 1);
    CHECK(o.config->routes[1].targets == std::vector<route_target>{{"desk", 90}, {"bulk", 10}});
    REQUIRE(o.config->services.size() == 1);
    CHECK(o.config->services[0].cold_requests_per_s == 4.5);
    CHECK(o.config->services[0].cold_time == std::chrono::seconds(2));
    CHECK(o.config->idle_limit == std::chrono::seconds(15));
    CHECK(o.evacuated_zones == std::set<std::string>{"regina"});
    CHECK(problems.size() == 1);
    CHECK_FALSE(platform::decode_operators({{"op/config", "{}", 4}}, 9, problems).config);
}

// Requests must have the format that the store expects.
TEST_CASE("store requests are encoded and leases and hosts decoded", "[platform]")
{
    using platform::section;
    CHECK(platform::range_request(section::upstreams, "", false).target ==
          "/-/kv-range?prefix=servers/");
    CHECK(platform::range_request(section::upstreams, "servers/i-1", true).target ==
          "/-/kv-range?prefix=servers/&after=servers/i-1&allowStale=1");
    auto const r = platform::register_host_request({0x0A010016, "akl"}, {77120});
    CHECK(r.method == "POST");
    CHECK(r.body.find("\"key\":\"chivelever/hosts/10.1.0.22\"") != std::string::npos);
    CHECK(r.body.find("\"value\":\"YWts\"") != std::string::npos);
    CHECK(r.body.find("\"leaseId\":77120") != std::string::npos);
    CHECK(platform::lease_request(std::chrono::minutes(10)).body == "{\"ttlMs\":600000}");
    CHECK(platform::renew_request({77120}).target == "/-/kv-keep/77120");
    findings problems;
    CHECK(platform::decode_lease("{\"leaseId\":77120,\"ttlMs\":3000}", problems) ==
          store_lease{77120});
    CHECK(problems.empty());
    for (char const* const bad : {"", "[]", "{}", "{\"leaseId\":0}", "{\"leaseId\":\"x\"}"})
        CHECK_FALSE(platform::decode_lease(bad, problems));
    CHECK(problems.size() == 5);
    problems.clear();
    auto const hosts =
        platform::decode_hosts({{"chivelever/hosts/10.1.0.22", "akl", 1}, {"x", "", 2}}, problems);
    REQUIRE(hosts.size() == 1);
    CHECK(hosts[0] == peer_address{0x0A010016, "akl"});
    CHECK(problems.size() == 1);
}

} // namespace chivelever
