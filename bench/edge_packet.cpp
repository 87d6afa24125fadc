// Time of one packet decision of chivelever-edge and memory per flow, at 10,000 and 400,000 open
// flows. `edge_token_only` is the lower bound for any forwarder: one lookup by the packet's token.
#include "tests/edge_fixture.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <random>

using namespace chivelever;

namespace
{

constexpr int upstream_count = 120; // of the largest service of the users' grown sites

std::vector<upstream_entry> service_upstreams()
{
    std::vector<upstream_entry> out;
    out.reserve(upstream_count);
    for (int i = 0; i < upstream_count; ++i)
        out.push_back(make_upstream(i, i % 3 == 0 ? "akl" : i % 3 == 1 ? "wlg" : "chc"));
    return out;
}

// A host with open flows, and a data packet of each in random order.
struct loaded_host
{
    edge_under_test host{service_upstreams()};
    std::vector<caller_packet> packets;
    double bytes_per_flow{};

    explicit loaded_host(int flows)
    {
        auto const upstreams = service_upstreams();
        std::mt19937 random(1);
        packets.reserve(static_cast<std::size_t>(flows));
        std::size_t const before = ::mallinfo2().uordblks;
        for (int caller = 0; caller < flows; ++caller)
        {
            flow_token const t = make_flow_token(upstreams[random() % upstream_count].name);
            packets.push_back(make_data(caller, t, 1001, 5000, 0));
            host.flows.add_existing(packets.back(), packets.back().token, host.now);
        }
        bytes_per_flow = static_cast<double>(::mallinfo2().uordblks - before) / flows;
        std::shuffle(packets.begin(), packets.end(), random);
    }
};

// Alternates requests and acknowledgements of their answers on flows in the host's flow table.
void edge_open_flow(benchmark::State& state)
{
    loaded_host h(static_cast<int>(state.range(0)));
    std::size_t i = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        caller_packet& p = h.packets[i];
        p.payload_bytes = p.payload_bytes == 0 ? 100 : 0;
        if (p.payload_bytes == 0)
        {
            p.sequence += 100;
            p.acknowledged += 1000;
        }
        benchmark::DoNotOptimize(h.host.router.handle({p, {}}, h.host.now));
        i = i + 1 == h.packets.size() ? 0 : i + 1;
    }
    state.counters["bytes_per_flow"] = h.bytes_per_flow;
}
BENCHMARK(edge_open_flow)->Arg(10'000)->Arg(400'000);

void edge_token_only(benchmark::State& state)
{
    loaded_host h(static_cast<int>(state.range(0)));
    std::size_t i = 0;
    for ([[maybe_unused]] auto _ : state)
    {
        benchmark::DoNotOptimize(h.host.view.find(h.packets[i].token));
        i = i + 1 == h.packets.size() ? 0 : i + 1;
    }
}
BENCHMARK(edge_token_only)->Arg(10'000)->Arg(400'000);

// Places a new flow on one of 120 upstreams, then erases it.
void edge_opening(benchmark::State& state)
{
    loaded_host h(static_cast<int>(state.range(0)));
    int caller = 1'000'000;
    for ([[maybe_unused]] auto _ : state)
    {
        caller_packet const p = make_syn(++caller);
        benchmark::DoNotOptimize(h.host.router.handle({p, {}}, h.host.now));
        h.host.flows.erase(p.flow, h.host.now);
        h.host.advance(std::chrono::microseconds(37)); // 27,000 new flows per second
        h.host.router.retries_due(h.host.now);
    }
}
BENCHMARK(edge_opening)->Arg(10'000)->Arg(400'000);

} // namespace
