// Entries that another writer leaves among those of the upstreams or hosts, at every place that
// reads them: the pages of the store, views and heartbeats between hosts, and the host list of
// chiveleverd. Such an entry must affect neither the others nor the process.
#include "platform/platform.hpp"
#include "tests/edge_fixture.hpp"
#include "tests/platform_samples.hpp"
#include "transport/transport.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

namespace chivelever
{

namespace
{

using platform::section;

constexpr std::size_t excessive_depth = 200'000;

std::string repeated(std::string_view text, std::size_t times)
{
    std::string out;
    for (std::size_t i = 0; i < times; ++i)
        out += text;
    return out;
}

std::string nested_arrays()
{
    return repeated("[", excessive_depth) + repeated("]", excessive_depth);
}

std::string nested_objects()
{
    return repeated("{\"a\":", excessive_depth) + "1" + repeated("}", excessive_depth);
}

// JSON numbers beyond what any field holds.
std::vector<std::string> excessive_numbers()
{
    return {"1e400",
            "-1e400",
            "1e99999999999",
            "18446744073709551616",
            "18446744073709551615",
            "9223372036854775808",
            "1e30",
            repeated("9", 5000)};
}

// A valid entry in which `member` replaces the member of the same name.
std::string entry_with(std::string const& member)
{
    return sample::upstream_entry.substr(0, sample::upstream_entry.size() - 1) + "," + member + "}";
}

// Reads the value as one of three entries. Returns whether it was skipped and the others were not.
bool is_skipped(std::string const& key, std::string const& value)
{
    std::string const valid = entry_with("\"version\":\"v1\"");
    boost::json::array items;
    for (auto const& [k, v] : {std::pair("servers/i-1", &valid), std::pair(key.c_str(), &value),
                               std::pair("servers/i-ffff", &valid)})
        items.push_back({{"key", k}, {"value", to_base64(*v)}, {"revision", 5}});
    findings problems;
    auto const page = platform::decode_page(
        section::upstreams,
        boost::json::serialize(boost::json::object{{"items", items}, {"asOf", 9}}), problems);
    if (!page)
        return false;
    auto const listing = platform::decode_upstreams(page->items, page->as_of, problems);
    bool const others = listing.entries.size() >= 2 && listing.entries.front().name == "i-1" &&
                        listing.entries.back().name == "i-ffff";
    return others && listing.entries.size() == 2 && problems.size() == 1;
}

// A TCP server that sends one response.
class single_response_server
{
public:
    explicit single_response_server(std::string body)
        : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this, text = std::move(body)] { serve(text); })
    {
    }
    ~single_response_server() { thread_.join(); }
    single_response_server(single_response_server const&) = delete;
    single_response_server& operator=(single_response_server const&) = delete;

    endpoint address() const { return {0x7F000001, acceptor_.local_endpoint().port()}; }

private:
    void serve(std::string const& body)
    {
        boost::asio::ip::tcp::socket socket = acceptor_.accept();
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
        boost::asio::write(socket,
                           boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                               std::to_string(body.size()) + "\r\n\r\n" + body));
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

std::string host_list_with(std::string const& entry)
{
    return R"({"version":4,"hosts":[{"kind":"upstream","id":1,"zone":1,"state":"live",)"
           R"("packet":"","peer":"","grpc":""},)" +
           entry +
           R"(,{"kind":"entry","id":3,"zone":1,"state":"live","packet":"10.0.0.3:1",)"
           R"("peer":"10.0.0.3:2","grpc":"10.0.0.3:3"}]})";
}

std::string listed_host_with(std::string const& member)
{
    return R"({"kind":"upstream","id":2,"zone":1,"state":"live","packet":"","peer":"","grpc":"",)" +
           member + "}";
}

} // namespace

