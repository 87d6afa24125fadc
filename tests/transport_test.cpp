// Tests of the transport package over loopback sockets.
#include "transport/transport.hpp"

#include <atomic>
#include <boost/program_options.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

using namespace chivelever;
using namespace std::chrono_literals;

namespace
{
template<class F>
bool wait_until(F&& f)
{
    for (int i = 0; i < 300; ++i)
    {
        if (f())
            return true;
        std::this_thread::sleep_for(10ms);
    }
    return false;
}
endpoint local(std::uint16_t port)
{
    return {0x7f0900fe, port};
}
} // namespace

TEST_CASE("udp datagrams reach one of several threads and stop waits for the threads")
{
    udp_socket a(local(21001));
    udp_socket b(local(21002));
    std::atomic<int> received_count{0};
    auto const count = [&](std::string_view bytes, endpoint)
    { received_count += bytes == "x" ? 1 : 0; };
    b.start({count, count});
    for (int i = 0; i < 500; ++i)
        a.send(local(21002), "x");
    CHECK(wait_until([&] { return received_count == 500; }));
    b.stop();
    CHECK(b.received() == 500);
    CHECK_THROWS(udp_socket(local(21002)));
}

TEST_CASE("a timer subscription ends when its handle is destroyed")
{
    timers service;
    std::atomic<int> calls{0};
    {
        auto const handle = service.subscribe(2ms, [&](time_point) { ++calls; });
        CHECK(wait_until([&] { return calls >= 3; }));
    }
    int const after = calls;
    std::this_thread::sleep_for(20ms);
    CHECK(calls == after);
}

TEST_CASE("http requests reach the handler with method, path, query and body")
{
    http_server server(local(21003), 1,
                       [](http_request const& r)
                       {
                           return http_response{r.path == "/a" ? 200 : 404, "text/plain",
                                                r.method + " " + r.path + " " + r.query + " " +
                                                    r.body};
                       });
    auto const reply = http_call(local(21003), "POST", "/a?b=c", "body", 1s);
    REQUIRE(reply);
    CHECK(reply->status == 200);
    CHECK(reply->body == "POST /a b=c body");
    CHECK_FALSE(http_call(local(21004), "GET", "/a", "", 1s));
}

TEST_CASE("peer calls require the cluster secret and carry the clock")
{
    std::atomic<std::uint64_t> seen{0};
    peer_handlers h;
    h.fetch = [](revision since, std::uint64_t) {
        return fetch_result{{"change " + std::to_string(since.value + 1)}, "", "", 0};
    };
    h.status = [] { return host_status{{{3}, {4}}, {1}, {9}, 2, host_state::live, 0, "{}", 0}; };
    h.timeline = [](hybrid_time, std::string const& subject) {
        return std::vector<event>{{5, {3}, "kind", subject, "detail"}};
    };
    h.handover = [](pool_handover const&) {};
    h.clock = [&](hybrid_time t)
    {
        seen = t;
        return hybrid_time{77};
    };
    peer_server server(local(21005), "secret", h);
    std::atomic<std::uint64_t> observed{0};
    peer_client client(
        "secret", [] { return hybrid_time{42}; }, [&](hybrid_time t) { observed = t; });
    auto const fetched = client.fetch(local(21005), {7}, 0);
    REQUIRE(fetched);
    CHECK(fetched->changes == std::vector<std::string>{"change 8"});
    CHECK(seen == 42);
    CHECK(observed == 77);
    CHECK(client.status(local(21005))->rev == revision{9});
    CHECK(client.timeline(local(21005), 0, "flow/1")->at(0).subject == "flow/1");
    CHECK(client.handover(local(21005), {{{1}, {2}}, {{3}, {4}}, {}}));
    peer_client unauthenticated_client(
        "other", [] { return hybrid_time{1}; }, [](hybrid_time) {});
    CHECK_FALSE(unauthenticated_client.status(local(21005)));
}

TEST_CASE("the in-memory store creates only absent keys and wakes watches")
{
    memory_store store;
    CHECK(store.compare_and_swap("k", "1", 0).status == store_status::done);
    CHECK(store.compare_and_swap("k", "2", 0).status == store_status::conflict);
    auto const first = store.get("k");
    std::thread writer([&] { store.compare_and_swap("k", "2", first.index); });
    CHECK(store.watch("k", first.index, 2s).value == "2");
    writer.join();
}

// A daemon must not start with invalid options.
TEST_CASE("invalid options end a daemon with the usage exit code")
{
    namespace po = boost::program_options;
    po::options_description options("Options");
    options.add_options()("help", "show this text")("port", po::value<int>(), "a port");
    auto const read = [&](std::vector<std::string> args, po::variables_map& values)
    {
        std::vector<char*> arguments;
        arguments.reserve(args.size());
        for (std::string& arg : args)
            arguments.push_back(arg.data());
        return read_command_line(static_cast<int>(arguments.size()), arguments.data(), "program",
                                 "--port PORT", options, values);
    };
    po::variables_map values;
    CHECK_FALSE(read({"program", "--port", "7"}, values));
    CHECK(values["port"].as<int>() == 7);
    po::variables_map wrong;
    CHECK(read({"program", "--port", "x"}, wrong) == exit_usage);
    CHECK(read({"program", "--bad"}, wrong) == exit_usage);
    po::variables_map help;
    CHECK(read({"program", "--help"}, help) == exit_ok);
}

// Latencies must be exported as histograms too, since quantiles of single processes cannot be
// aggregated over several hosts.
TEST_CASE("latencies are rendered as a histogram and as quantiles")
{
    metrics m;
    for (double const seconds : {0.001, 0.0015, 0.03, 0.03, 0.4, 20.0})
        m.observe("answer_seconds", "answers", seconds);
    std::string const text = m.render();
    auto const has = [&](std::string const& line) { return text.find(line) != std::string::npos; };
    CHECK(has("# TYPE chivelever_answer_seconds histogram\n"));
    CHECK(has("chivelever_answer_seconds_bucket{le=\"0.001\"} 1\n"));
    CHECK(has("chivelever_answer_seconds_bucket{le=\"0.002\"} 2\n"));
    CHECK(has("chivelever_answer_seconds_bucket{le=\"0.05\"} 4\n"));
    CHECK(has("chivelever_answer_seconds_bucket{le=\"10\"} 5\n"));
    CHECK(has("chivelever_answer_seconds_bucket{le=\"+Inf\"} 6\n"));
    CHECK(has("chivelever_answer_seconds_count 6\n"));
    CHECK(has("chivelever_answer_seconds_quantile{quantile=\"0.99\"}"));
}

TEST_CASE("metrics are rendered as Prometheus text")
{
    metrics m;
    m.count("drops_total", "Dropped packets.", "reason=\"forged\"") += 3;
    m.gauge("open_flows", "Open flows.", [] { return 2.0; });
    for (int i = 1; i <= 1000; ++i)
        m.observe("latency_seconds", "Latency.", i / 1000.0);
    std::string const text = m.render();
    CHECK(text.find("chivelever_drops_total{reason=\"forged\"} 3\n") != std::string::npos);
    CHECK(text.find("# TYPE chivelever_open_flows gauge") != std::string::npos);
    CHECK(text.find("chivelever_latency_seconds_count 1000") != std::string::npos);
}
