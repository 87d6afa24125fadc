// Calls of the watchers to the store during an outage of ten minutes and after it.
#include "config_sample.hpp"
#include "fake_store.hpp"
#include "transport/transport.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <queue>
#include <vector>

using namespace chivelever;
using sample::fake_store;

namespace
{

constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t outage_begin = 60 * second;
constexpr std::int64_t outage_end = outage_begin + 600 * second;
constexpr std::int64_t run_end = outage_end + 120 * second;
constexpr std::int64_t list_period = 2 * second; // between reads of the host list

// One watcher and its reads of the host list, as in the daemon.
struct watcher
{
    explicit watcher(fake_store& store) : sync(store, log, json_store_codec(), {"test"}) {}
    config_log log;
    store_watcher<fake_store> sync;
    jitter_backoff list_backoff;
};

struct load
{
    std::uint64_t peak_out{};     // most calls in one second of the outage
    std::uint64_t peak_after{};   // most calls in one second after it
    std::int64_t in_step_after{}; // seconds until the last watcher was in step
};

// Plays the run on a virtual clock. `clients` of the fleet's hosts are watchers.
load play(std::size_t clients)
{
    fake_store store;
    config_log writer;
    change_submitter<fake_store> submitter(store, writer, json_store_codec(), {"test"});
    REQUIRE(submitter.submit(sample::first_change(), {}).status == submit_status::accepted);
    std::mt19937_64 random(5);
    std::vector<std::unique_ptr<watcher>> watchers;
    using due = std::tuple<std::int64_t, std::size_t, bool>; // time, watcher, reads the list
    std::priority_queue<due, std::vector<due>, std::greater<>> queue;
    for (std::size_t i = 0; i < clients; ++i)
    {
        watchers.push_back(std::make_unique<watcher>(store));
        queue.emplace(static_cast<std::int64_t>(random() % 10'000'000), i, false);
        queue.emplace(static_cast<std::int64_t>(random() % 2'000'000), i, true);
    }
    load result;
    std::vector<std::uint64_t> calls(static_cast<std::size_t>(run_end / second) + 1);
    while (!queue.empty() && std::get<0>(queue.top()) < run_end)
    {
        auto const [now, i, list] = queue.top();
        queue.pop();
        store.fault.down = now >= outage_begin && now < outage_end;
        watcher& w = *watchers[i];
        std::uint64_t const before = store.calls;
        std::int64_t next = now;
        if (list)
        {
            bool const ok = store.get("list").status != store_status::unreachable;
            if (ok)
                w.list_backoff.reset();
            next += ok ? list_period : w.list_backoff.next(random()).count();
        }
        else
        {
            watch_result const r = w.sync.step(random);
            next += r.pause.count();
            // The next step is a call that waits; an outage cuts it short.
            if (r.state == watch_state::watching && r.reachable)
                next = now < outage_begin ? std::min(now + watch_time.count(), outage_begin)
                                          : now + watch_time.count();
            if (now >= outage_end && r.applied > 0)
                result.in_step_after = std::max(result.in_step_after, (now - outage_end) / second);
        }
        calls[static_cast<std::size_t>(now / second)] += store.calls - before;
        queue.emplace(next + 1, i, list); // a call takes time
        if (now < outage_end && std::get<0>(queue.top()) >= outage_end)
        {
            store.fault.down = false;
            submitter.submit(sample::change(0, 2, {rotate_key{}}), {});
        }
    }
    auto const at = [&](std::int64_t t) { return calls.begin() + t / second; };
    result.peak_out = *std::max_element(at(outage_begin), at(outage_end));
    result.peak_after = *std::max_element(at(outage_end), calls.end() - 1);
    return result;
}

} // namespace

// Guards against a rush of reads when the store returns: 20% of 2,000 reads a second is the bound.
TEST_CASE("store calls stay below the bound through an outage with 420 hosts")
{
    load const fleet = play(14); // two watchers in each of seven zones; other hosts do not call
    CAPTURE(fleet.peak_out, fleet.peak_after, fleet.in_step_after);
    CHECK(fleet.peak_out < 400);
    CHECK(fleet.peak_after < 400);
    CHECK(fleet.in_step_after <= 31);
}
