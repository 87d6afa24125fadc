// Replays the competing load of docs/hard-load.md on a simulated service, without a network.
#include "admission/admission.hpp"
#include "coordination/coordination.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

enum class policy
{
    capacity,
    answer_time,
    plain_limit, // of pending requests, the same for each host and priority
    ideal_queue  // one queue for all slots, offers first, without requests that would be late
};

struct replay_settings
{
    policy by{policy::capacity};
    double load{1.39}; // of all slots
    std::size_t hosts{66};
    bool reports{true};
    double greedy_caller{}; // share of all requests that one caller sends
    double first_zone{1.0 / 3};
    std::uint64_t seed{1};
};

struct outcome
{
    double requests{};
    double served{}; // late ones included
    double late{};
    double rejected{}; // by upstreams
    double refused_openings{};
    double served_share() const { return served / requests; }
    double late_share() const { return late / std::max(served, 1.0); }
    outcome operator+(outcome const& o) const
    {
        return {requests + o.requests, served + o.served, late + o.late, rejected + o.rejected,
                refused_openings + o.refused_openings};
    }
};

constexpr std::size_t zones = 3;
constexpr std::size_t greedy_group = zones; // of requests; the other groups are zones
constexpr double warm_up_ms = 1000;         // at half load, not counted
constexpr double burst_ms = 4000;
constexpr double report_period_ms = 100;
constexpr std::size_t report_age = 4; // periods
constexpr double network_ms = 7;      // caller to upstream and back
constexpr double plain_depth = 2.5;   // requests per slot
constexpr int max_attempts = 3;
constexpr double offer_share = 1500.0 / (1500 + 9184);
constexpr std::array<double, 2> work_ms{39, 30}; // offer, check
constexpr duration objective = 300ms;
std::string const desk = "desk";
std::array<std::string, zones> const zone_names{"a", "b", "c"};

class replay
{
public:
    explicit replay(replay_settings const& settings);
    // Results by group and priority (0: offers, 1: checks).
    std::array<std::array<outcome, 2>, zones + 1> results{};
    outcome total(std::size_t priority) const
    {
        outcome sum;
        for (auto const& group : results)
            sum = sum + group[priority];
        return sum;
    }
    outcome total() const { return total(0) + total(1); }

private:
    struct request
    {
        double since;
        std::size_t priority, group, host;
        bool had_free_slot;
    };
    struct event
    {
        double at;
        std::size_t upstream; // or no_upstream: an arrival
        request of;
        bool operator>(event const& o) const { return at > o.at; }
    };
    struct upstream
    {
        std::size_t busy{};
        std::array<std::deque<request>, 2> queues; // the second one by the ideal queue only
    };
    struct host
    {
        capacity_admission capacity{admission_settings{true}};
        overload_control answer_time;
        std::vector<double> pending; // by upstream
        std::vector<std::size_t> order;
        std::size_t next{};
        std::array<zone_room, zones> rooms;
        std::vector<zone_demand> demands;
        std::deque<zone_demand> reports;
        double total() const { return std::accumulate(pending.begin(), pending.end(), 0.0); }
    };
    static constexpr std::size_t no_upstream = ~std::size_t{};

    static time_point time(double ms) { return time_point(1h) + duration(std::int64_t(ms * 1000)); }
    static std::size_t zone_of(std::size_t host_number) { return host_number % zones; }
    outcome& count(request const& r)
    {
        return r.since < warm_up_ms ? ignored_ : results[r.group][r.priority];
    }
    void arrive(double now);
    bool admits(request const& r, std::uint32_t caller, double now);
    void place(request r, double now);
    void begin(std::size_t at, request const& r, double now);
    void complete(event const& e);
    void exchange_reports(double now);

    replay_settings settings_;
    std::size_t slots_, queue_limit_;
    std::mt19937_64 random_;
    std::vector<host> hosts_;
    std::vector<upstream> upstreams_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    outcome ignored_;
};

