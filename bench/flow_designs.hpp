// Three designs for routing the packets of a flow without shared state, compared by the experiment
// in docs/notes/flows.md. There is one zone and one service, and every balancer has its own table.
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
inline constexpr int no_upstream = -1; // packet lost or answered with given_up
inline constexpr zone_id only_zone{1};
inline constexpr service_id only_service{1};

// One revision of the routing table with the data that the designs derive from it.
struct generation
{
    routing_table table;
    std::vector<double> weights;      // by upstream index; 0 if it accepts no new work
    std::vector<std::int16_t> maglev; // slot -> upstream index

    explicit generation(fleet_config c) : table(std::move(c), {}, "secret")
    {
        for (upstream_config const& u : table.config().upstreams)
            weights.push_back(table.takes_new_work(u)
                                  ? static_cast<double>(effective_value(
                                        table.config(), setting::weight, u.service, u.zone, u.id))
                                  : 0);
        fill_maglev();
    }

    int by_maglev(std::uint64_t flow) const { return maglev[hash_pair(flow, 1) % maglev_size]; }
    int by_rendezvous(std::uint64_t flow) const
    {
        int best = no_upstream;
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
    // Fills the Maglev table: the upstreams take turns claiming the next free slot of their own
    // permutation, with a frequency proportional to their weights.
    void fill_maglev()
    {
        maglev.assign(maglev_size, no_upstream);
        std::size_t const n = weights.size();
        double const max_weight = *std::max_element(weights.begin(), weights.end());
        std::vector<std::uint64_t> next(n, 0);
        std::vector<double> credit(n, 0);
        for (std::size_t filled = 0; filled < maglev_size;)
            for (std::size_t u = 0; u < n && filled < maglev_size; ++u)
            {
                credit[u] += weights[u] / max_weight;
                if (credit[u] < 1)
                    continue;
                credit[u] -= 1;
                std::uint64_t const offset = hash_pair(u, 11) % maglev_size;
                std::uint64_t const skip = hash_pair(u, 12) % (maglev_size - 1) + 1;
                std::uint64_t slot = 0;
                do
                    slot = (offset + next[u]++ * skip) % maglev_size;
                while (maglev[slot] != no_upstream);
                maglev[slot] = static_cast<std::int16_t>(u);
                ++filled;
            }
    }
};
using generations = std::vector<std::unique_ptr<generation>>;

// State shared by the simulation and the designs, which only read it.
struct fleet
{
    generations published;
    std::array<std::size_t, max_balancers> installed{}; // index of the active generation
    std::array<bool, max_balancers> running{};          // membership as seen by all balancers
    std::size_t crashed{max_balancers}; // max_balancers if none; set before detection

    generation const& table_of(std::size_t balancer) const
    {
        return *published[installed[balancer]];
    }
    std::size_t owner(std::uint64_t key) const
    {
        std::size_t best = max_balancers;
        for (std::size_t b = 0; b < max_balancers; ++b)
            if (running[b] && (best == max_balancers || hash_pair(key, b) > hash_pair(key, best)))
                best = b;
        return best;
    }
};

// Membership events, for designs that keep state in balancers.
enum class balancer_event : std::uint8_t
{
    joins,
    leaves, // planned, so state is handed over
    crashes
};

struct flow
{
    std::uint64_t key{};
    encoded_flow_id id{}; // only for design (a)
};

// (a) The holder of the pool selects the upstream and issues an authenticated flow id, by which any
// balancer forwards. Uses the production router.
class issued_ids
{
public:
    explicit issued_ids(fleet const& f) : fleet_(f)
    {
        for (std::size_t b = 0; b < max_balancers; ++b)
            issuers_[b] = std::make_unique<flow_issuer>(instance(b));
        rebuild_views();
    }

    int open(std::size_t balancer, flow& f)
    {
        packet_view p;
        p.kind = packet_kind::open;
        p.flow = flow_kind::stream;
        p.service = only_service;
        p.caller = caller;
        for (p.hops = 0; p.hops <= max_hops && balancer != fleet_.crashed; ++p.hops)
        {
            route const r = decide(balancer, p, f.key);
            if (r.action == route_action::local_open)
                return select_upstream(balancer, f);
            if (r.action != route_action::to_host)
                return no_upstream;
            balancer = index_of(r.to);
        }
        return no_upstream;
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
            if (r.action == route_action::to_upstream)
                return static_cast<int>(r.upstream.value) - 1;
            if (r.action != route_action::to_host || index_of(r.to) == fleet_.crashed)
                return no_upstream;
            balancer = index_of(r.to);
        }
    }

    void close(flow const&, int upstream)
    {
        --counts_[holder_][static_cast<std::size_t>(upstream)];
    }