// Guards against a stack overflow in the parser, and against a document that is refused as a whole.
TEST_CASE("deeply nested entries of upstreams are skipped", "[foreign]")
{
    CHECK(is_skipped("servers/i-2", nested_arrays()));
    CHECK(is_skipped("servers/i-2", nested_objects()));
    CHECK(is_skipped("servers/i-2", repeated("[", excessive_depth)));
    for (char const* const name : {"service", "address", "maxConcurrency", "sequence", "unknown"})
    {
        INFO(name);
        CHECK(is_skipped("servers/i-2",
                         entry_with("\"" + std::string(name) + "\":" + nested_arrays())));
        CHECK(is_skipped("servers/i-2",
                         entry_with("\"" + std::string(name) + "\":" + nested_objects())));
    }
}

// Guards against clamped or truncated numbers: with them, an entry that names no upstream got new
// flows.
TEST_CASE("entries of upstreams with excessive numbers are skipped", "[foreign]")
{
    for (std::string const& number : excessive_numbers())
        for (char const* const name : {"maxConcurrency", "warmupLeftMs", "born", "service"})
        {
            INFO(name << " " << number.substr(0, 30));
            CHECK(is_skipped("servers/i-2", entry_with("\"" + std::string(name) + "\":" + number)));
        }
    CHECK(is_skipped("servers/i-2", entry_with("\"maxConcurrency\":4294967296")));
    CHECK(is_skipped("servers/i-2", entry_with("\"warmupLeftMs\":4294967296")));
}

// Guards against flows that are sent to an address that no upstream has.
TEST_CASE("entries of upstreams with invalid addresses are skipped", "[foreign]")
{
    for (std::string const& address : std::vector<std::string>{"10.128.0.9:65536",
                                                               "10.128.0.9:0",
                                                               "10.128.0.9:-1",
                                                               "10.128.0.9:+80",
                                                               "10.128.0.9: 80",
                                                               "10.128.0.9:80 ",
                                                               "10.128.0.9:0x50",
                                                               "10.128.0.9:",
                                                               "10.128.0.9:99999999999999999999",
                                                               "10.128.0.9:8080:1",
                                                               "10.128.0.256:80",
                                                               "10.128.0:80",
                                                               ":80",
                                                               "0.0.0.0:80",
                                                               "0.1.2.3:80",
                                                               "255.255.255.255:80",
                                                               "224.0.0.1:80",
                                                               "10.128.0.9\\u0000:80",
                                                               "[::1]:80",
                                                               "localhost:80"})
    {
        INFO(address);
        CHECK(is_skipped("servers/i-2", entry_with("\"address\":\"" + address + "\"")));
    }
}

