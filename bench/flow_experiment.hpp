// Simulates one event under one flow design. Callers send a packet every 250 ms through a random
// balancer. For the same seed, all designs get the same callers, fabric and table install delays.
#ifndef CHIVELEVER_BENCH_FLOW_EXPERIMENT_HPP
#define CHIVELEVER_BENCH_FLOW_EXPERIMENT_HPP

#include "flow_designs.hpp"

#include <random>
#include <string_view>

namespace chivelever::experiment
{

inline constexpr std::uint32_t initial_upstreams = 14;
inline constexpr std::uint32_t initial_balancers = 9;
inline constexpr int ticks_per_second = 4; // one packet of each flow per tick
inline constexpr int event_tick = 6 * ticks_per_second;
inline constexpr int end_tick = 18 * ticks_per_second;
inline constexpr int max_install_delay_ticks = 3 * ticks_per_second; // tables arrive within 3 s
inline constexpr int detection_ticks = 2 * ticks_per_second;         // from the crash
inline constexpr int churn_divisor = 200;  // 1/200 of the flows are replaced per tick
inline constexpr int disruption_ticks = 4; // a flow without a delivered packet for 1 s is disrupted

enum class fleet_event : std::uint8_t
{
    none,
    join,
    restart,
    leave,
    crash,
    drain,
    add,
    weight,      // one upstream's weight is halved while tables differ
    six_changes, // six weight changes, 2 s apart
    count
};
inline constexpr std::array<std::string_view, static_cast<std::size_t>(fleet_event::count)>
    event_names{"none",  "join", "restart", "leave",      "crash",
                "drain", "add",  "weight",  "six_changes"};

struct outcome
{
    std::size_t flows{};
    std::size_t broken_before{}; // by the weight change at the start of every run
    std::size_t broken{};        // by the event: a packet reached another upstream or none
    std::size_t disrupted{};     // broken, or no delivered packet for 1 s
    std::size_t lost_packets{};
    std::size_t delayed_opens{}; // opens that needed a retry
    double imbalance{};          // max over mean of flows per upstream, after the initial fill
    double imbalance_after{};    // at the end of the run
    double control_bytes_per_s{};
    double state_bytes_per_flow{}; // maximum over the run
    bool operator==(outcome const&) const = default;
};

template<class Design>
class simulation
{
public:
    simulation(fleet_event event, std::size_t flows_per_upstream, std::uint64_t seed)
        : event_(event), random_(seed), flows_(flows_per_upstream * initial_upstreams),
          design_(initial_fleet())
    {
        outcome_.flows = flows_.size();
        for (std::size_t i = 0; i < flows_.size(); ++i)
            replace(flows_[i]);
        outcome_.imbalance = imbalance();
    }

    double initial_imbalance() const { return outcome_.imbalance; }

    outcome run()
    {
        change_weight(3); // gives the designs several generations before the event
        for (tick_ = 0; tick_ < end_tick; ++tick_)
        {
            install_tables();
            if (tick_ >= event_tick)
                apply_event(tick_ - event_tick);
            for (std::size_t i = 0; i < flows_.size() / churn_divisor; ++i)
                replace(flows_[random_() % flows_.size()]);
            for (caller_flow& f : flows_)
                f.upstream == no_upstream ? open(f) : send(f);
            outcome_.state_bytes_per_flow = std::max(
                outcome_.state_bytes_per_flow, static_cast<double>(design_.flow_state_bytes()) /
                                                   static_cast<double>(flows_.size()));
        }
        outcome_.control_bytes_per_s =
            static_cast<double>(design_.control_bytes()) * ticks_per_second / end_tick;
        outcome_.imbalance_after = imbalance();
        return outcome_;
    }

private:
    struct caller_flow
    {
        flow id;
        int upstream{no_upstream};
        int ticks_without_delivery{}; // consecutive
        bool broken{};
        bool disrupted{};
        bool open() const { return upstream != no_upstream && !broken; }
    };