replay::replay(replay_settings const& settings)
    : settings_(settings), slots_(settings.by == policy::ideal_queue ? 240 : 2),
      queue_limit_(settings.by == policy::ideal_queue ? 1'000'000 : 8), random_(settings.seed),
      hosts_(settings.hosts), upstreams_(240 / slots_)
{
    for (host& h : hosts_)
    {
        h.pending.resize(upstreams_.size());
        h.order.resize(upstreams_.size());
        std::iota(h.order.begin(), h.order.end(), std::size_t{});
        std::ranges::shuffle(h.order, random_);
        for (std::size_t z = 0; z < zones; ++z)
            h.rooms[z] = {zone_names[z], 80, 0};
    }
    double next_report = 0;
    events_.push({0, no_upstream, {}});
    while (!events_.empty())
    {
        event const e = events_.top();
        events_.pop();
        while (next_report <= e.at)
        {
            exchange_reports(next_report);
            next_report += report_period_ms;
        }
        if (e.upstream == no_upstream)
            arrive(e.at);
        else
            complete(e);
    }
}

void replay::arrive(double now)
{
    double const mean_work_ms = offer_share * work_ms[0] + (1 - offer_share) * work_ms[1];
    double const load = now < warm_up_ms ? 0.5 : settings_.load;
    if (now < warm_up_ms + burst_ms)
        events_.push({now + std::exponential_distribution(load * 240 / mean_work_ms)(random_),
                      no_upstream,
                      {}});
    std::uniform_real_distribution<double> uniform(0, 1);
    std::size_t const priority = uniform(random_) < offer_share ? 0 : 1;
    bool const greedy = now >= warm_up_ms && uniform(random_) < settings_.greedy_caller;
    std::uint32_t const caller = greedy ? 0 : 1 + static_cast<std::uint32_t>(random_() % 1000);
    std::size_t const zone =
        uniform(random_) < settings_.first_zone ? 0 : 1 + random_() % (zones - 1);
    request r{now, priority, greedy ? greedy_group : zone, 0, false};
    count(r).requests += 1;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        r.host = zone + zones * (random_() % (hosts_.size() / zones));
        if (admits(r, caller, now))
            return place(r, now);
        count(r).refused_openings += 1;
    }
}

bool replay::admits(request const& r, std::uint32_t caller, double now)
{
    host& h = hosts_[r.host];
    auto const priority = static_cast<std::uint32_t>(r.priority + 1);
    endpoint const route{1, static_cast<std::uint16_t>(priority)};
    endpoint const from{caller, 1};
    switch (settings_.by)
    {
    case policy::ideal_queue:
        return true;
    case policy::answer_time:
        return h.answer_time.admits(desk, priority, from, time(now));
    case policy::plain_limit:
        return h.total() < plain_depth * 240 / static_cast<double>(hosts_.size());
    case policy::capacity:
        break;
    }
    h.rooms[0].own_pending = h.total();
    h.capacity.record_opening(desk, route, priority, objective, time(now));
    bool const admitted = h.capacity
                              .admit({desk, route, priority, objective, from,
                                      zone_names[zone_of(r.host)], h.rooms, h.demands},
                                     time(now))
                              .admitted;
    if (admitted)
        h.capacity.record_request(desk, priority, time(now));
    return admitted;
}

// Uses the upstreams with the least own pending requests of the host in turn.
void replay::place(request r, double now)
{
    host& h = hosts_[r.host];
    std::size_t best = h.next;
    for (std::size_t i = 0; i < h.order.size(); ++i)
    {
        std::size_t const candidate = (h.next + i) % h.order.size();
        if (h.pending[h.order[candidate]] < h.pending[h.order[best]])
            best = candidate;
    }
    h.next = (best + 1) % h.order.size();
    std::size_t const chosen = h.order[best];
    upstream& u = upstreams_[chosen];
    r.had_free_slot = u.busy < slots_;
    std::size_t const queue = settings_.by == policy::ideal_queue ? r.priority : 0;
    if (!r.had_free_slot && u.queues[queue].size() >= queue_limit_)
    {
        count(r).rejected += 1;
        h.answer_time.answered(desk, duration(1ms), objective, time(now));
        return;
    }
    h.pending[chosen] += 1;
    if (r.had_free_slot)
        begin(chosen, r, now);
    else
        u.queues[queue].push_back(r);
}

