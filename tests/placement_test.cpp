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

// Guards against bytes between zones that nobody needs, and against a zone that is left to queue
// while another one is idle.
TEST_CASE("the own zone is used first while it bears the load", "[edge][placement]")
{
    edge_under_test host({make_upstream(1, "akl"), make_upstream(2, "wlg")});
    flow_token const own = token_of(make_upstream(1).name);
    for (int caller = 1; caller <= 2; ++caller)
    {
        CHECK(choose(host).upstream == own);
        host.handle(make_syn(caller));
    }
    // Both slots are taken: a third request would wait for a service time, and goes elsewhere.
    CHECK(choose(host).upstream != own);
}

// Guards against new flows to upstreams that do not answer, and against refusing callers when all
// are suspected.
TEST_CASE("suspected upstreams are the last choice, not no choice", "[edge][placement]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const a = token_of(make_upstream(1).name);
    flow_token const b = token_of(make_upstream(2).name);
    host.health.failure(a, host.now);
    for (int i = 0; i < 20; ++i)
        CHECK(choose(host).upstream == b);
    host.health.failure(b, host.now);
    CHECK(choose(host).upstream.value != 0);
}

// Guards against two hosts that both see the same emptiest upstream and flood it.
TEST_CASE("load that other hosts report counts like the own", "[edge][placement]")
{
    edge_under_test host({make_upstream(1), make_upstream(2)});
    flow_token const a = token_of(make_upstream(1).name);
    host.fleet.other_load = [&](flow_token t) {
        return t == a ? upstream_load{4, 0, {}, 2.0, {}} : upstream_load{};
    };
    for (int i = 0; i < 20; ++i)
        CHECK(choose(host).upstream != a);
}

// Guards against hosts that see equal loads and all take the first one.
TEST_CASE("equal upstreams are taken in turn by chance", "[edge][placement]")
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

// Guards against a cold upstream that gets more than it bears: the sum over all hosts must stay
// within rate * overage + slack in any second, with hosts that know nothing of each other's flows.
// The load pattern: a zone comes back cold, and its hosts have nothing else to use.
TEST_CASE("a cold upstream gets no more than it bears from all hosts together", "[edge][placement]")
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
    std::vector<time_point> openings;
    for (time_point now = edge_start; now < edge_start + 2900ms; now += 1ms)
        for (edge_under_test& h : fleet)
        {
            h.now = now;
            if (choose(h).upstream.value != 0)
                openings.push_back(now);
        }
    std::size_t most = 0;
    for (std::size_t i = 0; i < openings.size(); ++i)
    {
        auto const end = std::ranges::upper_bound(openings, openings[i] + 1s - 1us);
        most = std::max(most, static_cast<std::size_t>(end - openings.begin()) - i);
    }
    CHECK(most <= static_cast<std::size_t>(rate * 1.5 + 5));
    CHECK(openings.size() > 10);
    // Hosts of other zones leave it alone.
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

// Work at upstreams with slots and queues, for the comparison below. Times in ms.
struct replay_result
{
    double mean_ms{};
    double p99_ms{};
};

enum class rule
{
    product,
    fewest_flows,
    random_choice
};

