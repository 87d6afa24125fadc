// Three designs for routing the packets of a flow without a shared state, for the experiment that
// compares them (docs/notes/flows.md). One zone, one service; every balancer has its own table.
#ifndef CHIVELEVER_BENCH_FLOW_DESIGNS_HPP
#define CHIVELEVER_BENCH_FLOW_DESIGNS_HPP

#include "coordination/coordination.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <unordered_map>
#include <vector>

namespace chivelever::experiment
{

inline constexpr std::size_t max_balancers = 10;
inline constexpr std::size_t maglev_size = 65537;
inline constexpr int nowhere = -1; // lost, or answered given_up
inline constexpr zone_id the_zone{1};
inline constexpr service_id the_service{1};

// One revision of the table with what each design derives from it.
struct generation
{
    routing_table table;
    std::vector<double> weights;      // by upstream index; 0: takes no new work
    std::vector<std::int16_t> maglev; // slot -> upstream index

    explicit generation(fleet_config c) : table(std::move(c), {}, "secret")
    {
        for (upstream_config const& u : table.config().upstreams)
            weights.push_back(table.takes_new_work(u)
                                  ? static_cast<double>(effective(table.config(), setting::weight,
                                                                  u.service, u.zone, u.id))
                                  : 0);
        fill_maglev();
    }

    int by_maglev(std::uint64_t flow) const { return maglev[hash_pair(flow, 1) % maglev_size]; }
    int by_rendezvous(std::uint64_t flow) const
    {
        int best = nowhere;
        double best_score = 0;
        for (std::size_t u = 0; u < weights.size(); ++u)
            if (double const s = rendezvous_score(flow, u, weights[u]); s > best_score)
            {
                best = static_cast<int>(u);
                best_score = s;
            }
        return best;
    }

private:
    // Each upstream takes the next free slot of its own permutation in turn, as often as its weight
    // allows.
    void fill_maglev()
    {
        maglev.assign(maglev_size, nowhere);
        std::size_t const n = weights.size();
        double const top = *std::max_element(weights.begin(), weights.end());
        std::vector<std::uint64_t> next(n, 0);
        std::vector<double> credit(n, 0);
        for (std::size_t filled = 0; filled < maglev_size;)
            for (std::size_t u = 0; u < n && filled < maglev_size; ++u)
            {
                credit[u] += weights[u] / top;
                if (credit[u] < 1)
                    continue;
                credit[u] -= 1;
                std::uint64_t const offset = hash_pair(u, 11) % maglev_size;
                std::uint64_t const skip = hash_pair(u, 12) % (maglev_size - 1) + 1;
                std::uint64_t slot = 0;
                do
                    slot = (offset + next[u]++ * skip) % maglev_size;
                while (maglev[slot] != nowhere);
                maglev[slot] = static_cast<std::int16_t>(u);
                ++filled;
            }
    }
};
using generations = std::vector<std::unique_ptr<generation>>;

// What the balancers of an experiment know; the designs read it.
struct fleet
{
    generations gens;
    std::array<std::size_t, max_balancers> at{}; // generation in force at each balancer
    std::array<bool, max_balancers> running{};   // as the balancers judge each other
    std::size_t dead{max_balancers};             // crashed, whether judged so or not

    generation const& table_of(std::size_t balancer) const { return *gens[at[balancer]]; }
    std::size_t owner(std::uint64_t key) const
    {
        std::size_t best = max_balancers;
        for (std::size_t b = 0; b < max_balancers; ++b)
            if (running[b] && (best == max_balancers || hash_pair(key, b) > hash_pair(key, best)))
                best = b;
        return best;
    }
};

// What happens to a balancer, for designs that keep something there.
enum class balancer_event : std::uint8_t
{
    joins,
    leaves, // planned, with time to hand over
    crashes
};

struct flow
{
    std::uint64_t key{};
    encoded_flow_id id{}; // only for design (a)
};

// (a) The holder of the pool picks the upstream and issues an authenticated id; any balancer
// forwards by the id. The decisions are those of the product.
class issued_ids
{
public:
    explicit issued_ids(fleet const& f) : fleet_(f)
    {
        for (std::size_t b = 0; b < max_balancers; ++b)
            issuers_[b] = std::make_unique<flow_issuer>(instance(b));
        refresh();
    }