void replay::begin(std::size_t at, request const& r, double now)
{
    ++upstreams_[at].busy;
    std::gamma_distribution<double> work(4, work_ms[r.priority] / 4);
    events_.push({now + work(random_), at, r});
}

void replay::complete(event const& e)
{
    double const latency_ms = e.at - e.of.since + network_ms;
    auto const answer_time = duration(static_cast<std::int64_t>(latency_ms * 1000));
    host& h = hosts_[e.of.host];
    count(e.of).served += 1;
    count(e.of).late += answer_time > objective ? 1 : 0;
    h.pending[e.upstream] -= 1;
    h.answer_time.answered(desk, answer_time, objective, time(e.at));
    h.capacity.record_answer(desk, answer_time, e.of.had_free_slot);
    upstream& u = upstreams_[e.upstream];
    --u.busy;
    for (auto& queue : u.queues)
        while (u.busy < slots_ && !queue.empty())
        {
            request const next = queue.front();
            queue.pop_front();
            bool const too_late = e.at - next.since + 2 * work_ms[0] + network_ms > 300;
            if (settings_.by != policy::ideal_queue || !too_late)
                begin(e.upstream, next, e.at);
        }
}

// Each host gets what the others reported some periods ago.
void replay::exchange_reports(double now)
{
    std::array<zone_demand, zones> sums;
    for (std::size_t n = 0; n < hosts_.size(); ++n)
    {
        host& h = hosts_[n];
        h.reports.push_back({{}, 1, h.total(), h.capacity.demand(desk, time(now)), 400ms, true});
        if (h.reports.size() > report_age + 1)
            h.reports.pop_front();
        zone_demand& sum = sums[zone_of(n)];
        sum.zone = zone_names[zone_of(n)];
        sum.hosts += 1;
        sum.heard = true;
        sum.age = 400ms;
        sum.other_pending += h.reports.front().other_pending;
        for (auto const& [priority, slots] : h.reports.front().slots_by_priority)
            sum.slots_by_priority[priority] += slots;
    }
    for (std::size_t n = 0; n < hosts_.size(); ++n)
    {
        host& h = hosts_[n];
        zone_demand own = sums[zone_of(n)];
        own.other_pending -= h.reports.front().other_pending;
        for (auto const& [priority, slots] : h.reports.front().slots_by_priority)
            own.slots_by_priority[priority] -= slots;
        if (!settings_.reports)
            h.demands = {{own.zone, own.hosts, 0, {}, {}, false}};
        else
        {
            h.demands.assign(sums.begin(), sums.end());
            h.demands[zone_of(n)] = own;
        }
    }
}

std::ostream& operator<<(std::ostream& out, outcome const& o)
{
    return out << "served " << o.served_share() << ", late " << o.late_share() << ", rejected "
               << o.rejected / o.requests << ", refused openings " << o.refused_openings;
}

// Sums of three seeds.
struct summary
{
    outcome offers, checks;
    outcome all() const { return offers + checks; }
};

summary run(replay_settings settings, std::string const& label)
{
    summary sum;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        settings.seed = seed;
        replay const r(settings);
        sum.offers = sum.offers + r.total(0);
        sum.checks = sum.checks + r.total(1);
    }
    WARN(label << "\n offers: " << sum.offers << "\n checks: " << sum.checks
               << "\n all: " << sum.all());
    return sum;
}

// The targets of docs/hard-load.md.
constexpr double min_offers_served = 0.97;
constexpr double max_late = 0.03;
constexpr double max_rejected = 0.05;

