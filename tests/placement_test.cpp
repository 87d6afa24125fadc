#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <queue>
#include <random>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

std::string const desk = "desk";

placement_choice choose(edge_under_test& host)
{
    return host.place.choose({desk, {}, false}, host.view, host.flows, host.health, host.fleet,
                             host.now);
}

} // namespace

// Guards against needless cross-zone traffic, and against queues in one zone while another is idle.
TEST_CASE("the local zone is used first while it has free slots", "[edge][placement]")
{
    edge_under_test host({make_upstream(1, "akl"), make_upstream(2, "wlg")});
    flow_token const own = make_flow_token(make_upstream(1).name);
    for (int caller = 1; caller <= 2; ++caller)
    {
        CHECK(choose(host).upstream == own);
        host.handle(make_syn(caller));
    }
    // Both slots are in use: a third request would wait for a service time and goes elsewhere.
    CHECK(choose(host).upstream != own);
}

// Guards against new flows to upstreams that do not answer, and against refusing callers when all
// upstreams are suspected.
TEST_CASE("suspected upstreams are chosen only when no other is left", "[edge][placement]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const a = make_flow_token(make_upstream(1).name);
    flow_token const b = make_flow_token(make_upstream(2).name);
    host.health.record_failure(a, host.now);
    for (int i = 0; i < 20; ++i)
        CHECK(choose(host).upstream == b);
    host.health.record_failure(b, host.now);
    CHECK(choose(host).upstream.value != 0);
}

// Guards against several hosts that overload the same least loaded upstream.
TEST_CASE("load reported by other hosts counts like local load", "[edge][placement]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const a = make_flow_token(make_upstream(1).name);
    host.fleet.peer_load = [&](flow_token t) {
        return t == a ? upstream_load{4, 0, {}, 2.0, {}} : upstream_load{};
    };
    for (int i = 0; i < 20; ++i)
        CHECK(choose(host).upstream != a);
}

// Guards against hosts that see equal loads and all choose the first upstream.
TEST_CASE("ties between equally loaded upstreams are broken at random", "[edge][placement]")
{
    edge_under_test host({make_upstream(1), make_upstream(2), make_upstream(3), make_upstream(4)});
    std::map<std::uint32_t, int> taken;
    for (int i = 0; i < 4000; ++i)
        ++taken[choose(host).upstream.value];
    REQUIRE(taken.size() == 4);
    for (auto const& [token, times] : taken)
    {
        CHECK(times > 800);
        CHECK(times < 1200);
    }
}

// Guards against a cold upstream that receives more than its limit: the sum over all hosts must
// stay within rate * overage + slack in any second, although the hosts do not know each other's
// flows. Load: a zone returns cold, and its hosts have no other upstreams.
TEST_CASE("all hosts together stay within the limit of a cold upstream", "[edge][placement]")
{
    constexpr double rate = 10;
    constexpr int hosts = 4;
    upstream_entry cold = make_upstream(1);
    cold.cold_left_ms = 3000;
    std::vector<edge_under_test> fleet;
    fleet.reserve(hosts);
    operator_listing operators = make_operators(30, 2);
    operators.config->services[0].cold_requests_per_s = rate;
    for (int i = 0; i < hosts; ++i)
    {
        fleet.emplace_back(std::vector<upstream_entry>{cold});
        fleet.back().view.apply(operators, {30, {cold}}, edge_start, edge_start,
                                fleet.back().changes);
        fleet.back().fleet.hosts_in_zone = hosts;
    }
    std::vector<time_point> opened_at;
    for (time_point now = edge_start; now < edge_start + 2900ms; now += 1ms)
        for (edge_under_test& h : fleet)
        {
            h.now = now;
            if (choose(h).upstream.value != 0)
                opened_at.push_back(now);
        }
    std::size_t most = 0;
    for (std::size_t i = 0; i < opened_at.size(); ++i)
    {
        auto const end = std::ranges::upper_bound(opened_at, opened_at[i] + 1s - 1us);
        most = std::max(most, static_cast<std::size_t>(end - opened_at.begin()) - i);
    }
    CHECK(most <= static_cast<std::size_t>(rate * 1.5 + 5));
    CHECK(opened_at.size() > 10);
    // Hosts of other zones do not use it.
    placement elsewhere({"wlg", 1.5, 5}, 3);
    edge_under_test& h = fleet[0];
    h.now = edge_start;
    auto const c =
        elsewhere.choose({desk, {}, false}, h.view, h.flows, h.health, h.fleet, edge_start + 10ms);
    CHECK(c.upstream.value == 0);
    CHECK(c.candidates == 1);
}

