// Runs one event against one flow design, with callers that send a packet every 250 ms through a
// balancer picked at random. The same seed gives every design the same callers, fabric and skew.
#ifndef CHIVELEVER_BENCH_FLOW_EXPERIMENT_HPP
#define CHIVELEVER_BENCH_FLOW_EXPERIMENT_HPP

#include "flow_designs.hpp"

#include <random>
#include <string_view>

namespace chivelever::experiment
{

inline constexpr std::uint32_t first_upstreams = 14;
inline constexpr std::uint32_t first_balancers = 9;
inline constexpr int ticks_per_second = 4; // one packet of each flow per tick
inline constexpr int event_tick = 6 * ticks_per_second;
inline constexpr int end_tick = 18 * ticks_per_second;
inline constexpr int skew_ticks = 3 * ticks_per_second; // a table reaches a balancer within 3 s
inline constexpr int detection_ticks = 2 * ticks_per_second; // until a crash is noticed
inline constexpr int churn = 200;       // one flow in `churn` is replaced per tick
inline constexpr int touched_ticks = 4; // a flow without a packet for 1 s counts as touched

enum class fleet_event : std::uint8_t
{
    none,
    join,
    restart,
    leave,
    crash,
    drain,
    add,
    weight,      // one upstream's weight is halved, with uneven tables
    six_changes, // six such changes, two seconds apart
    count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(fleet_event::count)>
    event_names{"none",  "join", "restart", "leave",      "crash",
                "drain", "add",  "weight",  "six_changes"};

struct outcome
{
    std::size_t flows{};
    std::size_t broken_before{}; // by the earlier change that every run begins with
    std::size_t broken{};        // by the event: a packet reached another upstream or none took it
    std::size_t touched{};       // broken, or no packet for a second
    std::size_t lost_packets{};
    std::size_t delayed_opens{}; // opens that had to be sent again
    double imbalance{};       // flows of the fullest upstream over the mean, after the first fill
    double imbalance_after{}; // the same at the end
    double control_bytes_per_s{};
    double state_bytes_per_flow{}; // at its highest
    bool operator==(outcome const&) const = default;
};

template<class Design>
class simulation
{
public:
    simulation(fleet_event event, std::size_t flows_per_upstream, std::uint64_t seed)
        : event_(event), random_(seed), flows_(flows_per_upstream * first_upstreams),
          design_(start())
    {
        out_.flows = flows_.size();
        for (std::size_t i = 0; i < flows_.size(); ++i)
            replace(flows_[i]);
        out_.imbalance = imbalance();
    }

    double first_imbalance() const { return out_.imbalance; }

    outcome run()
    {
        change_weight(3); // so that generations and exceptions exist when the event comes
        for (tick_ = 0; tick_ < end_tick; ++tick_)
        {
            install_tables();
            if (tick_ >= event_tick)
                play_event(tick_ - event_tick);
            for (std::size_t i = 0; i < flows_.size() / churn; ++i)
                replace(flows_[random_() % flows_.size()]);
            for (caller_flow& f : flows_)
                f.upstream == nowhere ? open(f) : send(f);
            out_.state_bytes_per_flow = std::max(out_.state_bytes_per_flow,
                                                 static_cast<double>(design_.flow_state_bytes()) /
                                                     static_cast<double>(flows_.size()));
        }
        out_.control_bytes_per_s =
            static_cast<double>(design_.control_bytes()) * ticks_per_second / end_tick;
        out_.imbalance_after = imbalance();
        return out_;
    }

private:
    struct caller_flow
    {
        flow id;
        int upstream{nowhere};
        int silent{}; // ticks without a packet that arrived
        bool broken{};
        bool touched{};
        bool open() const { return upstream != nowhere && !broken; }
    };

    // The fleet at the start: nine balancers with the same table.
    fleet const& start()
    {
        fleet_config c = empty_config();
        c.rev = {1};
        c.key_epoch = 1;
        c.zones = {{the_zone, "zone"}};
        c.services = {{the_service, "service"}};
        for (std::uint32_t u = 0; u < first_upstreams; ++u)
            add_upstream(c);
        fleet_.gens.push_back(std::make_unique<generation>(c));
        for (std::size_t b = 0; b < first_balancers; ++b)
            fleet_.running[b] = in_fabric_[b] = true;
        return fleet_;
    }
    static void add_upstream(fleet_config& c)
    {
        auto const u = static_cast<std::uint32_t>(c.upstreams.size());
        c.upstreams.push_back({{u + 1},
                               "u" + std::to_string(u + 1),
                               the_service,
                               the_zone,
                               {0x0a010001 + u, 9000},
                               {1},
                               3,
                               2000});
    }

