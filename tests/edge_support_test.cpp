#include "transport/transport.hpp"

#include "tests/edge_fixture.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <random>
#include <unistd.h>

namespace chivelever
{

// A host must not block when its log is not read, and every dropped line must be counted.
TEST_CASE("a full pipe drops lines and counts them", "[edge][log]")
{
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    bounded_output out(pipe_ends[1], 8 * 1024);
    std::string const line(99, 'x');
    for (int i = 0; i < 5000; ++i)
    {
        out.append(line);
        if (i % 50 == 0)
            out.flush();
    }
    CHECK(out.dropped() > 0);
    CHECK(out.pending_bytes() <= 8 * 1024);
    std::size_t read_bytes = 0;
    std::array<char, 65536> buffer{};
    ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 10; ++i)
    {
        for (ssize_t n = 1; n > 0;)
        {
            n = ::read(pipe_ends[0], buffer.data(), buffer.size());
            read_bytes += n > 0 ? static_cast<std::size_t>(n) : 0;
        }
        out.flush();
    }
    CHECK(out.pending_bytes() == 0);
    CHECK(read_bytes == (5000 - out.dropped()) * 100);
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
}

// A connection attempt to an unresponsive upstream must not block the event loop. With a blocking
// connect, four unresponsive upstreams stopped all hosts for 3 s.
TEST_CASE("a connection attempt does not block the event loop", "[edge][loop]")
{
    boost::asio::io_context io(1);
    boost::asio::ip::tcp::acceptor full(io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0},
                                        false);
    full.listen(0);
    std::vector<endpoint> const one_address{{0x7F000001, full.local_endpoint().port()}};
    // Fills the listener's backlog, so that further connection attempts get no answer.
    std::vector<boost::asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 4; ++i)
    {
        auto& s = waiting.emplace_back(io, boost::asio::ip::tcp::v4());
        s.non_blocking(true);
        s.async_connect(full.local_endpoint(), [](boost::system::error_code) {});
    }
    int ticks = 0;
    std::vector<connection_outcome> answered;
    loop_timers timers(io);
    auto const tick = timers.subscribe(std::chrono::milliseconds(5), [&](time_point) { ++ticks; });
    auto const finish =
        [&](std::exception_ptr const&, std::vector<connection_outcome> const& result)
    {
        answered = result;
        io.stop();
    };
    boost::asio::steady_timer full_soon(io, std::chrono::milliseconds(20));
    full_soon.async_wait(
        [&](boost::system::error_code)
        {
            boost::asio::co_spawn(
                io, probe_connections(io, one_address, std::chrono::milliseconds(60)), finish);
        });
    time_point const started = boot_time_now();
    io.run();
    CHECK(answered == std::vector{connection_outcome::timed_out});
    CHECK(boot_time_now() - started < std::chrono::seconds(1));
    CHECK(ticks >= 5);
    // A listener with free backlog accepts at once.
    boost::asio::ip::tcp::acceptor open(io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0},
                                        false);
    std::vector<endpoint> const good_address{{0x7F000001, open.local_endpoint().port()}};
    io.restart();
    boost::asio::co_spawn(io, probe_connections(io, good_address, std::chrono::milliseconds(30)),
                          finish);
    io.run();
    CHECK(answered == std::vector{connection_outcome::established});
}

// An upstream above its connection limit accepts a connection and resets it. Taken for silent, it
// lost its open flows: callers were reset 0.25 s after a packet of a living upstream.
TEST_CASE("an upstream that resets a probe's connection has answered", "[edge][loop]")
{
    boost::asio::io_context io(1);
    auto const loopback = boost::asio::ip::make_address_v4("127.0.0.1");
    boost::asio::ip::tcp::acceptor limited(io, {loopback, 0}, false);
    limited.async_accept(
        [](boost::system::error_code, boost::asio::ip::tcp::socket s)
        {
            s.set_option(boost::asio::socket_base::linger(true, 0));
            s.close();
        });
    boost::asio::ip::tcp::acceptor closed(io, {loopback, 0}, false);
    std::uint16_t const closed_port = closed.local_endpoint().port();
    closed.close();
    std::vector<endpoint> const addresses{{0x7F000001, limited.local_endpoint().port()},
                                          {0x7F000001, closed_port}};
    std::vector<connection_outcome> outcomes;
    boost::asio::co_spawn(
        io, probe_connections(io, addresses, std::chrono::milliseconds(30)),
        [&](std::exception_ptr const&, std::vector<connection_outcome> const& result)
        { outcomes = result; });
    io.run();
    CHECK(outcomes == std::vector{connection_outcome::closed, connection_outcome::refused});
}

