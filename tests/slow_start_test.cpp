// Slow start of started or recovered upstreams: the rules, and a replay with edge routers.
#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

std::string const desk = "desk";
flow_token const recovering = make_flow_token(make_upstream(1).name);
flow_token const other = make_flow_token(make_upstream(2).name);
constexpr std::uint32_t slots = 2;
constexpr duration usual = 30ms;
constexpr duration objective = 300ms;

slow_start_query query(std::size_t rank = 0, std::size_t hosts = 1, std::uint32_t pending = 0,
                       bool in_contact = true)
{
    return {slots, pending, rank, hosts, true, in_contact};
}

// The slow start of one host that knows what responses usually take.
struct paced_host
{
    slow_start pace;
    time_point now{edge_start};

    paced_host()
    {
        for (int i = 0; i < 20; ++i)
            pace.record_response(other, desk, usual, objective, query(), now);
        pace.start(recovering, slow_start_cause::listed, slots, now, now);
    }
    // One request after the other, each with this response time, for a while.
    void respond(duration response_time, duration span, slow_start_query const& q = query())
    {
        for (time_point const until = now + span; now < until;)
        {
            now += response_time;
            pace.record_response(recovering, desk, response_time, objective, q, now);
        }
    }
    std::uint32_t allowed(std::size_t rank = 0, std::size_t hosts = 1, bool in_contact = true)
    {
        std::uint32_t pending = 0;
        while (pending < 100 &&
               pace.admits(recovering, query(rank, hosts, pending, in_contact), now))
            ++pending;
        return pending;
    }
};

} // namespace

// Guards against a recovered upstream that is flooded at once or left idle for long.
TEST_CASE("the level doubles with each round of good responses", "[slow_start]")
{
    paced_host h;
    CHECK(h.allowed() == 1);
    CHECK(h.pace.capacity_share(recovering, h.now) == Approx(0.25));
    h.respond(usual, usual);
    CHECK(h.allowed() == 2);
    CHECK(h.pace.capacity_share(recovering, h.now) == Approx(0.5));
    h.respond(usual, 2 * usual);
    CHECK(h.pace.capacity_share(recovering, h.now) == Approx(1));
    CHECK(h.allowed() == 4);
    h.respond(usual, 1100ms);
    CHECK_FALSE(h.pace.active(recovering));
    CHECK(h.allowed() == 100);
    auto const changes = h.pace.take_changes();
    REQUIRE(changes.size() == 4);
    CHECK(changes.front().cause == slow_start_cause::listed);
    CHECK(changes[1].response_time == usual);
    CHECK(changes[1].usual_time == usual);
    CHECK(changes.back().cause == slow_start_cause::full_share);
    CHECK(h.pace.take_changes().empty());
}

// Guards against a level that stays although the upstream cannot carry it, and against one incident
// that counts several times.
TEST_CASE("a slow response or a missing one halves the level", "[slow_start]")
{
    paced_host h;
    h.respond(usual, 3 * usual);
    REQUIRE(h.pace.capacity_share(recovering, h.now) == Approx(1));
    h.now += 90ms;
    h.pace.record_response(recovering, desk, 90ms, objective, query(), h.now);
    CHECK(h.allowed() == 2);
    h.now += 10ms;
    h.pace.record_response(recovering, desk, 95ms, objective, query(), h.now); // sent before
    CHECK(h.allowed() == 2);
    h.now += 100ms;
    h.pace.record_failure(recovering, h.now);
    h.pace.record_failure(recovering, h.now + 5ms);
    CHECK(h.allowed() == 1);
    h.now += 200ms;
    h.pace.record_failure(recovering, h.now);
    CHECK(h.allowed() == 1); // never idle
}

// Guards against an upstream whose entry says that it is ready while it cannot serve: the responses
// count. It must carry one request at a time for as long as they are slow.
TEST_CASE("an upstream that misreports its health stays at one request", "[slow_start]")
{
    paced_host h;
    h.respond(150ms, 30s);
    CHECK(h.pace.active(recovering));
    CHECK(h.allowed() == 1);
    CHECK(h.pace.capacity_share(recovering, h.now) == Approx(0.25));
    h.respond(usual, 3s); // it has recovered
    CHECK_FALSE(h.pace.active(recovering));
}

