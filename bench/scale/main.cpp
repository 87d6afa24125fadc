// bench_scale: measures the network, CPU and memory cost of the control plane per host.
#include "bench/scale/fleet.hpp"

#include <boost/program_options.hpp>

#include <cmath>
#include <cstdio>
#include <iostream>
#include <malloc.h>

using namespace chivelever;
using namespace chivelever::scale;
using namespace std::chrono_literals;

namespace
{

constexpr double pools_per_host = 2200.0 / 420;

std::size_t default_zones(std::size_t nodes)
{
    return nodes >= 420 ? 7 : nodes >= 120 ? 2 : nodes >= 60 ? 4 : 3;
}

void print_row(char const* name, summary_statistics const& s)
{
    std::printf("  %-34s mean %9.2f  p50 %9.2f  p99 %9.2f  max %9.2f\n", name, s.mean, s.p50, s.p99,
                s.max);
}

// Prints the distribution over hosts of the rates since the last reset.
void print_rates(fleet const& f, char const* phase)
{
    double const seconds = std::chrono::duration<double>(f.since_reset()).count();
    auto const counts = f.counts();
    auto const rate = [&](auto value)
    {
        std::vector<double> v;
        v.reserve(counts.size());
        for (host_counters const& c : counts)
            v.push_back(static_cast<double>(value(c)) / seconds);
        return summary_statistics::of(v);
    };
    std::printf("%s, %.0f s\n", phase, seconds);
    print_row("bytes sent + received /s",
              rate([](host_counters const& c) { return c.bytes_sent + c.bytes_received; }));
    print_row("bytes sent /s", rate([](host_counters const& c) { return c.bytes_sent; }));
    print_row("bytes received /s", rate([](host_counters const& c) { return c.bytes_received; }));
    print_row("of which leases, both ways /s",
              rate([](host_counters const& c) { return c.lease_bytes; }));
    print_row("of which pulls, both ways /s",
              rate([](host_counters const& c) { return c.pull_bytes; }));
    print_row("messages sent /s", rate([](host_counters const& c) { return c.messages_sent; }));
    print_row("messages received /s",
              rate([](host_counters const& c) { return c.messages_received; }));
    print_row("processor, percent of a core",
              rate([](host_counters const& c) { return static_cast<double>(c.busy_ns) * 1e-7; }));
    std::uint64_t calls = 0;
    for (host_counters const& c : counts)
        calls += c.store_calls;
    std::printf("  store calls of the fleet /s %.2f\n", static_cast<double>(calls) / seconds);
    std::printf("  pools held: mean %.4f, smallest %.4f; restarts %llu; false suspicions %llu\n",
                f.pools_held(), f.min_pools_held(), static_cast<unsigned long long>(f.restarts()),
                static_cast<unsigned long long>(f.false_suspicions()));
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

void measure(fleet_options const& o, int steady, int changes, double restart_interval, int restarts)
{
    std::printf("bench_scale --nodes %zu --zones %zu --pools %zu --seed %llu\n", o.nodes, o.zones,
                o.pools, static_cast<unsigned long long>(o.seed));
    std::size_t const before = heap_bytes();
    fleet f(o);
    f.run_for(30s);
    std::printf("memory per host: %.1f KB\n",
                static_cast<double>(heap_bytes() - before) / 1000 / static_cast<double>(o.nodes));
    f.reset_counters();
    f.run_for(std::chrono::seconds(steady));
    print_rates(f, "steady state");
    std::vector<double> times;
    for (int i = 0; i < changes; ++i)
    {
        auto const one = f.measure_change_propagation();
        times.insert(times.end(), one.begin(), one.end());
        f.run_for(1s);
    }
    print_row("change in force, s", summary_statistics::of(times));
    std::vector<double> local;
    std::vector<double> remote;
    for (std::size_t i = 0; i < 3 && i < o.nodes; ++i)
    {
        bool const same = i != 1;
        auto const seen = f.crash(i, same, same ? 15s : 90s);
        (same ? local : remote).insert((same ? local : remote).end(), seen.begin(), seen.end());
        f.start(i);
        f.run_for(10s);
    }
    print_row("crash seen in the zone, s", summary_statistics::of(local));
    print_row("crash seen in other zones, s", summary_statistics::of(remote));
    if (restarts > 0)
    {
        f.run_for(20s);
        f.reset_counters();
        auto const interval = duration(static_cast<std::int64_t>(restart_interval * 1e6));
        f.restart_every(interval);
        f.run_for(interval * restarts);
        print_rates(f, "rolling restart");
    }
    std::printf("invariant violations %llu\n",
                static_cast<unsigned long long>(invariants::violations()));
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    fleet_options o;
    int steady = 60;
    int changes = 10;
    int restarts = 0;
    int period_ms = 500;
    int renewal_ms = 1200;
    double interval = 129;
    po::options_description d("bench_scale");
    // clang-format off
    d.add_options()("help", "print the options")
        ("nodes", po::value(&o.nodes)->default_value(o.nodes), "hosts")
        ("zones", po::value<std::size_t>(), "zones")
        ("pools", po::value<std::size_t>(), "pools of the fleet; default 5.24 per host")
        ("seed", po::value(&o.seed)->default_value(o.seed), "seed")
        ("loss", po::value(&o.loss)->default_value(o.loss), "share of datagrams lost")
        ("steady", po::value(&steady)->default_value(steady), "seconds of steady state")
        ("changes", po::value(&changes)->default_value(changes), "configuration changes")
        ("restarts", po::value(&restarts)->default_value(restarts), "hosts to restart in turn")
        ("restart-interval", po::value(&interval)->default_value(interval), "seconds between them")
        ("fanout", po::value(&o.member.fanout)->default_value(o.member.fanout), "heartbeat targets")
        ("fanout-large", po::value(&o.member.fanout_large)->default_value(o.member.fanout_large),
         "the same in zones of over 16")
        ("progress", po::value(&o.member.progress)->default_value(o.member.progress), "entries")
        ("period", po::value(&period_ms)->default_value(period_ms), "ms between heartbeats")
        ("renewal", po::value(&renewal_ms)->default_value(renewal_ms), "ms between renewals");
    // clang-format on
    po::variables_map given;
    try
    {
        po::store(po::parse_command_line(argc, argv, d), given);
        po::notify(given);
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << '\n' << d;
        return 2;
    }
    if (given.count("help") != 0)
    {
        std::cout << d;
        return 0;
    }
    o.zones = given.count("zones") != 0 ? given["zones"].as<std::size_t>() : default_zones(o.nodes);
    o.pools =
        given.count("pools") != 0
            ? given["pools"].as<std::size_t>()
            : static_cast<std::size_t>(std::lround(static_cast<double>(o.nodes) * pools_per_host));
    o.member.period = std::chrono::milliseconds(period_ms);
    o.lease.renewal = std::chrono::milliseconds(renewal_ms);
    measure(o, steady, changes, interval, restarts);
    return invariants::violations() == 0 ? 0 : 1;
}