namespace
{

// Response times of the simulated upstreams, in ms.
struct replay_result
{
    double mean_ms{};
    double p99_ms{};
};

enum class placement_rule
{
    by_placement,
    fewest_flows,
    random_choice
};

// Simulates single-request flows next to long flows at a given share of all slots. Each host
// decides by its own counts and by those of the other hosts, which are up to 200 ms old.
replay_result replay(placement_rule rule, double load, std::uint64_t seed)
{
    constexpr int hosts = 4;
    constexpr int upstream_count = 7;
    constexpr int slots = 2;
    constexpr double service_ms = 25;
    constexpr int long_callers = 120;
    constexpr int requests = 30'000;
    std::vector<upstream_entry> upstreams;
    upstreams.reserve(upstream_count);
    for (int i = 0; i < upstream_count; ++i)
        upstreams.push_back(make_upstream(i));
    std::vector<std::unique_ptr<edge_under_test>> fleet;
    std::vector<std::unordered_map<std::uint32_t, upstream_load>> reported_loads(hosts);
    std::mt19937_64 random(seed);
    for (int i = 0; i < hosts; ++i)
    {
        fleet.push_back(std::make_unique<edge_under_test>(upstreams));
        fleet.back()->place = placement({"akl", 1.5, 5}, seed + static_cast<std::uint64_t>(i));
        fleet.back()->fleet.peer_load = [&reported_loads, i](flow_token t)
        {
            upstream_load sum;
            for (int j = 0; j < hosts; ++j)
            {
                auto const it = reported_loads[static_cast<std::size_t>(j)].find(t.value);
                if (j == i || it == reported_loads[static_cast<std::size_t>(j)].end())
                    continue;
                sum.flows += it->second.flows;
                sum.mean_pending_requests += it->second.mean_pending_requests;
            }
            return sum;
        };
    }
    std::map<std::uint32_t, std::vector<double>> free_at; // ms, per slot
    for (upstream_entry const& e : upstreams)
        free_at[make_flow_token(e.name).value].assign(slots, 0.0);
    struct completion
    {
        double at;
        int host;
        int caller;
        bool operator>(completion const& o) const { return at > o.at; }
    };
    std::priority_queue<completion, std::vector<completion>, std::greater<>> answers;
    std::map<int, flow_token> long_flow;
    std::exponential_distribution<double> interarrival(load * upstream_count * slots / service_ms);
    std::exponential_distribution<double> service_time(1 / service_ms);
    std::vector<double> latencies_ms;
    double now_ms = 0;
    double next_report_ms = 0;
    int next_short_caller = 1'000'000;
    for (int n = 0; n < requests; ++n)
    {
        now_ms += interarrival(random);
        auto const at = [](double ms)
        { return edge_start + duration(static_cast<int>(ms * 1000)); };
        while (!answers.empty() && answers.top().at <= now_ms)
        {
            completion const d = answers.top();
            answers.pop();
            edge_under_test& h = *fleet[static_cast<std::size_t>(d.host)];
            h.now = at(d.at);
            flow_record* const f = h.flows.find(make_syn(d.caller).flow);
            if (f == nullptr)
                continue;
            h.handle(make_data(d.caller, f->upstream, f->next_sequence, f->acknowledged + 1000, 0));
            if (d.caller >= 1'000'000)
                h.flows.erase(make_syn(d.caller).flow, h.now);
        }
        if (now_ms >= next_report_ms)
        {
            for (int i = 0; i < hosts; ++i)
            {
                auto& host_flows = fleet[static_cast<std::size_t>(i)]->flows;
                auto& copy = reported_loads[static_cast<std::size_t>(i)];
                copy = host_flows.loads();
                for (auto& [token, load] : copy)
                    load.mean_pending_requests =
                        host_flows.mean_pending_requests({token}, at(now_ms));
            }
            next_report_ms = now_ms + 200;
        }
        bool const is_long = random() % 10 < 7;
        int const caller =
            is_long ? static_cast<int>(random() % long_callers) : ++next_short_caller;
        int const host = caller % hosts;
        edge_under_test& h = *fleet[static_cast<std::size_t>(host)];
        h.now = at(now_ms);
        h.confirm();
        flow_record* f = h.flows.find(make_syn(caller).flow);
        if (f == nullptr)
        {
            flow_token t;
            if (rule == placement_rule::by_placement)
                t = h.place.choose({desk, {}, is_long}, h.view, h.flows, h.health, h.fleet, h.now)
                        .upstream;
            else if (rule == placement_rule::random_choice)
                t = make_flow_token(upstreams[random() % upstream_count].name);
            else
            {
                auto const flows_at = [&](upstream_entry const& e)
                { return h.flows.load(make_flow_token(e.name)).flows; };
                t = make_flow_token(std::ranges::min_element(upstreams, {}, flows_at)->name);
            }
            f = &h.flows.open(make_syn(caller).flow, t, 1000, h.now);
            h.handle(make_data(caller, t, 1001, 5000, 0));
        }
        h.handle(make_data(caller, f->upstream, f->next_sequence, f->acknowledged, 100));
        auto& slot_times = free_at[f->upstream.value];
        auto const slot = std::ranges::min_element(slot_times);
        *slot = std::max(*slot, now_ms) + service_time(random);
        latencies_ms.push_back(*slot - now_ms);
        answers.push({*slot, host, caller});
    }
    std::ranges::sort(latencies_ms);
    double sum = 0;
    for (double const t : latencies_ms)
        sum += t;
    return {sum / requests, latencies_ms[static_cast<std::size_t>(requests * 0.99)]};
}

} // namespace

// Guards against a placement that performs worse than simple rules under its worst load: 70% of the
// requests on long flows that were placed before they became busy and 30% on single-request flows,
// at 45% and 60% of all slots.
TEST_CASE("placement performs better than simple rules under mixed flows", "[edge][placement]")
{
    for (double const load : {0.45, 0.6})
    {
        replay_result const placed = replay(placement_rule::by_placement, load, 11);
        replay_result const fewest_open = replay(placement_rule::fewest_flows, load, 11);
        replay_result const random = replay(placement_rule::random_choice, load, 11);
        WARN("load " << load << ": placement mean " << placed.mean_ms << " p99 " << placed.p99_ms
                     << " ms, fewest own flows " << fewest_open.mean_ms << " / "
                     << fewest_open.p99_ms << ", random " << random.mean_ms << " / "
                     << random.p99_ms);
        CHECK(placed.mean_ms <= fewest_open.mean_ms);
        CHECK(placed.p99_ms <= fewest_open.p99_ms);
        CHECK(placed.mean_ms < random.mean_ms);
    }
}

} // namespace chivelever