    int open(std::size_t balancer, flow& f)
    {
        packet_view p;
        p.kind = packet_kind::open;
        p.flow = flow_kind::stream;
        p.service = the_service;
        p.caller = caller;
        for (p.hops = 0; p.hops <= max_hops && balancer != fleet_.dead; ++p.hops)
        {
            route const r = decide(balancer, p, f.key);
            if (r.verb == route_verb::local_open)
                return pick(balancer, f);
            if (r.verb != route_verb::to_host)
                return nowhere;
            balancer = index_of(r.to);
        }
        return nowhere;
    }

    int data(std::size_t balancer, flow const& f) const
    {
        packet_view p;
        p.kind = packet_kind::data;
        p.caller = caller;
        p.flow_id = as_view(f.id);
        for (;; ++p.hops)
        {
            route const r = decide(balancer, p, f.key);
            if (r.verb == route_verb::to_upstream)
                return static_cast<int>(r.upstream.value) - 1;
            if (r.verb != route_verb::to_host || index_of(r.to) == fleet_.dead)
                return nowhere;
            balancer = index_of(r.to);
        }
    }

    void close(flow const&, int upstream)
    {
        --counts_[holder_][static_cast<std::size_t>(upstream)];
    }

    // Counts move to the next holder of the pool with the planned handover, and are lost in a
    // crash: the new holder then starts at zero and sees closes of flows that it never counted.
    void on(balancer_event e, std::size_t balancer)
    {
        std::size_t const before = holder_;
        if (e == balancer_event::crashes)
            counts_[balancer] = {};
        refresh();
        if (holder_ == before)
            return;
        if (e != balancer_event::crashes)
        {
            counts_[holder_] = counts_[before];
            control_bytes_ += sizeof(outstanding_item) * fleet_.table_of(holder_).weights.size();
        }
        counts_[before] = {};
    }

    std::size_t holder() const { return holder_; }
    std::uint64_t control_bytes() const { return control_bytes_; }
    std::size_t flow_state_bytes() const { return 0; }

private:
    static constexpr endpoint caller{0x0a000001, 40000};
    static host_instance instance(std::size_t b)
    {
        return {{static_cast<std::uint16_t>(b + 1)}, {1}};
    }
    static endpoint address(std::size_t b)
    {
        return {0x0a020000U + static_cast<std::uint32_t>(b), 7000};
    }
    static std::size_t index_of(endpoint e) { return e.address - 0x0a020000U; }

    route decide(std::size_t balancer, packet_view const& p, std::uint64_t key) const
    {
        return router{}.decide(p, caller, fleet_.table_of(balancer).table, *views_[balancer], {},
                               key, {});
    }
    int pick(std::size_t balancer, flow& f)
    {
        generation const& g = fleet_.table_of(balancer);
        auto& counts = counts_[balancer];
        int best = nowhere;
        double best_load = 0;
        for (std::size_t u = 0; u < g.weights.size(); ++u)
        {
            double const load = counts[u] / g.weights[u];
            if (g.weights[u] > 0 && (best == nowhere || load < best_load))
            {
                best = static_cast<int>(u);
                best_load = load;
            }
        }
        if (best == nowhere)
            return nowhere;
        ++counts[static_cast<std::size_t>(best)];
        f.id = issuers_[balancer]->stream(
            flow_kind::stream, g.table.config().upstreams[static_cast<std::size_t>(best)], g.table);
        return best;
    }
    void refresh()
    {
        std::vector<cluster_entry> hosts;
        for (std::size_t b = 0; b < max_balancers; ++b)
            if (fleet_.running[b])
                hosts.push_back({instance(b), the_zone, host_state::live, true, address(b)});
        for (std::size_t b = 0; b < max_balancers; ++b)
            views_[b] = std::make_unique<cluster_view>(instance(b), the_zone, hosts);
        holder_ = index_of(cluster_view(hosts.front().who, the_zone, hosts)
                               .holder({the_service, the_zone})
                               ->packet);
    }

