// Immutable snapshot of the hosts as known locally, for the packet threads.
#ifndef CHIVELEVER_COORDINATION_CLUSTER_VIEW_HPP
#define CHIVELEVER_COORDINATION_CLUSTER_VIEW_HPP

#include "state/state.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace chivelever
{

// One host as known locally. Run 0 means that the incarnation is unknown.
struct cluster_entry
{
    host_instance instance;
    zone_id zone;
    host_state state{host_state::live};
    bool alive{true};
    endpoint packet;    // address that receives packets
    bool settled{true}; // alive long enough to hold pools (membership::settled_hosts)
    auto operator<=>(cluster_entry const&) const = default;
};

// Built from the membership table after each change and shared through a shared_ptr, so that packet
// threads read it without a lock.
class cluster_view
{
public:
    // Adds an entry for `self` if there is none, since a host always considers itself alive. A
    // leaving host passes its own entry with that state.
    cluster_view(host_instance self, zone_id zone, std::vector<cluster_entry> entries);

    host_instance self() const { return self_; }
    zone_id zone() const { return zone_; }
    std::span<cluster_entry const> hosts() const { return entries_; }
    std::span<cluster_entry const> zone_hosts(zone_id id) const;
    cluster_entry const* find(host_id id) const;
    // Hosts of the zone that are alive and not leaving; the fabric delivers packets to these.
    std::size_t live_hosts(zone_id id) const { return live_count_[id.value]; }
    // The host that admits requests to the pool: the first host of the pool's zone by rendezvous
    // hashing that is settled and not leaving, ranked in the same way as for leases. Exclusivity is
    // provided by the lease and does not depend on this result.
    cluster_entry const* holder(pool_id pool) const;

private:
    static constexpr std::uint16_t absent = UINT16_MAX;
    // Exceeds the number of pools at the target size. Without the cache, hashing the 60 hosts of a
    // zone dominated the cost of an open.
    static constexpr std::size_t cache_slots = 4096;
    static constexpr std::size_t cache_probes = 8; // linear probing on a slot collision

    cluster_entry const* find_holder(pool_id pool) const;

    host_instance self_;
    zone_id zone_;
    std::vector<cluster_entry> entries_;          // ordered by zone, then host
    std::array<std::uint16_t, 256> live_count_{}; // by zone
    std::vector<std::uint16_t> index_;            // host id -> index in entries_, or absent
    // Pool (40 bits) and index of its holder in entries_ (16 bits, or absent) in one word, so that
    // threads read and write a slot without a lock.
    mutable std::vector<std::atomic<std::uint64_t>> holder_cache_;
};
using view_ptr = std::shared_ptr<cluster_view const>;

} // namespace chivelever

#endif