// Guards against text that makes the messages between hosts too large.
TEST_CASE("entries of upstreams with excessive text are skipped", "[foreign]")
{
    std::string const text = repeated("z", 500'000);
    for (char const* const name : {"service", "zone", "address", "state"})
        CHECK(is_skipped("servers/i-2",
                         entry_with("\"" + std::string(name) + "\":\"" + text + "\"")));
}

// Guards against one key that makes a page unreadable, or the view of a host for all others.
TEST_CASE("keys that are not valid UTF-8 name no upstream", "[foreign]")
{
    for (std::string const& odd : std::vector<std::string>{"\xff", "\xc3", "\xed\xa0\x80", "\x80x"})
        CHECK(is_skipped("servers/i-2" + odd, entry_with("\"version\":\"v1\"")));
}

// Guards against a listing that ends early, so that the upstreams of later pages count as removed.
TEST_CASE("a page of items that cannot be decoded does not end the listing", "[foreign]")
{
    findings problems;
    platform::listing_reader listing(section::upstreams, true);
    listing.add_page(
        R"({"items":[{"key":"servers/i-1","value":7,"revision":3}],"hasMore":true,"asOf":9})",
        problems);
    REQUIRE(listing.state() == platform::listing_state::incomplete);
    CHECK(listing.next_request().target ==
          "/-/kv-range?prefix=servers/&after=servers/i-1&allowStale=1");
    listing.add_page(
        R"({"items":[{"key":"servers/i-2","value":"","revision":3}],"hasMore":false,"asOf":9})",
        problems);
    CHECK(listing.state() == platform::listing_state::complete);
    CHECK(listing.take_items().size() == 1);
    CHECK(problems.size() == 1);

    platform::listing_reader without_keys(section::upstreams, true);
    without_keys.add_page(R"({"items":[{"value":"","revision":3}],"hasMore":true,"asOf":9})",
                          problems);
    CHECK(without_keys.state() == platform::listing_state::endless);
}

// Guards against heartbeats that no host can decode: a host relays the zones of others as it read
// them from the store.
TEST_CASE("host entries with an invalid address or zone are skipped", "[foreign]")
{
    std::string const prefix = "chivelever/hosts/";
    findings problems;
    auto const hosts = platform::decode_hosts({{prefix + "10.1.0.1", "akl", 1},
                                               {prefix + "10.1.0.2", "\xff", 1},
                                               {prefix + "10.1.0.3", "", 1},
                                               {prefix + "10.1.0.4", repeated("z", 100'000), 1},
                                               {prefix + "0.0.0.0", "akl", 1},
                                               {prefix + "255.255.255.255", "akl", 1},
                                               {prefix + "10.1.0.5", "wlg", 1}},
                                              problems);
    CHECK(hosts == std::vector<peer_address>{{0x0A010001, "akl"}, {0x0A010005, "wlg"}});
    CHECK(problems.size() == 5);
}

// Guards against a view that no host can decode, since evacuated zones are part of it.
TEST_CASE("evacuations of zones with an invalid name are skipped", "[foreign]")
{
    findings problems;
    auto const o = platform::decode_operators(
        {{"op/evacuate/\xff", "{}", 3}, {"op/evacuate/wlg", "{}", 4}}, 9, problems);
    CHECK(o.evacuated_zones == std::set<std::string>{"wlg"});
    CHECK(problems.size() == 1);
}

// Guards against arithmetic overflow on numbers of other hosts, and against truncated addresses.
TEST_CASE("views and heartbeats with excessive numbers or nesting are refused", "[foreign]")
{
    peer_view v;
    v.operators = make_operators(30, 4);
    v.upstreams = {31, {make_upstream(1)}};
    std::string const view = encode_view(v);
    REQUIRE(decode_view(view) == v);
    auto const decodes_with = [&](std::string const& from, std::string const& to)
    {
        std::string text = view;
        auto const at = text.find(from);
        REQUIRE(at != std::string::npos);
        return decode_view(text.replace(at, from.size(), to)).has_value();
    };
    std::string const address = std::to_string(make_upstream(1).address.packed());
    std::string const route = std::to_string(desk_route.packed());
    std::vector<std::string> odd = excessive_numbers();
    odd.insert(odd.end(), {"-1", "281474976710656", nested_arrays(), nested_objects()});
    for (std::string const& number : odd)
    {
        INFO(number.substr(0, 30));
        CHECK_FALSE(decodes_with("[" + route, "[" + number));
        CHECK_FALSE(decodes_with("," + address + ",", "," + number + ","));
        CHECK_FALSE(decodes_with(",3000000,", "," + number + ","));  // timeout
        CHECK_FALSE(decodes_with(",15000000,", "," + number + ",")); // idle limit
        CHECK_FALSE(decodes_with(",2000000]", "," + number + "]"));  // cold time
        CHECK_FALSE(decodes_with("\"akl\",2,", "\"akl\"," + number + ","));
        CHECK_FALSE(decode_heartbeat("[1,[" + number + ",\"akl\"],false,1,1,1,1,[],[],[]]"));
    }
    CHECK_FALSE(decodes_with("\"akl\",2,", "\"akl\",0,")); // no slots
    auto const old = decode_view("[3,4294967295,5,[3,0,[],[]],[],5,[],true,1,[],0,[]]");
    REQUIRE(old);
    CHECK(old->view_age_ms + 60'000 > old->view_age_ms);
}

// Guards against a view of one host that the others refuse because of what it read from the store.
TEST_CASE("a view with foreign entries can be passed on", "[foreign]")
{
    std::vector<platform::stored_item> items{{"servers/i-1", entry_with("\"version\":\"v1\""), 3}};
    for (std::string const& number : excessive_numbers())
        items.push_back({"servers/i-2" + std::to_string(items.size()),
                         entry_with("\"maxConcurrency\":" + number), 3});
    items.push_back({"servers/i-3 \x01\"\\", entry_with("\"zone\":\"\\u0001\\\"\""), 3});
    findings problems;
    deployment_view view;
    std::vector<view_change> changes;
    view.apply(make_operators(9, 1), platform::decode_upstreams(items, 9, problems), edge_start,
               edge_start, changes);
    auto const passed_on = decode_view(encode_view(view.changes_since(0, 0, edge_start)));
    REQUIRE(passed_on);
    CHECK(passed_on->upstreams.entries.size() == 2);
    deployment_view other;
    CHECK(other.apply(*passed_on, edge_start, changes));
    CHECK(other.version().digest == view.version().digest);
}

// Guards against a daemon that stops following the host list because of one entry.
TEST_CASE("invalid entries of the host list are skipped", "[foreign]")
{
    std::vector<std::string> entries{"7",
                                     "null",
                                     "[]",
                                     "\"text ] } [ { , \\\" \\\\\"",
                                     nested_arrays(),
                                     nested_objects(),
                                     listed_host_with("\"unknown\":1"),
                                     listed_host_with("\"unknown\":" + nested_arrays()),
                                     listed_host_with("\"state\":\"resting\""),
                                     listed_host_with("\"packet\":\"10.0.0.2:65536\""),
                                     listed_host_with("\"grpc\":\"10.0.0.2:-1\""),
                                     listed_host_with("\"zone\":256")};
    for (std::string const& number : excessive_numbers())
    {
        entries.push_back(number);
        entries.push_back(listed_host_with("\"id\":" + number));
        entries.push_back(listed_host_with("\"zone\":" + number));
    }
    for (std::string const& entry : entries)
    {
        INFO(entry.substr(0, 120));
        findings problems;
        findings skipped;
        auto const list = value_or_findings(
            [&] { return decode_host_list(host_list_with(entry), skipped); }, problems);
        REQUIRE(list);
        CHECK(problems.empty());
        CHECK_FALSE(skipped.empty());
        CHECK(list->version == 4);
        REQUIRE(list->hosts.size() == 2);
        CHECK(list->hosts[0].id == 1);
        CHECK(list->hosts[1].id == 3);
    }
    findings problems;
    findings skipped;
    for (char const* const invalid : {"", "[", "{\"version\":4,\"hosts\":[", "{\"version\":4}",
                                      "{\"version\":-1,\"hosts\":[]}", "[[1,2]]"})
        CHECK_FALSE(
            value_or_findings([&] { return decode_host_list(invalid, skipped); }, problems));
    auto const empty = value_or_findings(
        [&] { return decode_host_list("{\"version\":4,\"hosts\":[ ]}", skipped); }, problems);
    REQUIRE(empty);
    CHECK(empty->hosts.empty());
    CHECK(skipped.empty());
}

// Guards against an exception that ends the loop which follows the store.
TEST_CASE("a store index that is no number of 64 bits counts as no answer", "[foreign]")
{
    std::vector<std::string> numbers = excessive_numbers();
    std::erase(numbers, "18446744073709551615"); // the largest index
    std::erase(numbers, "9223372036854775808");
    numbers.insert(numbers.end(), {"-1", "1.5"});
    for (std::string const& number : numbers)
    {
        INFO(number.substr(0, 30));
        single_response_server const server("[{\"Value\":\"e30=\",\"ModifyIndex\":" + number +
                                            "}]");
        http_store store(server.address());
        CHECK(store.get("hosts").status == store_status::unreachable);
    }
}

} // namespace chivelever
