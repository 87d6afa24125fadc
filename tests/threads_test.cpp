// Shared state under concurrent access; the thread sanitizer build runs the cases tagged [threads].
#include "coordination/coordination.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <unordered_map>
#include <vector>

using namespace chivelever;

namespace
{

constexpr int thread_count = 4;

template<class F>
void run_threads(F&& f)
{
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (int i = 0; i < thread_count; ++i)
        threads.emplace_back([&f, i] { f(i); });
    for (std::thread& t : threads)
        t.join();
}

routing_table_ptr make_table(std::uint64_t rev)
{
    fleet_config config = empty_config();
    config.rev = {rev};
    config.zones = {{{1}, "akl"}};
    config.services = {{{1}, "desk"}};
    upstream_config u;
    u.id = {1};
    u.name = "u1";
    u.service = {1};
    u.zone = {1};
    u.address = {0x7f000001, 9000};
    u.owner = {1};
    u.slots = 3;
    u.connections = 100'000;
    config.upstreams = {u};
    return std::make_shared<routing_table const>(config, host_list{}, "secret");
}

} // namespace

// Guards against lost updates and inconsistent state in shards used by several packet threads.
TEST_CASE("pools in shards take packets from several threads", "[threads]")
{
    using pool_map = std::unordered_map<pool_id, std::unique_ptr<pool>>;
    sharded<pool_map> pools;
    routing_table_ptr const table = make_table(1);
    pool_id const id{{1}, {1}};
    auto const with_pool = [&](auto&& f)
    {
        pools.with_shard(std::hash<pool_id>{}(id),
                         [&](pool_map& map)
                         {
                             auto& p = map[id];
                             if (!p)
                             {
                                 p = std::make_unique<pool>(id, host_instance{{1}, {1}}, 1, 1);
                                 p->update(table, time_point{});
                                 p->set_lease(time_point(std::chrono::hours(1)));
                             }
                             f(*p);
                         });
    };
    constexpr int opens = 500;
    run_threads(
        [&](int thread)
        {
            std::vector<send_packet> out;
            for (int i = 0; i < opens; ++i)
            {
                packet_view p;
                p.kind = packet_kind::open;
                p.flow = flow_kind::stream;
                p.service = {1};
                p.caller = {0x7f000002, static_cast<std::uint16_t>(1000 + thread)};
                out.clear();
                with_pool([&](pool& target)
                          { target.on_open(p, time_point(std::chrono::seconds(1)), out); });
            }
        });
    with_pool([&](pool& p) { CHECK(p.stats().opened == thread_count * opens); });
}

// Guards against a reader that sees a partially replaced table, or never sees the latest one.
TEST_CASE("readers of a published table see complete tables and the latest one", "[threads]")
{
    published<routing_table> tables(make_table(1));
    std::atomic<bool> inconsistent{false};
    constexpr std::uint64_t last = 200;
    run_threads(
        [&](int thread)
        {
            if (thread == 0)
            {
                for (std::uint64_t rev = 2; rev <= last; ++rev)
                    tables.set(make_table(rev));
                return;
            }
            published<routing_table>::reader reader(tables);
            while (reader.refresh()->rev().value < last)
                if (reader->find(upstream_id{1}) == nullptr)
                    inconsistent = true;
        });
    CHECK_FALSE(inconsistent);
}

TEST_CASE("the event ring and the hybrid clock keep order under several threads", "[threads]")
{
    event_ring ring(10'000);
    hybrid_clock clock;
    run_threads(
        [&](int thread)
        {
            for (int i = 0; i < 500; ++i)
                ring.add({clock.now(1000), {static_cast<std::uint16_t>(thread)}, "k", "s", ""});
        });
    auto const events = ring.select(0);
    REQUIRE(events.size() == thread_count * 500);
    for (std::size_t i = 1; i < events.size(); ++i)
        CHECK(events[i - 1].time < events[i].time);
}
