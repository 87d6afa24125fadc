// Store calls of the watchers during and after an outage of ten minutes.
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

constexpr std::int64_t second = 1'000'000; // times are in microseconds
constexpr std::int64_t outage_begin = 60 * second;
constexpr std::int64_t outage_end = outage_begin + 600 * second;
constexpr std::int64_t run_end = outage_end + 120 * second;
constexpr std::int64_t list_period = 2 * second; // interval between reads of the host list

// One watcher and its reads of the host list, as in the daemon.
struct watcher
{
    explicit watcher(fake_store& store) : follower(store, log, json_store_codec(), {"test"}) {}
    config_log log;
    store_watcher<fake_store> follower;
    jitter_backoff list_backoff;
};

struct call_rates
{
    std::uint64_t peak_during_outage{}; // most calls in one second during the outage
    std::uint64_t peak_after_outage{};  // most calls in one second after the outage
    std::int64_t synchronized_after{};  // seconds until the last watcher is synchronized
};

// Simulates the run on a virtual clock with `watcher_count` watchers.
call_rates simulate(std::size_t watcher_count)
{
    fake_store store;
    config_log writer;
    change_submitter<fake_store> submitter(store, writer, json_store_codec(), {"test"});
    REQUIRE(submitter.submit(sample::first_change(), {}).status == submit_status::accepted);
    std::mt19937_64 random(5);
    std::vector<std::unique_ptr<watcher>> watchers;
    // Time, watcher, and whether the step reads the host list.
    using scheduled_step = std::tuple<std::int64_t, std::size_t, bool>;
    std::priority_queue<scheduled_step, std::vector<scheduled_step>, std::greater<>> queue;
    for (std::size_t i = 0; i < watcher_count; ++i)
    {
        watchers.push_back(std::make_unique<watcher>(store));
        queue.emplace(static_cast<std::int64_t>(random() % 10'000'000), i, false);
        queue.emplace(static_cast<std::int64_t>(random() % 2'000'000), i, true);
    }
    call_rates result;
    std::vector<std::uint64_t> calls(static_cast<std::size_t>(run_end / second) + 1);
    while (!queue.empty() && std::get<0>(queue.top()) < run_end)
    {
        auto const [now, i, reads_list] = queue.top();
        queue.pop();
        store.fault.down = now >= outage_begin && now < outage_end;
        watcher& w = *watchers[i];
        std::uint64_t const before = store.calls;
        std::int64_t next = now;
        if (reads_list)
        {
            bool const ok = store.get("list").status != store_status::unreachable;
            if (ok)
                w.list_backoff.reset();
            next += ok ? list_period : w.list_backoff.next(random()).count();
        }
        else
        {
            watch_result const r = w.follower.step(random);
            next += r.pause.count();
            // The next step is a blocking call, which an outage cuts short.
            if (r.state == watch_state::watching && r.reachable)
                next = now < outage_begin ? std::min(now + watch_timeout.count(), outage_begin)
                                          : now + watch_timeout.count();
            if (now >= outage_end && r.applied > 0)
                result.synchronized_after =
                    std::max(result.synchronized_after, (now - outage_end) / second);
        }
        calls[static_cast<std::size_t>(now / second)] += store.calls - before;
        queue.emplace(next + 1, i, reads_list); // a call takes at least one microsecond
        if (now < outage_end && std::get<0>(queue.top()) >= outage_end)
        {
            store.fault.down = false;
            submitter.submit(sample::change(0, 2, {rotate_key{}}), {});
        }
    }
    auto const at = [&](std::int64_t t) { return calls.begin() + t / second; };
    result.peak_during_outage = *std::max_element(at(outage_begin), at(outage_end));
    result.peak_after_outage = *std::max_element(at(outage_end), calls.end() - 1);
    return result;
}

} // namespace

// Guards against a burst of reads when the store returns; the limit is 20% of 2,000 reads per
// second.
TEST_CASE("store calls stay below the bound through an outage with 420 hosts")
{
    // Two watchers in each of seven zones; other hosts make no store calls.
    call_rates const fleet = simulate(14);
    CAPTURE(fleet.peak_during_outage, fleet.peak_after_outage, fleet.synchronized_after);
    CHECK(fleet.peak_during_outage < 400);
    CHECK(fleet.peak_after_outage < 400);
    // Retries are at most 30 s apart (jitter_backoff::max_bound).
    CHECK(fleet.synchronized_after <= 31);
}
