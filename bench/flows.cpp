// Compares three flow designs under planned changes and a crash. Run with --benchmark_filter=flows.
#include "flow_experiment.hpp"

#include <benchmark/benchmark.h>
#include <iterator>

using namespace chivelever;
using namespace chivelever::experiment;

namespace
{

constexpr std::uint64_t seeds[] = {1, 2, 3};

// Reports means over the seeds for each event.
template<class Design>
void flows(benchmark::State& state)
{
    auto const event = static_cast<fleet_event>(state.range(0));
    state.SetLabel(std::string(event_names[static_cast<std::size_t>(event)]));
    for ([[maybe_unused]] auto _ : state)
    {
        outcome sum{};
        for (std::uint64_t const seed : seeds)
        {
            outcome const o = run<Design>(event, static_cast<std::size_t>(state.range(1)), seed);
            sum.flows += o.flows;
            sum.broken_before += o.broken_before;
            sum.broken += o.broken;
            sum.disrupted += o.disrupted;
            sum.lost_packets += o.lost_packets;
            sum.delayed_opens += o.delayed_opens;
            sum.imbalance += o.imbalance;
            sum.imbalance_after += o.imbalance_after;
            sum.control_bytes_per_s += o.control_bytes_per_s;
            sum.state_bytes_per_flow += o.state_bytes_per_flow;
        }
        constexpr double n = std::size(seeds);
        auto const all = static_cast<double>(sum.flows);
        state.counters["broken"] = static_cast<double>(sum.broken) / n;
        state.counters["broken%"] = 100 * static_cast<double>(sum.broken) / all;
        state.counters["touched%"] = 100 * static_cast<double>(sum.disrupted) / all;
        state.counters["before%"] = 100 * static_cast<double>(sum.broken_before) / all;
        state.counters["lost"] = static_cast<double>(sum.lost_packets) / n;
        state.counters["late_opens"] = static_cast<double>(sum.delayed_opens) / n;
        state.counters["imbalance"] = sum.imbalance / n;
        state.counters["imb_after"] = sum.imbalance_after / n;
        state.counters["ctl_B/s"] = sum.control_bytes_per_s / n;
        state.counters["B/flow"] = sum.state_bytes_per_flow / n;
    }
}

void all_events(benchmark::internal::Benchmark* b)
{
    for (int e = 0; e < static_cast<int>(fleet_event::count); ++e)
        b->Args({e, 1000});
    b->Iterations(1)->Unit(benchmark::kMillisecond);
}
BENCHMARK_TEMPLATE(flows, issued_ids)->Apply(all_events);
BENCHMARK_TEMPLATE(flows, rendezvous_alone)->Apply(all_events);
BENCHMARK_TEMPLATE(flows, maglev_alone)->Apply(all_events);
BENCHMARK_TEMPLATE(flows, hashing_with_exceptions)->Apply(all_events);

// Time to route one packet of an open flow with 14 upstreams, at 10,000 and 400,000 flows.
template<class Design>
void packet(benchmark::State& state)
{
    fleet f;
    fleet_config c = empty_config();
    c.key_epoch = 1;
    c.zones = {{only_zone, "zone"}};
    c.services = {{only_service, "service"}};
    for (std::uint32_t u = 0; u < initial_upstreams; ++u)
        c.upstreams.push_back({{u + 1},
                               "u" + std::to_string(u + 1),
                               only_service,
                               only_zone,
                               {0x0a010001 + u, 9000},
                               {1},
                               3,
                               2000});
    for (std::size_t g = 0; g < hashing_with_exceptions::kept_generations; ++g)
    {
        ++c.rev.value;
        c.exceptions.push_back(
            {"upstream/u" + std::to_string(g + 1), setting::weight, 50, "bench", "bench", 0});
        f.published.push_back(std::make_unique<generation>(c));
    }
    f.installed.fill(f.published.size() - 1);
    std::fill_n(f.running.begin(), initial_balancers, true);
    Design design(f);
    std::vector<flow> open(static_cast<std::size_t>(state.range(0)));
    std::mt19937_64 random(1);
    for (flow& x : open)
    {
        x.key = random();
        design.open(random() % initial_balancers, x);
    }
    std::size_t i = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(design.data(i % initial_balancers, open[i]));
        i = i + 1 == open.size() ? 0 : i + 1;
    }
}
BENCHMARK_TEMPLATE(packet, issued_ids)->Arg(10'000)->Arg(400'000);
BENCHMARK_TEMPLATE(packet, rendezvous_alone)->Arg(10'000)->Arg(400'000);
BENCHMARK_TEMPLATE(packet, maglev_alone)->Arg(10'000)->Arg(400'000);
BENCHMARK_TEMPLATE(packet, hashing_with_exceptions)->Arg(10'000)->Arg(400'000);

} // namespace