    // Nine balancers with the same table.
    fleet const& initial_fleet()
    {
        fleet_config c = empty_config();
        c.rev = {1};
        c.key_epoch = 1;
        c.zones = {{only_zone, "zone"}};
        c.services = {{only_service, "service"}};
        for (std::uint32_t u = 0; u < initial_upstreams; ++u)
            add_upstream(c);
        fleet_.published.push_back(std::make_unique<generation>(c));
        for (std::size_t b = 0; b < initial_balancers; ++b)
            fleet_.running[b] = in_fabric_[b] = true;
        return fleet_;
    }
    static void add_upstream(fleet_config& c)
    {
        auto const u = static_cast<std::uint32_t>(c.upstreams.size());
        c.upstreams.push_back({{u + 1},
                               "u" + std::to_string(u + 1),
                               only_service,
                               only_zone,
                               {0x0a010001 + u, 9000},
                               {1},
                               3,
                               2000});
    }

    // Publishes a new table, which each balancer installs after a random delay.
    template<class F>
    void change(F&& edit)
    {
        fleet_config c = fleet_.published.back()->table.config();
        ++c.rev.value;
        edit(c);
        fleet_.published.push_back(std::make_unique<generation>(std::move(c)));
        for (std::size_t b = 0; b < max_balancers; ++b)
            pending_installs_.push_back(
                {tick_ + static_cast<int>(random_() % max_install_delay_ticks), b,
                 fleet_.published.size() - 1});
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
        for (auto const& [at, balancer, generation_index] : pending_installs_)
            if (at <= tick_ && generation_index > fleet_.installed[balancer])
                fleet_.installed[balancer] = generation_index;
    }

    void apply_event(int since)
    {
        bool const first = since == 0;
        switch (event_)
        {
        case fleet_event::join:
            return first ? join(initial_balancers) : void();
        case fleet_event::restart:
            if (first)
                leave(restarting_balancer_ = design_.holder());
            return since == 2 * ticks_per_second ? join(restarting_balancer_) : void();
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
        fleet_.installed[balancer] = fleet_.published.size() - 1;
        design_.on(balancer_event::joins, balancer);
    }
    void leave(std::size_t balancer)
    {
        fleet_.running[balancer] = in_fabric_[balancer] = false;
        design_.on(balancer_event::leaves, balancer);
    }
    // Crashes the pool's holder, the worst case for designs that have one.
    void crash(int since)
    {
        if (since == 0)
            fleet_.crashed = design_.holder();
        if (since == detection_ticks)
        {
            fleet_.running[fleet_.crashed] = in_fabric_[fleet_.crashed] = false;
            design_.on(balancer_event::crashes, fleet_.crashed);
        }
    }
    std::size_t random_balancer()
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
        outcome_.delayed_opens += f.upstream == no_upstream;
    }
    void open(caller_flow& f)
    {
        std::size_t const b = random_balancer();
        f.upstream = b == fleet_.crashed ? no_upstream : design_.open(b, f.id);
    }
    void send(caller_flow& f)
    {
        std::size_t const b = random_balancer();
        if (f.broken)
            return;
        bool const after_event = tick_ >= event_tick;
        int const to = b == fleet_.crashed ? no_upstream : design_.data(b, f.id);
        if (to == no_upstream && fleet_.crashed != max_balancers && fleet_.running[fleet_.crashed])
        {
            ++outcome_.lost_packets;
            if (++f.ticks_without_delivery >= disruption_ticks && !f.disrupted)
                mark_disrupted(f);
            return;
        }
        f.ticks_without_delivery = 0;
        if (to == f.upstream)
            return;
        f.broken = true;
        ++(after_event ? outcome_.broken : outcome_.broken_before);
        if (after_event && !f.disrupted)
            mark_disrupted(f);
    }
    void mark_disrupted(caller_flow& f)
    {
        f.disrupted = true;
        ++outcome_.disrupted;
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
               static_cast<double>(fleet_.published.back()->weights.size()) /
               static_cast<double>(all);
    }

    struct table_install
    {
        int tick;
        std::size_t balancer;
        std::size_t generation_index;
    };

    fleet_event event_;
    std::mt19937_64 random_;
    fleet fleet_;
    std::array<bool, max_balancers> in_fabric_{};
    std::vector<caller_flow> flows_;
    std::vector<table_install> pending_installs_;
    Design design_;
    int tick_{};
    std::size_t restarting_balancer_{}; // only for fleet_event::restart
    outcome outcome_;
};

template<class Design>
outcome run(fleet_event event, std::size_t flows_per_upstream, std::uint64_t seed)
{
    return simulation<Design>(event, flows_per_upstream, seed).run();
}

} // namespace chivelever::experiment

#endif