    // A planned handover transfers the flow counts to the next holder of the pool. A crash loses
    // them: the new holder starts at zero and receives closes of flows that it never counted.
    void on(balancer_event e, std::size_t balancer)
    {
        std::size_t const before = holder_;
        if (e == balancer_event::crashes)
            counts_[balancer] = {};
        rebuild_views();
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
    int select_upstream(std::size_t balancer, flow& f)
    {
        generation const& g = fleet_.table_of(balancer);
        auto& counts = counts_[balancer];
        int best = no_upstream;
        double best_load = 0;
        for (std::size_t u = 0; u < g.weights.size(); ++u)
        {
            double const load = counts[u] / g.weights[u];
            if (g.weights[u] > 0 && (best == no_upstream || load < best_load))
            {
                best = static_cast<int>(u);
                best_load = load;
            }
        }
        if (best == no_upstream)
            return no_upstream;
        ++counts[static_cast<std::size_t>(best)];
        f.id = issuers_[balancer]->stream(
            flow_kind::stream, g.table.config().upstreams[static_cast<std::size_t>(best)], g.table);
        return best;
    }
    void rebuild_views()
    {
        std::vector<cluster_entry> hosts;
        for (std::size_t b = 0; b < max_balancers; ++b)
            if (fleet_.running[b])
                hosts.push_back({instance(b), only_zone, host_state::live, true, address(b)});
        for (std::size_t b = 0; b < max_balancers; ++b)
            views_[b] = std::make_unique<cluster_view>(instance(b), only_zone, hosts);
        holder_ = index_of(cluster_view(hosts.front().instance, only_zone, hosts)
                               .holder({only_service, only_zone})
                               ->packet);
    }

    fleet const& fleet_;
    std::array<std::unique_ptr<flow_issuer>, max_balancers> issuers_;
    std::array<std::unique_ptr<cluster_view>, max_balancers> views_;
    std::array<std::array<std::int32_t, 64>, max_balancers> counts_{};
    std::size_t holder_{};
    std::uint64_t control_bytes_{};
};

// (b) Hashes each packet over the upstreams that accept new work in the balancer's table.
template<int (generation::*Select)(std::uint64_t) const>
class stateless_hashing
{
public:
    explicit stateless_hashing(fleet const& f) : fleet_(f) {}
    int open(std::size_t balancer, flow& f) { return data(balancer, f); }
    int data(std::size_t balancer, flow const& f) const
    {
        return (fleet_.table_of(balancer).*Select)(f.key);
    }
    void close(flow const&, int) {}
    void on(balancer_event, std::size_t) {}
    std::size_t holder() const { return 0; }
    std::uint64_t control_bytes() const { return 0; }
    std::size_t flow_state_bytes() const { return 0; }

private:
    fleet const& fleet_;
};
using rendezvous_alone = stateless_hashing<&generation::by_rendezvous>;
using maglev_alone = stateless_hashing<&generation::by_maglev>;

// (c) Each balancer keeps the latest generations. If they map a flow to different upstreams, the
// packet goes to the balancer that owns the flow's hash, which stores the upstream of such flows.
// An existing flow without an entry is assumed to be older than all kept generations.
class hashing_with_exceptions
{
public:
    static constexpr std::size_t kept_generations = 4;
    static constexpr std::size_t entry_bytes = 16; // 8-byte key, upstream and time of last use

    explicit hashing_with_exceptions(fleet const& f) : fleet_(f) {}
    int open(std::size_t balancer, flow& f)
    {
        if (generations_agree(balancer, f.key))
            return fleet_.table_of(balancer).by_maglev(f.key);
        int const u = fleet_.table_of(balancer).by_maglev(f.key);
        std::size_t const owner = fleet_.owner(f.key);
        return owner == fleet_.crashed ? no_upstream
                                       : tracked_flows_[owner].emplace(f.key, u).first->second;
    }
    int data(std::size_t balancer, flow const& f)
    {
        if (generations_agree(balancer, f.key))
            return fleet_.table_of(balancer).by_maglev(f.key);
        std::size_t const owner = fleet_.owner(f.key);
        if (owner == fleet_.crashed)
            return no_upstream;
        return tracked_flows_[owner]
            .emplace(f.key, fleet_.published[oldest_kept(balancer)]->by_maglev(f.key))
            .first->second;
    }
    void close(flow const& f, int)
    {
        for (auto& k : tracked_flows_)
            k.erase(f.key);
    }
    // After a membership change, sends each entry with a new owner to that owner once.
    void on(balancer_event e, std::size_t balancer)
    {
        if (e == balancer_event::crashes)
            tracked_flows_[balancer].clear();
        for (std::size_t b = 0; b < max_balancers; ++b)
            for (auto it = tracked_flows_[b].begin(); it != tracked_flows_[b].end();)
            {
                std::size_t const owner = fleet_.owner(it->first);
                if (owner == b)
                {
                    ++it;
                    continue;
                }
                tracked_flows_[owner].insert(*it);
                control_bytes_ += entry_bytes;
                it = tracked_flows_[b].erase(it);
            }
    }
    std::size_t holder() const { return 0; } // every balancer owns an equal share
    std::uint64_t control_bytes() const { return control_bytes_; }
    std::size_t flow_state_bytes() const
    {
        std::size_t n = 0;
        for (auto const& k : tracked_flows_)
            n += k.size() * entry_bytes;
        return n;
    }

private:
    std::size_t oldest_kept(std::size_t balancer) const
    {
        std::size_t const g = fleet_.installed[balancer];
        return g < kept_generations ? 0 : g - kept_generations + 1;
    }
    bool generations_agree(std::size_t balancer, std::uint64_t key) const
    {
        int const newest = fleet_.table_of(balancer).by_maglev(key);
        for (std::size_t g = oldest_kept(balancer); g < fleet_.installed[balancer]; ++g)
            if (fleet_.published[g]->by_maglev(key) != newest)
                return false;
        return true;
    }

    fleet const& fleet_;
    std::array<std::unordered_map<std::uint64_t, int>, max_balancers> tracked_flows_;
    std::uint64_t control_bytes_{};
};

} // namespace chivelever::experiment

#endif