// Guards against hosts that all send their first request to the same upstream.
TEST_CASE("the level is divided among the hosts by rank", "[slow_start]")
{
    paced_host h;
    CHECK(h.allowed(0, 22) == 1);
    CHECK(h.allowed(1, 22) == 0);
    h.pace.record_report(7, {recovering, 100ms, 2}, slots, h.now + 100ms);
    h.now += 100ms;
    CHECK(h.allowed(1, 22) == 1);
    CHECK(h.allowed(2, 22) == 0);
    // The lowest recent level applies, and an old one expires.
    h.pace.record_report(8, {recovering, 100ms, 1}, slots, h.now);
    CHECK(h.allowed(1, 22) == 0);
    h.now += 1s;
    h.pace.record_report(7, {recovering, 1100ms, 2}, slots, h.now);
    h.now += 1100ms;
    CHECK(h.allowed(1, 22) == 1);
    // Hosts of other zones wait until its zone reports the full level.
    slow_start_query remote = query();
    remote.own_zone = false;
    CHECK_FALSE(h.pace.admits(recovering, remote, h.now));
    h.pace.record_report(7, {recovering, 2200ms, 4}, slots, h.now);
    CHECK(h.pace.admits(recovering, remote, h.now));
    CHECK_FALSE(h.pace.active(recovering));
}

// Guards against an upstream that stays idle after its owner has failed, or if the owner has no
// requests for the service.
TEST_CASE("the next host by rank takes over from a silent owner", "[slow_start]")
{
    paced_host h;
    CHECK(h.allowed(1, 22) == 0);
    CHECK(h.allowed(0, 22) == 1); // the ranks of living hosts move up at once
    h.now += 2s;
    CHECK(h.allowed(1, 22) == 1);
    CHECK(h.allowed(2, 22) == 0);
    // A report shows that the owner is active.
    h.pace.record_report(7, {recovering, 2s, 1}, slots, h.now);
    CHECK(h.allowed(1, 22) == 0);
}

// Guards against a host that raises its level without knowing those of the others.
TEST_CASE("a host that hears no other stays at one request", "[slow_start]")
{
    paced_host h;
    auto const alone = query(0, 22, 0, false);
    h.respond(usual, 9s, alone);
    CHECK(h.allowed(0, 22, false) == 1);
    CHECK(h.pace.active(recovering));
    h.respond(usual, 1100ms, alone); // 10 s of good responses
    CHECK_FALSE(h.pace.active(recovering));
}

// Guards against an upstream that keeps the level of an earlier run when it comes and goes, and
// against late reports that begin a completed slow start again.
TEST_CASE("each return of a flapping upstream begins a new slow start", "[slow_start]")
{
    paced_host h;
    for (int i = 0; i < 5; ++i)
    {
        h.respond(usual, 4s);
        CHECK_FALSE(h.pace.active(recovering));
        h.pace.record_report(7, {recovering, 4s, 2}, slots, h.now); // late
        CHECK_FALSE(h.pace.active(recovering));
        h.pace.start(recovering, slow_start_cause::returned, slots, h.now, h.now);
        CHECK(h.allowed() == 1);
        // The same return as reported by others, or shown by the store later.
        h.respond(usual, usual);
        h.pace.start(recovering, slow_start_cause::returned, slots, h.now, h.now);
        h.pace.start(recovering, slow_start_cause::restarted, slots, h.now + 5s, h.now + 5s);
        CHECK(h.allowed() == 2);
    }
}

// Guards against the new owner of an address that inherits the level of the earlier one.
TEST_CASE("the new owner of an address begins its own slow start", "[slow_start]")
{
    paced_host h;
    h.respond(usual, 3s);
    REQUIRE_FALSE(h.pace.active(recovering));
    deployment_view v;
    std::vector<view_change> changes;
    v.apply(make_operators(30, 1), {30, {make_upstream(1)}}, h.now, h.now, changes);
    changes.clear();
    upstream_entry owner = make_upstream(9);
    owner.address = make_upstream(1).address;
    owner.revision = 31;
    v.apply(make_operators(31, 1), {31, {owner}}, h.now, h.now, changes);
    flow_token const token = make_flow_token(owner.name);
    CHECK(std::ranges::any_of(changes, [&](view_change const& c)
                              { return c.kind == "upstream.listed" && c.subject == owner.name; }));
    h.pace.start(token, slow_start_cause::listed, slots, h.now, h.now);
    CHECK(h.pace.active(token));
    CHECK_FALSE(h.pace.admits(token, query(0, 1, 1), h.now));
}

// Guards against a host that was started meanwhile, or did not use the upstream while it was
// silent, and floods it.
TEST_CASE("the report of another host begins a slow start", "[slow_start]")
{
    slow_start pace;
    pace.record_report(7, {recovering, 3s, 2}, slots, edge_start);
    CHECK(pace.active(recovering));
    CHECK(pace.capacity_share(recovering, edge_start) == Approx(0.5));
    CHECK_FALSE(pace.admits(recovering, query(2, 22), edge_start));
    // A completed one is nothing to wait for.
    pace.record_report(7, {other, 3s, 4}, slots, edge_start);
    CHECK_FALSE(pace.active(other));
}

