// Pool leases: at most one host at a time holds the lease of a pool, granted by a majority of up to
// three granters. Only the holder admits requests to the pool. The state is kept in memory only and
// expires; docs/notes/leases.md explains why this is safe.
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
    // Runs from the sending of the request, by the holder's clock.
    duration ttl = std::chrono::seconds(2);
    // Holders give up the lease this much before the ttl ends: granters keep grants for ttl + 10%,
    // but two clocks whose rates are 5% off in opposite directions differ by 10.5%.
    duration holder_margin = std::chrono::milliseconds(20);
    // Age at which a lease is renewed; leaves time for two retries. Renewing every 500 ms would
    // cost 2.4 times the traffic.
    duration renewal = std::chrono::milliseconds(1200);
    duration retry = std::chrono::milliseconds(300); // also the period of requests for a new lease
    // Upper bound on the time that a host list takes to reach all hosts.
    duration list_skew = std::chrono::seconds(10);

    // Lifetime of a grant at the granter, from receipt of the request.
    constexpr duration grant_ttl() const { return ttl + ttl / 10; }
    // How long a new granter waits before its first grant: a host with the old list may get a lease
    // at the end of list_skew and keep it for the ttl. The extra 10% covers clock drift.
    constexpr duration new_granter_wait() const { return (list_skew + ttl) * 11 / 10; }
};

inline constexpr std::size_t max_granters = 3;

// Number of groups that the pools of a zone are hashed into. The pools of one group share their
// granters and preferred holder, so that one datagram can renew them together.
inline constexpr std::size_t lease_groups = 256;

// The granters of one pool, in descending order of rendezvous score.
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

// The entry hosts of a host list, by zone. Hosts that are leaving are included, so that a planned
// shutdown does not change granter sets before the platform removes the host from the list.
class entry_hosts
{
public:
    entry_hosts() = default;
    explicit entry_hosts(host_list const& list);
    granter_set granters(pool_id pool) const;

private:
    std::map<zone_id, std::vector<host_id>> zones_;
};

// Returns the candidate with the highest rendezvous score for the pool, or nullopt if there is
// none.
std::optional<host_id> preferred_holder(pool_id pool, std::span<host_id const> candidates);

// Grants leases to holders, on behalf of one host.
class lease_granter
{
public:
    lease_granter(host_instance self, time_point start, lease_settings settings = {});

    void update(host_list const& list, time_point now);
    // Reports that a peer has had the list of this version for at least new_granter_wait, which
    // implies that no host uses an older one. After a restart with such a list, this host only
    // waits until the grants of its previous run have expired. Without this report, other hosts may
    // still use older lists.
    void on_list_settled(std::uint64_t version);
    lease_reply on_request(lease_request const& request, time_point now);

    std::size_t grants() const { return grants_.size(); }

private:
    struct grant
    {
        host_instance holder;
        std::uint32_t round{}; // highest granted round of the holder
        time_point until;
    };
    struct grant_eligibility
    {
        granter_set granters;
        time_point not_before; // this host makes no grants before this time
    };
    struct known_list
    {
        std::uint64_t version;
        time_point received_at;
        entry_hosts entries;
    };
    grant_eligibility const& eligibility_for(pool_id pool);
    lease_result process_item(lease_request const& request, lease_item const& item, time_point now);
    void remove_expired_grants(time_point now);

    host_instance self_;
    time_point start_;
    lease_settings settings_;
    std::uint64_t list_version_{};
    std::vector<known_list> lists_; // current list last, after older ones that may be in use
    bool older_lists_expired_{};    // no host uses a list older than lists_.front()
    std::unordered_map<pool_id, grant_eligibility> eligibility_; // for the current list
    std::unordered_map<pool_id, grant> grants_;
    std::size_t cleanup_threshold_;
};

using outgoing_leases = std::vector<std::pair<host_id, lease_request>>;

// Acquires and renews leases, on behalf of one host. The output includes requests to the host
// itself, which the caller passes to its own granter.
class lease_holder
{
public:
    lease_holder(host_instance self, lease_settings settings = {});

    void update(host_list const& list);
    // Sets the pools of this host's zone.
    void set_pools(std::span<pool_id const> pools);
    // Sets the hosts of this zone that may hold pools (membership::settled_hosts).
    void set_candidates(std::span<host_id const> candidates);

    // Sends due renewals and requests for new leases. Must be called at least every
    // lease_settings::retry.
    void tick(time_point now, outgoing_leases& out);
    void on_reply(lease_reply const& reply, time_point now);
    // Gives up the lease immediately and notifies the granters.
    void release(pool_id pool, time_point now, outgoing_leases& out);

    // Returns when the lease expires, or nullopt if none is valid.
    std::optional<time_point> valid_until(pool_id pool, time_point now) const;
    // Returns the pools with a valid lease.
    std::vector<pool_id> held_pools(time_point now) const;
    // Returns the held pools whose preferred holder is another host. The caller hands over the
    // outstanding work and then releases them.
    std::vector<std::pair<pool_id, host_id>> pools_to_hand_over(time_point now) const;
    // Returns true if the pool is configured and this host is its preferred holder, by its own view
    // of the candidates.
    bool is_preferred_holder(pool_id pool) const;

private:
    struct pool_state
    {
        granter_set granters;
        std::optional<host_id> preferred;
        // Sending time of the newest granted request, by granter.
        std::array<time_point, max_granters> grant_sent_at{};
        // Granters that reported another holder since the latest tick.
        std::array<bool, max_granters> refused{};
        time_point carried_until; // expiry of a lease obtained from an earlier granter set
        std::uint32_t last_ignored_round{};  // replies to rounds up to this one are ignored
        std::uint32_t backoff_until_round{}; // no lease requests before this round
        bool configured{true};               // in the current set of pools
    };
    void update_granters(pool_id pool, pool_state& s);
    time_point lease_end(pool_state const& s) const;
    bool renewal_due(pool_state const& s, time_point now) const;
    bool has_split_vote(pool_state const& s, time_point now) const;
    void reset_grants(pool_state& s);
    std::uint32_t start_round(time_point now);
    void batch_item(pool_id pool, pool_state const& s, bool release);
    void send_batch(std::uint32_t round, outgoing_leases& out);

    host_instance self_;
    lease_settings settings_;
    std::uint64_t list_version_{};
    entry_hosts entries_;
    std::vector<host_id> candidates_;
    std::map<pool_id, pool_state> pools_;
    std::uint32_t last_round_{};
    // Rounds that may still be answered, with their sending times.
    std::deque<std::pair<std::uint32_t, time_point>> sent_rounds_;
    std::optional<time_point> next_tick_;
    std::map<host_id, std::vector<lease_item>> batch_;
};

} // namespace chivelever

#endif