    fleet const& fleet_;
    std::array<std::unique_ptr<flow_issuer>, max_balancers> issuers_;
    std::array<std::unique_ptr<cluster_view>, max_balancers> views_;
    std::array<std::array<std::int32_t, 64>, max_balancers> counts_{};
    std::size_t holder_{};
    std::uint64_t control_bytes_{};
};

// (b) Each packet is hashed over the upstreams that take new work in the balancer's table.
template<int (generation::*Pick)(std::uint64_t) const>
class hashing_alone
{
public:
    explicit hashing_alone(fleet const& f) : fleet_(f) {}
    int open(std::size_t balancer, flow& f) { return data(balancer, f); }
    int data(std::size_t balancer, flow const& f) const
    {
        return (fleet_.table_of(balancer).*Pick)(f.key);
    }
    void close(flow const&, int) {}
    void on(balancer_event, std::size_t) {}
    std::size_t holder() const { return 0; }
    std::uint64_t control_bytes() const { return 0; }
    std::size_t flow_state_bytes() const { return 0; }

private:
    fleet const& fleet_;
};
using rendezvous_alone = hashing_alone<&generation::by_rendezvous>;
using maglev_alone = hashing_alone<&generation::by_maglev>;

// (c) Each balancer keeps the last few generations. Where they disagree on a flow, the packet goes
// to the balancer that owns the flow's hash, which remembers the upstream of such flows. A flow
// that the owner does not know and that is not new is taken as older than all kept generations.
class hashing_with_exceptions
{
public:
    static constexpr std::size_t kept_generations = 4;
    static constexpr std::size_t entry_bytes = 16; // 8 bytes of key, upstream, time of last use

    explicit hashing_with_exceptions(fleet const& f) : fleet_(f) {}
    int open(std::size_t balancer, flow& f)
    {
        if (agreed(balancer, f.key))
            return fleet_.table_of(balancer).by_maglev(f.key);
        int const u = fleet_.table_of(balancer).by_maglev(f.key);
        std::size_t const owner = fleet_.owner(f.key);
        return owner == fleet_.dead ? nowhere : known_[owner].emplace(f.key, u).first->second;
    }
    int data(std::size_t balancer, flow const& f)
    {
        if (agreed(balancer, f.key))
            return fleet_.table_of(balancer).by_maglev(f.key);
        std::size_t const owner = fleet_.owner(f.key);
        if (owner == fleet_.dead)
            return nowhere;
        return known_[owner]
            .emplace(f.key, fleet_.gens[oldest(balancer)]->by_maglev(f.key))
            .first->second;
    }
    void close(flow const& f, int)
    {
        for (auto& k : known_)
            k.erase(f.key);
    }
    // A planned change of owners moves the entries; each is sent once.
    void on(balancer_event e, std::size_t balancer)
    {
        if (e == balancer_event::crashes)
            known_[balancer].clear();
        for (std::size_t b = 0; b < max_balancers; ++b)
            for (auto it = known_[b].begin(); it != known_[b].end();)
            {
                std::size_t const owner = fleet_.owner(it->first);
                if (owner == b)
                {
                    ++it;
                    continue;
                }
                known_[owner].insert(*it);
                control_bytes_ += entry_bytes;
                it = known_[b].erase(it);
            }
    }
    std::size_t holder() const { return 0; } // all balancers own alike
    std::uint64_t control_bytes() const { return control_bytes_; }
    std::size_t flow_state_bytes() const
    {
        std::size_t n = 0;
        for (auto const& k : known_)
            n += k.size() * entry_bytes;
        return n;
    }

private:
    std::size_t oldest(std::size_t balancer) const
    {
        std::size_t const g = fleet_.at[balancer];
        return g < kept_generations ? 0 : g - kept_generations + 1;
    }
    bool agreed(std::size_t balancer, std::uint64_t key) const
    {
        int const newest = fleet_.table_of(balancer).by_maglev(key);
        for (std::size_t g = oldest(balancer); g < fleet_.at[balancer]; ++g)
            if (fleet_.gens[g]->by_maglev(key) != newest)
                return false;
        return true;
    }

    fleet const& fleet_;
    std::array<std::unordered_map<std::uint64_t, int>, max_balancers> known_;
    std::uint64_t control_bytes_{};
};

} // namespace chivelever::experiment

#endif