    // A new table; each balancer installs it after a time of its own.
    template<class F>
    void change(F&& edit)
    {
        fleet_config c = fleet_.gens.back()->table.config();
        ++c.rev.value;
        edit(c);
        fleet_.gens.push_back(std::make_unique<generation>(std::move(c)));
        for (std::size_t b = 0; b < max_balancers; ++b)
            installs_.push_back(
                {tick_ + static_cast<int>(random_() % skew_ticks), b, fleet_.gens.size() - 1});
    }
    void change_weight(int upstream)
    {
        change(
            [&](fleet_config& c)
            {
                c.exceptions.push_back({"upstream/u" + std::to_string(upstream), setting::weight,
                                        50, "experiment", "bench", 0});
            });
    }
    void install_tables()
    {
        for (auto const& [at, balancer, gen] : installs_)
            if (at <= tick_ && gen > fleet_.at[balancer])
                fleet_.at[balancer] = gen;
    }

    void play_event(int since)
    {
        bool const first = since == 0;
        switch (event_)
        {
        case fleet_event::join:
            return first ? join(first_balancers) : void();
        case fleet_event::restart:
            if (first)
                leave(moved_ = design_.holder());
            return since == 2 * ticks_per_second ? join(moved_) : void();
        case fleet_event::leave:
            return first ? leave(design_.holder()) : void();
        case fleet_event::crash:
            return crash(since);
        case fleet_event::drain:
            return first ? change([](fleet_config& c)
                                  { c.upstreams[5].state = upstream_state::draining; })
                         : void();
        case fleet_event::add:
            return first ? change([](fleet_config& c) { add_upstream(c); }) : void();
        case fleet_event::weight:
            return first ? change_weight(7) : void();
        case fleet_event::six_changes:
            if (since % (2 * ticks_per_second) == 0 && since < 12 * ticks_per_second)
                change_weight(8 + since / (2 * ticks_per_second));
            return;
        default:
            return;
        }
    }
    void join(std::size_t balancer)
    {
        fleet_.running[balancer] = in_fabric_[balancer] = true;
        fleet_.at[balancer] = fleet_.gens.size() - 1;
        design_.on(balancer_event::joins, balancer);
    }
    void leave(std::size_t balancer)
    {
        fleet_.running[balancer] = in_fabric_[balancer] = false;
        design_.on(balancer_event::leaves, balancer);
    }
    // The pool's holder crashes, which is the worst case for the designs that have one.
    void crash(int since)
    {
        if (since == 0)
            fleet_.dead = design_.holder();
        if (since == detection_ticks)
        {
            fleet_.running[fleet_.dead] = in_fabric_[fleet_.dead] = false;
            design_.on(balancer_event::crashes, fleet_.dead);
        }
    }
    std::size_t any_balancer()
    {
        std::size_t b = 0;
        do
            b = random_() % max_balancers;
        while (!in_fabric_[b]);
        return b;
    }
    void replace(caller_flow& f)
    {
        if (f.open())
            design_.close(f.id, f.upstream);
        f = {};
        f.id.key = random_();
        open(f);
        out_.delayed_opens += f.upstream == nowhere;
    }
    void open(caller_flow& f)
    {
        std::size_t const b = any_balancer();
        f.upstream = b == fleet_.dead ? nowhere : design_.open(b, f.id);
    }
    void send(caller_flow& f)
    {
        std::size_t const b = any_balancer();
        if (f.broken)
            return;
        bool const after = tick_ >= event_tick;
        int const to = b == fleet_.dead ? nowhere : design_.data(b, f.id);
        if (to == nowhere && fleet_.dead != max_balancers && fleet_.running[fleet_.dead])
        {
            ++out_.lost_packets;
            if (++f.silent >= touched_ticks && !f.touched)
                touch(f);
            return;
        }
        f.silent = 0;
        if (to == f.upstream)
            return;
        f.broken = true;
        ++(after ? out_.broken : out_.broken_before);
        if (after && !f.touched)
            touch(f);
    }
    void touch(caller_flow& f)
    {
        f.touched = true;
        ++out_.touched;
    }
    double imbalance() const
    {
        std::array<std::size_t, 64> n{};
        std::size_t all = 0;
        for (caller_flow const& f : flows_)
            if (f.open())
            {
                ++n[static_cast<std::size_t>(f.upstream)];
                ++all;
            }
        return static_cast<double>(*std::max_element(n.begin(), n.end())) *
               static_cast<double>(fleet_.gens.back()->weights.size()) / static_cast<double>(all);
    }

    struct install
    {
        int tick;
        std::size_t balancer;
        std::size_t gen;
    };

    fleet_event event_;
    std::mt19937_64 random_;
    fleet fleet_;
    std::array<bool, max_balancers> in_fabric_{};
    std::vector<caller_flow> flows_;
    std::vector<install> installs_;
    Design design_;
    int tick_{};
    std::size_t moved_{}; // restarts
    outcome out_;
};

template<class Design>
outcome run(fleet_event event, std::size_t flows_per_upstream, std::uint64_t seed)
{
    return simulation<Design>(event, flows_per_upstream, seed).run();
}

} // namespace chivelever::experiment

#endif