// Malformed messages, from another version or a faulty host, must not crash the process.
TEST_CASE("host messages survive a round trip and malformed ones are rejected", "[edge][codec]")
{
    peer_heartbeat b;
    b.sender = {0x0A010016, "akl"};
    b.as_of = 77;
    b.digest = 0xFFFFFFFFFFFFFFF0ULL;
    b.config_version = 12;
    b.view_age_ms = 340;
    b.loads = {{{5}, 2, 1}, {{6}, 9, 0}};
    b.suspected_upstreams = {{5}};
    b.observed_hosts = {{{0x0A010017, "wlg"}, 120}, {{0x0A010018, "akl"}, std::nullopt}};
    b.known_hosts = 7;
    b.observed_zones = {{"wlg", 40}};
    b.observed_answers = {{{5}, 30}};
    b.recovering = {{{5}, 300, std::nullopt, 0}, {{6}, std::nullopt, 1200, 4}};
    CHECK(decode_heartbeat(encode_heartbeat(b)) == b);
    // A host of an earlier version sends no elements after the first ten.
    auto const earlier = decode_heartbeat("[1,[10,\"akl\"],false,7,8,9,10,[],[],[]]");
    REQUIRE(earlier);
    CHECK(earlier->recovering.empty());
    // A host of an earlier version sends no loads of services either.
    CHECK(earlier->service_loads.empty());
    b.service_loads = {{"desk", 22, 400, {{"akl", 31'500}, {"wlg", 250}}, {{1, 12'000}, {2, 70}}},
                       {"bulk", 1, 0, {}, {}}};
    CHECK(decode_heartbeat(encode_heartbeat(b)) == b);

    operator_listing o = make_operators(30, 4, {desk_route, bulk_route});
    o.evacuated_zones = {"wlg"};
    peer_view v;
    v.view_age_ms = 120;
    v.digest = 0xFEDCBA9876543210ULL;
    v.operators = o;
    v.config_base = 3;
    v.dropped_routes = {desk_route};
    v.upstreams = {31, {make_upstream(1), make_upstream(2, "wlg")}};
    v.upstreams.entries[1].write_number = 12;
    v.removed = {"i-9"};
    CHECK(decode_view(encode_view(v)) == v);

    std::mt19937 random(3);
    std::string const text = encode_view(v);
    std::string const beat = encode_heartbeat(b);
    for (int i = 0; i < 5000; ++i)
    {
        std::string broken = i % 2 == 0 ? text : beat;
        broken[random() % broken.size()] = static_cast<char>(random());
        broken.resize(random() % broken.size() + 1);
        decode_view(broken);
        decode_heartbeat(broken);
    }
    CHECK_FALSE(decode_heartbeat("[2]"));
    CHECK_FALSE(decode_heartbeat("{}"));
    CHECK_FALSE(
        decode_view("[3,0,5,[3,0,[[1,[],0,0,0]],[]],[],5,[],true,1,[],0,[]]")); // no targets
    CHECK(decode_view("[3,0,5,[3,0,[],[]],[],5,[],true,1,[],0,[]]"));
    CHECK(decode_view_query(encode_view_query({77, 12})) == view_base{77, 12});
    CHECK(decode_view_query("as_of=x") == view_base{});
}

// A host must not start with incomplete settings, since it could not serve anyone.
TEST_CASE("edge host settings are parsed and validated", "[edge][settings]")
{
    std::string const good = "[host]\nname = edge-akl-1\nzone = akl\naddress = 10.1.0.10\n"
                             "ports = 7720,7735\nseeds = 10.1.0.10:8166,10.2.0.40:8166\n"
                             "[listen]\npackets = 10.1.0.10:8172\nready = 10.1.0.10:8167\n"
                             "[store]\naddress = 10.200.1.7:8169\n"
                             "[bounds]\ncold_overage = 1.5\ncold_slack = 5\ngrace_s = 6\n";
    findings problems;
    auto const s = parse_edge_settings(good, "boot.ini", problems);
    REQUIRE(s);
    CHECK(problems.empty());
    CHECK(s->peer_port == 7720);
    CHECK(s->seeds == std::vector<std::uint32_t>{0x0A01000A, 0x0A020028});
    CHECK(s->packets == parse_endpoint("10.1.0.10:8172"));
    CHECK(s->grace == std::chrono::seconds(6));

    std::string bad = good;
    bad.replace(bad.find("10.200.1.7:8169"), 15, "nowhere");
    bad.replace(bad.find("7720,7735"), 9, "");
    bad.replace(bad.find("cold_slack = 5"), 14, "cold_slack = x");
    CHECK_FALSE(parse_edge_settings(bad, "boot.ini", problems));
    CHECK(problems.size() == 4); // the port list is empty, and its first port is invalid
    problems.clear();
    CHECK_FALSE(parse_edge_settings("", "boot.ini", problems));
    CHECK(problems.size() >= 6);

    // A misspelt policy must not fall back to the default without a finding.
    CHECK(s->admission == admission_policy::answer_time);
    std::string const policy = good + "[admission]\npolicy = ";
    CHECK(parse_edge_settings(policy + "capacity\n", "boot.ini", problems)->admission ==
          admission_policy::capacity);
    problems.clear();
    CHECK_FALSE(parse_edge_settings(policy + "capcity\n", "boot.ini", problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].key == "policy");
}

} // namespace chivelever
