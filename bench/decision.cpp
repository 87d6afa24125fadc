// Time of one routing decision at the target size: 420 hosts, 2,200 upstreams, 1,600 services.
#include "bench/target.hpp"

#include "coordination/coordination.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <random>

using namespace chivelever;

namespace
{

constexpr endpoint caller{0x0a000001, 40000};

// Routing table, cluster view and the ids of flows to random upstreams.
struct bench_fixture
{
    routing_table table{target_config(), {}, "secret"};
    cluster_view view = target_view();
    zone_ramp ramp;
    std::vector<encoded_flow_id> ids;

    bench_fixture(std::size_t flows, flow_kind kind)
    {
        flow_issuer issuer({{2}, {2}});
        std::mt19937_64 random(1);
        for (std::size_t i = 0; i < flows; ++i)
        {
            auto const& u = table.config().upstreams[random() % upstream_count];
            ids.push_back(kind == flow_kind::request
                              ? issuer.request({u.service, u.zone}, 30'000, table)
                              : issuer.stream(kind, u, table));
        }
    }
};

void measure_decisions(benchmark::State& state, packet_kind kind, flow_kind flow)
{
    bench_fixture const f(static_cast<std::size_t>(state.range(0)), flow);
    packet_view p;
    p.kind = kind;
    p.caller = caller;
    std::size_t i = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        p.flow_id = as_view(f.ids[i]);
        i = i + 1 == f.ids.size() ? 0 : i + 1;
        benchmark::DoNotOptimize(
            router{}.decide(p, caller, f.table, f.view, f.ramp, i, time_point{}));
    }
}

void decide_data(benchmark::State& state)
{
    measure_decisions(state, packet_kind::data, flow_kind::stream);
}
BENCHMARK(decide_data)->Arg(10'000)->Arg(400'000);

void decide_request(benchmark::State& state)
{
    measure_decisions(state, packet_kind::request, flow_kind::request);
}
BENCHMARK(decide_request)->Arg(10'000)->Arg(400'000);

void decide_open(benchmark::State& state)
{
    bench_fixture const f(1, flow_kind::stream);
    packet_view p;
    p.kind = packet_kind::open;
    p.flow = flow_kind::stream;
    p.caller = caller;
    std::uint32_t i = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        p.service = {1 + ++i % service_count};
        benchmark::DoNotOptimize(
            router{}.decide(p, caller, f.table, f.view, f.ramp, i, time_point{}));
    }
}
BENCHMARK(decide_open);

void verify_id(benchmark::State& state)
{
    bench_fixture const f(10'000, flow_kind::stream);
    std::size_t i = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(f.table.signer().verify(as_view(f.ids[i])));
        i = i + 1 == f.ids.size() ? 0 : i + 1;
    }
}
BENCHMARK(verify_id);

} // namespace
