// Pool leases: one host at a time admits to a pool, by the word of a majority of three granters.
// Soft state with expiry, without a log; docs/notes/leases.md has the argument for its safety.
#ifndef CHIVELEVER_COORDINATION_POOL_LEASE_HPP
#define CHIVELEVER_COORDINATION_POOL_LEASE_HPP

#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivelever
{

struct lease_settings
{
    duration ttl = std::chrono::seconds(2); // from the sending of the renewal, holder's clock
    // Holders give up this much earlier: granters remember ttl + 10%, and two clocks that are 5%
    // off in opposite directions differ by 10.5%.
    duration holder_margin = std::chrono::milliseconds(20);
    // A lease is renewed at this age, which leaves time for two retries. A renewal every 500 ms
    // costs 2.4 times the traffic.
    duration renewal = std::chrono::milliseconds(1200);
    duration retry = std::chrono::milliseconds(300); // and the period of asking for a pool
    duration list_skew = std::chrono::seconds(10); // longest time a list takes to reach every host

    // How long a granter remembers a grant, from receipt.
    constexpr duration memory() const { return ttl + ttl / 10; }
    // How long a new granter waits: the last host with the old list may get a lease at the end of
    // the skew and keep it for the ttl, and clocks drift.
    constexpr duration new_granter_wait() const { return (list_skew + ttl) * 11 / 10; }
};

inline constexpr std::size_t max_granters = 3;

// Pools of a zone are spread over this many groups, and those of one group share their granters and
// preferred holder, so that one datagram renews them all.
inline constexpr std::size_t lease_groups = 256;

// The granters of one pool, highest rendezvous score first.
struct granter_set
{
    std::array<host_id, max_granters> hosts{};
    std::uint8_t size{};
    std::uint32_t hash{};

    std::span<host_id const> view() const { return {hosts.data(), size}; }
    bool contains(host_id h) const;
    std::size_t majority() const { return size / 2U + 1; }
    auto operator<=>(granter_set const&) const = default;
};

// Entry hosts of the list, by zone. Leaving hosts are included, so that a planned shutdown changes
// no granter set before the platform removes the host.
class listed_entries
{
public:
    listed_entries() = default;
    explicit listed_entries(host_list const& list);
    granter_set granters(pool_id pool) const;

private:
    std::map<zone_id, std::vector<host_id>> zones_;
};

// The candidate with the highest rendezvous score for the pool.
std::optional<host_id> preferred_holder(pool_id pool, std::span<host_id const> candidates);

// The granting side of one host.
class lease_granter
{
public:
    lease_granter(host_instance self, time_point start, lease_settings settings = {});

    void update(host_list const& list, time_point now);
    // A peer has had the list of this version for at least new_granter_wait, so no host acts by an
    // older one. A host that restarts under such a list waits only until the grants of its earlier
    // run have expired. Without this word its list may be new, and others may act by older ones.
    void list_settled(std::uint64_t version);
    lease_reply on_request(lease_request const& request, time_point now);

    std::size_t grants() const { return grants_.size(); }

private:
    struct grant
    {
        host_instance holder;
        std::uint32_t round{}; // latest round of the holder that was granted
        time_point until;
    };
    struct duty
    {
        granter_set set;
        time_point from; // no grants before
    };
    struct known_list
    {
        std::uint64_t version;
        time_point learned;
        listed_entries entries;
    };
    duty const& duty_for(pool_id pool);
    lease_result answer(lease_request const& request, lease_item const& item, time_point now);
    void sweep(time_point now);

    host_instance self_;
    time_point start_;
    lease_settings settings_;
    std::uint64_t list_version_{};
    std::vector<known_list> lists_; // the present one last, earlier ones while they matter
    bool forgot_lists_{};           // lists older than lists_.front() are no longer of interest
    std::unordered_map<pool_id, duty> duties_; // for the present list
    std::unordered_map<pool_id, grant> grants_;
    std::size_t sweep_at_;
};

using outgoing_leases = std::vector<std::pair<host_id, lease_request>>;

// The holding side of one host. Requests to the host itself are in the output as well; the driver
// passes them to its own granter.
class lease_holder
{
public:
    lease_holder(host_instance self, lease_settings settings = {});

    void update(host_list const& list);
    // The pools of the own zone.
    void set_pools(std::span<pool_id const> pools);
    // Hosts of the own zone that may hold pools (membership::settled_hosts).
    void set_candidates(std::span<host_id const> candidates);

    // Renews and asks for pools; to be called at least every renewal period.
    void tick(time_point now, outgoing_leases& out);
    void on_reply(lease_reply const& reply, time_point now);
    // Gives the pool up at once and tells the granters.
    void release(pool_id pool, time_point now, outgoing_leases& out);

    // The end of a valid lease, or nothing.
    std::optional<time_point> valid_until(pool_id pool, time_point now) const;
    // Pools with a valid lease.
    std::vector<pool_id> held(time_point now) const;
    // Pools held here whose preferred holder is another host: the driver passes the outstanding
    // work on and then releases them.
    std::vector<std::pair<pool_id, host_id>> to_hand_over(time_point now) const;
    // Whether this host should have the pool by its own view.
    bool wanted(pool_id pool) const;

private:
    struct pool_state
    {
        granter_set set;
        std::optional<host_id> preferred;
        std::array<time_point, max_granters> granted{}; // sending time of the latest grant
        std::array<bool, max_granters> refused{};       // since the latest renewal
        time_point carried;         // end of a lease under an earlier granter set
        std::uint32_t barrier{};    // replies up to this round no longer count
        std::uint32_t rest_until{}; // round before which it does not ask
        bool known{true};           // in the present set of pools
    };
    void set_granters(pool_id pool, pool_state& s);
    time_point end_of(pool_state const& s) const;
    bool due(pool_state const& s, time_point now) const;
    bool split(pool_state const& s, time_point now) const;
    void forget(pool_state& s);
    std::uint32_t next_round(time_point now);
    void add(pool_id pool, pool_state const& s, bool release);
    void flush(std::uint32_t round, outgoing_leases& out);

    host_instance self_;
    lease_settings settings_;
    std::uint64_t list_version_{};
    listed_entries entries_;
    std::vector<host_id> candidates_;
    std::map<pool_id, pool_state> pools_;
    std::uint32_t round_{};
    std::deque<std::pair<std::uint32_t, time_point>> sent_; // rounds that replies may still name
    std::optional<time_point> next_;
    std::map<host_id, std::vector<lease_item>> batch_;
};

} // namespace chivelever

#endif
