// Memory and time of a host's largest data structures at the target size (docs/CAPACITY.md).
#include "bench/target.hpp"

#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>
#include <vector>

namespace
{

using namespace chivelever;

double heap_kb()
{
    auto const m = mallinfo2();
    return static_cast<double>(m.uordblks + m.hblkhd) / 1024;
}

// Every configuration change, about 1,200 a day, replaces the whole table.
void install_table(benchmark::State& state)
{
    fleet_config const config = target_config();
    double kb = 0;
    while (state.KeepRunning())
    {
        double const before = heap_kb();
        auto const table = std::make_unique<routing_table const>(config, host_list{}, "secret");
        kb = heap_kb() - before;
        benchmark::DoNotOptimize(table.get());
    }
    state.counters["heap_kb"] = kb;
}
BENCHMARK(install_table)->Unit(benchmark::kMillisecond);

void encode_document(benchmark::State& state)
{
    fleet_config const config = target_config();
    std::size_t bytes = 0;
    while (state.KeepRunning())
    {
        std::string const text = encode(config);
        bytes = text.size();
        benchmark::DoNotOptimize(text.data());
    }
    state.counters["document_kb"] = static_cast<double>(bytes) / 1024;
}
BENCHMARK(encode_document)->Unit(benchmark::kMillisecond);

// Opens streams at the holder of a pool, which tracks them until they close.
void open_streams(benchmark::State& state)
{
    auto const table =
        std::make_shared<routing_table const>(target_config(), host_list{}, "secret");
    upstream_config const& u = table->config().upstreams.front();
    auto const flows = static_cast<std::size_t>(state.range(0));
    double kb = 0;
    while (state.KeepRunning())
    {
        double const before = heap_kb();
        pool p({u.service, u.zone}, {{1}, {1}}, 1, 1);
        p.update(table, time_point{});
        p.set_lease(time_point(std::chrono::hours(1)));
        std::vector<send_packet> out;
        packet_view open;
        open.kind = packet_kind::open;
        open.flow = flow_kind::stream;
        open.service = u.service;
        open.caller = {0x0a030001, 5000};
        for (std::size_t i = 0; i < flows; ++i)
        {
            out.clear();
            p.on_open(open, time_point(std::chrono::seconds(1)), out);
        }
        kb = heap_kb() - before;
    }
    state.counters["bytes_per_flow"] = kb * 1024 / static_cast<double>(flows);
    state.counters["opens"] = benchmark::Counter(static_cast<double>(flows),
                                                 benchmark::Counter::kIsIterationInvariantRate);
}
BENCHMARK(open_streams)->Arg(2000)->Unit(benchmark::kMillisecond);

} // namespace