// Guards against slow start that weakens the limit of cold upstreams, and against a change of
// placement for services to which slow start does not apply.
TEST_CASE("placement applies slow start after the cold limit", "[slow_start][edge][placement]")
{
    upstream_entry cold = make_upstream(1);
    cold.cold_left_ms = 5000;
    edge_under_test host({cold});
    slow_start pace;
    pace.start(recovering, slow_start_cause::listed, slots, host.now, host.now);
    host.fleet.recoveries = &pace;
    auto const opened = [&](int first)
    {
        int placed = 0;
        for (int caller = first; caller < first + 50; ++caller)
            placed += host.handle(make_syn(caller)).action == packet_action::forward ? 1 : 0;
        return placed;
    };
    CHECK(opened(1) ==
          2); // cold limit 5 per second, half of it reserved; slow start does not apply
    host.advance(1100ms);
    host.fleet.slow_start_applies = [](std::string const&) { return true; };
    CHECK(opened(100) == 0); // one request allowed, two pending
    host.advance(200ms);
    for (int caller = 1; caller < 3; ++caller)
        host.flows.erase(make_syn(caller).flow, host.now);
    CHECK(opened(200) == 1);
    // The end of the slow start leaves the cold limit in force.
    for (int i = 0; i < 400; ++i)
        pace.record_response(recovering, desk, usual, objective, query(), host.now += 30ms);
    REQUIRE_FALSE(pace.active(recovering));
}