void check_targets(summary const& s, bool offers = true)
{
    CHECK((!offers || s.offers.served_share() >= min_offers_served));
    CHECK(s.all().late_share() < max_late);
    CHECK(s.all().rejected < max_rejected * s.all().requests);
}

} // namespace

// Guards against upstreams that are left to reject whatever arrives, against late responses, and
// against checks that take the capacity of offers.
TEST_CASE("offers are served while the load exceeds the capacity", "[admission][capacity]")
{
    summary const capacity = run({}, "capacity_admission");
    summary const answer_time = run({.by = policy::answer_time}, "overload_control");
    summary const plain = run({.by = policy::plain_limit}, "plain limit per host");
    summary const ideal = run({.by = policy::ideal_queue}, "ideal queue");
    check_targets(capacity);
    CHECK(capacity.offers.served_share() > answer_time.offers.served_share());
    CHECK(capacity.offers.served_share() > plain.offers.served_share());
    CHECK(capacity.offers.served_share() >= ideal.offers.served_share() - (1 - min_offers_served));
    CHECK(capacity.all().rejected < answer_time.all().rejected);
}

// Guards against limits that depend on the number of hosts: with few hosts they are coarse shares
// of many requests, with 300 hosts each has two to five.
TEST_CASE("the targets hold in small and large fleets", "[admission][capacity]")
{
    check_targets(run({.hosts = 9}, "9 hosts"));
    check_targets(run({.hosts = 300}, "300 hosts"), false);
}

// Listed in KNOWN-RED.txt. Guards against the loss of priority where a host's limit is two
// requests.
TEST_CASE("offers are served by a fleet of 300 hosts", "[admission][capacity]")
{
    check_targets(run({.hosts = 300}, "300 hosts"));
}

// Guards against hosts that exceed the capacity together, or refuse all, when they hear no one.
TEST_CASE("the targets hold without reports of other hosts", "[admission][capacity]")
{
    check_targets(run({.reports = false}, "without reports"));
}

// Guards against refusals caused by random peaks at a single host.
TEST_CASE("nothing is refused at half load", "[admission][capacity]")
{
    for (std::size_t const hosts : {9, 66, 300})
        for (bool const reports : {true, false})
        {
            summary const s = run({.load = 0.5, .hosts = hosts, .reports = reports},
                                  std::to_string(hosts) + " hosts at half load");
            outcome const all = s.all();
            CHECK(all.requests == all.served + all.rejected); // no caller was refused for good
            if (hosts <= 66)
                CHECK(all.refused_openings == 0);
        }
}

// Guards against one of a thousand callers that takes the capacity of the others by sending 0.4 of
// the requests. Refusals that do not look at the caller would serve each at most 1/1.39.
TEST_CASE("a greedy caller is refused before the others", "[admission][capacity]")
{
    replay const r({.greedy_caller = 0.4});
    outcome const others = r.results[0][1] + r.results[1][1] + r.results[2][1];
    outcome const greedy = r.results[greedy_group][1];
    WARN("checks of the greedy caller: " << greedy << "\n of the others: " << others);
    CHECK(others.served_share() > 1 / 1.39);
    CHECK(others.served_share() > 2 * greedy.served_share());
}

// Guards against a zone with 0.7 of the requests that takes the capacity of the others, whose
// demand is below their share. These may lose what the targets allow for.
TEST_CASE("a greedy zone does not take the capacity of the others", "[admission][capacity]")
{
    replay const r({.first_zone = 0.7});
    outcome const others = r.results[1][0] + r.results[1][1] + r.results[2][0] + r.results[2][1];
    outcome const greedy = r.results[0][0] + r.results[0][1];
    WARN("greedy zone: " << greedy << "\n others: " << others);
    CHECK(others.served_share() > 1 - max_late - max_rejected);
    CHECK(others.served_share() > greedy.served_share());
}

} // namespace chivelever