// One request a flow and long flows beside each other, at a given share of all slots. Each host
// decides with its own counts, and with those of the others as they were up to 200 ms ago.
replay_result replay(rule how, double load, std::uint64_t seed)
{
    constexpr int hosts = 4;
    constexpr int servers = 7;
    constexpr int slots = 2;
    constexpr double work_ms = 25;
    constexpr int long_callers = 120;
    constexpr int requests = 30'000;
    std::vector<upstream_entry> upstreams;
    upstreams.reserve(servers);
    for (int i = 0; i < servers; ++i)
        upstreams.push_back(make_upstream(i));
    std::vector<std::unique_ptr<edge_under_test>> fleet;
    std::vector<std::unordered_map<std::uint32_t, upstream_load>> shared(hosts);
    std::mt19937_64 random(seed);
    for (int i = 0; i < hosts; ++i)
    {
        fleet.push_back(std::make_unique<edge_under_test>(upstreams));
        fleet.back()->place = placement({"akl", 1.5, 5}, seed + static_cast<std::uint64_t>(i));
        fleet.back()->fleet.other_load = [&shared, i](flow_token t)
        {
            upstream_load sum;
            for (int j = 0; j < hosts; ++j)
            {
                auto const it = shared[static_cast<std::size_t>(j)].find(t.value);
                if (j == i || it == shared[static_cast<std::size_t>(j)].end())
                    continue;
                sum.flows += it->second.flows;
                sum.mean_waiting += it->second.mean_waiting;
            }
            return sum;
        };
    }
    std::map<std::uint32_t, std::vector<double>> free_at; // of each slot
    for (upstream_entry const& e : upstreams)
        free_at[token_of(e.name).value].assign(slots, 0.0);
    struct done
    {
        double at;
        int host;
        int caller;
        bool operator>(done const& o) const { return at > o.at; }
    };
    std::priority_queue<done, std::vector<done>, std::greater<>> answers;
    std::map<int, flow_token> long_flow;
    std::exponential_distribution<double> gap(load * servers * slots / work_ms);
    std::exponential_distribution<double> work(1 / work_ms);
    std::vector<double> took;
    double now_ms = 0;
    double next_share = 0;
    int fresh_caller = 1'000'000;
    for (int n = 0; n < requests; ++n)
    {
        now_ms += gap(random);
        auto const at = [](double ms)
        { return edge_start + duration(static_cast<int>(ms * 1000)); };
        while (!answers.empty() && answers.top().at <= now_ms)
        {
            done const d = answers.top();
            answers.pop();
            edge_under_test& h = *fleet[static_cast<std::size_t>(d.host)];
            h.now = at(d.at);
            flow_record* const f = h.flows.find(make_syn(d.caller).flow);
            if (f == nullptr)
                continue;
            h.handle(make_data(d.caller, f->upstream, f->sent_end, f->acknowledged + 1000, 0));
            if (d.caller >= 1'000'000)
                h.flows.erase(make_syn(d.caller).flow, h.now);
        }
        if (now_ms >= next_share)
        {
            for (int i = 0; i < hosts; ++i)
            {
                auto& host_flows = fleet[static_cast<std::size_t>(i)]->flows;
                auto& copy = shared[static_cast<std::size_t>(i)];
                copy = host_flows.loads();
                for (auto& [token, load] : copy)
                    load.mean_waiting = host_flows.mean_waiting({token}, at(now_ms));
            }
            next_share = now_ms + 200;
        }
        bool const is_long = random() % 10 < 7;
        int const caller = is_long ? static_cast<int>(random() % long_callers) : ++fresh_caller;
        int const host = caller % hosts;
        edge_under_test& h = *fleet[static_cast<std::size_t>(host)];
        h.now = at(now_ms);
        h.confirm();
        flow_record* f = h.flows.find(make_syn(caller).flow);
        if (f == nullptr)
        {
            flow_token t;
            if (how == rule::product)
                t = h.place.choose({desk, {}, is_long}, h.view, h.flows, h.health, h.fleet, h.now)
                        .upstream;
            else if (how == rule::random_choice)
                t = token_of(upstreams[random() % servers].name);
            else
            {
                auto const flows_at = [&](upstream_entry const& e)
                { return h.flows.load(token_of(e.name)).flows; };
                t = token_of(std::ranges::min_element(upstreams, {}, flows_at)->name);
            }
            f = &h.flows.open(make_syn(caller).flow, t, 1000, h.now);
            h.handle(make_data(caller, t, 1001, 5000, 0));
        }
        h.handle(make_data(caller, f->upstream, f->sent_end, f->acknowledged, 100));
        auto& slot_times = free_at[f->upstream.value];
        auto const slot = std::ranges::min_element(slot_times);
        *slot = std::max(*slot, now_ms) + work(random);
        took.push_back(*slot - now_ms);
        answers.push({*slot, host, caller});
    }
    std::ranges::sort(took);
    double sum = 0;
    for (double const t : took)
        sum += t;
    return {sum / requests, took[static_cast<std::size_t>(requests * 0.99)]};
}

} // namespace

// Guards against a rule that serves callers worse than the simple ones at the worst load. The load
// pattern: 70% of the requests on long flows that were placed before they turned busy, 30% on flows
// of their own, at 45% and 60% of all slots.
TEST_CASE("placement beats simple rules under mixed flows", "[edge][placement]")
{
    for (double const load : {0.45, 0.6})
    {
        replay_result const product = replay(rule::product, load, 11);
        replay_result const fewest = replay(rule::fewest_flows, load, 11);
        replay_result const random = replay(rule::random_choice, load, 11);
        WARN("load " << load << ": product mean " << product.mean_ms << " p99 " << product.p99_ms
                     << " ms, fewest own flows " << fewest.mean_ms << " / " << fewest.p99_ms
                     << ", random " << random.mean_ms << " / " << random.p99_ms);
        CHECK(product.mean_ms <= fewest.mean_ms);
        CHECK(product.p99_ms <= fewest.p99_ms);
        CHECK(product.mean_ms < random.mean_ms);
    }
}

} // namespace chivelever