namespace
{

struct replay_result
{
    int arrived{};
    int late{};     // responses of the recovering upstreams after the objective
    int rejected{}; // requests that the recovering upstreams rejected
    int late_elsewhere{};
    int rejected_elsewhere{};
    int unplaced{};
    duration full_after{}; // time until all slow starts have ended
};

// A zone of 22 hosts and 40 upstreams with 2 slots and a queue of 8, at 0.3 of the slots. The first
// `recovering_count` upstreams return after 2 s, when the others carry all of the load, with empty
// caches: their service time is 12 times as long as usual and becomes normal within 2 s of work.
// Each host reports every 200 ms. In place of admission control, a host refuses requests above 2.5
// per slot of its share of the capacity.
replay_result replay(bool with_slow_start, int recovering_count, std::uint64_t seed)
{
    constexpr int hosts = 22;
    constexpr int upstream_count = 40;
    struct simulated_upstream
    {
        std::vector<time_point> ends; // of the accepted requests, ascending
        std::vector<time_point> slots_free{edge_start, edge_start};
        double work_ms{};
    };
    struct request
    {
        int host;
        int caller;
        flow_token to;
        time_point sent;
        bool rejected;
    };
    std::vector<upstream_entry> entries;
    std::map<std::uint32_t, simulated_upstream> upstreams;
    for (int i = 1; i <= upstream_count; ++i)
    {
        entries.push_back(make_upstream(i));
        upstreams[make_flow_token(entries.back().name).value].work_ms =
            i <= recovering_count ? 0 : 1e9;
    }
    std::vector<std::unique_ptr<edge_under_test>> zone;
    std::vector<slow_start> paces(hosts);
    std::vector<std::unordered_map<std::uint32_t, upstream_load>> reported(hosts);
    std::vector<upstream_entry> const others(entries.begin() + recovering_count, entries.end());
    time_point const returned = edge_start + 2s;
    for (std::size_t i = 0; i < hosts; ++i)
    {
        zone.push_back(std::make_unique<edge_under_test>(others));
        fleet_state& fleet = zone[i]->fleet;
        zone[i]->place = placement({"akl", 1.5, 5}, seed + i);
        fleet.hosts_in_zone = hosts;
        fleet.zone_rank = [i](flow_token t) { return (i + t.value) % hosts; };
        fleet.recoveries = &paces[i];
        fleet.slow_start_applies = [with_slow_start](std::string const&)
        { return with_slow_start; };
        fleet.peer_load = [&reported, i](flow_token t)
        {
            upstream_load sum;
            for (std::size_t j = 0; j < hosts; ++j)
                if (auto const at = reported[j].find(t.value); j != i && at != reported[j].end())
                    sum.mean_pending_requests += at->second.mean_pending_requests;
            return sum;
        };
        for (int n = 0; n < 20; ++n)
            paces[i].record_response(other, desk, usual, objective, query(), edge_start);
        for (int n = 1; with_slow_start && n <= recovering_count; ++n)
            paces[i].start(make_flow_token(make_upstream(n).name), slow_start_cause::returned,
                           slots, returned, returned);
    }
    replay_result out;
    std::multimap<time_point, request> responses;
    std::mt19937_64 random(seed);
    std::poisson_distribution<int> arrivals(0.3 * upstream_count * slots / 30.0); // per ms
    std::uniform_real_distribution<double> service(15, 45);
    auto const is_recovering = [&](flow_token t)
    {
        return std::ranges::any_of(entries.begin(), entries.begin() + recovering_count,
                                   [&](auto const& e) { return make_flow_token(e.name) == t; });
    };
    auto const settle = [&](request const& r, time_point now)
    {
        edge_under_test& h = *zone[static_cast<std::size_t>(r.host)];
        h.now = now;
        h.handle(make_data(r.caller, r.to, 1101, 6000, 0));
        h.flows.erase(make_syn(r.caller).flow, now);
        bool const at_recovering = is_recovering(r.to);
        if (r.rejected)
            ++(at_recovering ? out.rejected : out.rejected_elsewhere);
        else if (now - r.sent > objective)
            ++(at_recovering ? out.late : out.late_elsewhere);
    };
    int caller = 0;
    for (time_point now = edge_start; now < edge_start + 14s; now += 1ms)
    {
        while (!responses.empty() && responses.begin()->first <= now)
        {
            auto const next = responses.extract(responses.begin());
            settle(next.mapped(), now);
        }
        for (std::size_t i = 0; i < hosts; ++i)
        {
            if ((now - edge_start + static_cast<int>(i) * 9ms) % 200ms != duration{})
                continue;
            reported[i] = zone[i]->flows.loads();
            for (auto& [token, load] : reported[i])
                load.mean_pending_requests = zone[i]->flows.mean_pending_requests({token}, now);
            for (slow_start_report const& r : paces[i].reports(now))
                for (std::size_t j = 0; j < hosts; ++j)
                    if (j != i)
                        paces[j].record_report(static_cast<std::uint32_t>(i), r, slots, now);
        }
        for (auto const& host : zone)
            if (now == returned)
                host->view.apply(make_operators(21, 1), {21, entries}, now, now, host->changes);
        if (std::ranges::any_of(paces, [](slow_start const& p) { return p.active_count() > 0; }))
            out.full_after = now - returned;
        for (int n = arrivals(random); n > 0; --n)
        {
            int const host = ++caller % hosts;
            edge_under_test& h = *zone[static_cast<std::size_t>(host)];
            h.now = now;
            h.confirm();
            ++out.arrived;
            double capacity = 0;
            std::uint32_t pending = 0;
            for (upstream_entry const& e : entries)
                capacity += slots * paces[static_cast<std::size_t>(host)].capacity_share(
                                        make_flow_token(e.name), now);
            for (auto const& [token, load] : h.flows.loads())
                pending += load.pending_requests;
            if (pending >= std::max(1.0, 2.5 * capacity / hosts))
            {
                ++out.unplaced;
                continue;
            }
            auto const d = h.handle(make_syn(caller));
            if (d.action != packet_action::forward)
            {
                ++out.unplaced;
                continue;
            }
            h.handle(make_data(caller, d.token, 1001, 5000, 100));
            simulated_upstream& u = upstreams[d.token.value];
            std::erase_if(u.ends, [&](time_point e) { return e <= now; });
            bool const rejected = u.ends.size() >= slots + 8;
            time_point end = now + 1ms;
            if (!rejected)
            {
                auto const slot = std::ranges::min_element(u.slots_free);
                double const work = service(random);
                double const slowdown = 1 + 11 * std::max(0.0, 1 - u.work_ms / 2000);
                end = *slot =
                    std::max(*slot, now) + duration(static_cast<int>(1000 * work * slowdown)) + 1ms;
                u.work_ms += work * slowdown;
                u.ends.push_back(end);
            }
            responses.emplace(end, request{host, caller, d.token, now, rejected});
        }
    }
    return out;
}

} // namespace

// Guards against a pace that floods a recovering upstream, and against one that never reaches the
// full share or takes the capacity of a zone in which most upstreams recover. Ten seconds of good
// responses end a slow start at the latest.
TEST_CASE("slow start loses fewer requests at recovering upstreams", "[slow_start][edge]")
{
    for (int const recovering_count : {1, 26})
        for (std::uint64_t const seed : {1U, 2U, 3U})
        {
            replay_result const before = replay(false, recovering_count, seed);
            replay_result const after = replay(true, recovering_count, seed);
            WARN("recovering " << recovering_count << " of 40, seed " << seed << ": of "
                               << before.arrived << " late " << before.late << " -> " << after.late
                               << ", rejected " << before.rejected << " -> " << after.rejected
                               << "; elsewhere late " << before.late_elsewhere << " -> "
                               << after.late_elsewhere << ", rejected " << before.rejected_elsewhere
                               << " -> " << after.rejected_elsewhere << "; unplaced "
                               << before.unplaced << " -> " << after.unplaced
                               << "; full share after " << after.full_after / 1ms << " ms");
            CHECK(after.late + after.rejected < before.late + before.rejected);
            CHECK(after.full_after <= 10s);
        }
}

} // namespace chivelever
