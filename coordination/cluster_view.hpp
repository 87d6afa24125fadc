// What one host knows about the other hosts, as an immutable snapshot for the packet threads.
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

// One host as seen from here. Run 0 means that the incarnation is unknown.
struct cluster_entry
{
    host_instance who;
    zone_id zone;
    host_state state{host_state::live};
    bool alive{true};
    endpoint packet;    // where it receives packets
    bool settled{true}; // alive for long enough to hold pools (membership::settled_hosts)
    auto operator<=>(cluster_entry const&) const = default;
};

// Built by membership at each change of its judgement and shared through a shared_ptr, so that the
// packet threads read it without a lock.
class cluster_view
{
public:
    // An entry for `self` is added if there is none: a host always knows itself to be alive. A
    // leaving host passes its own entry with that state.
    cluster_view(host_instance self, zone_id zone, std::vector<cluster_entry> entries);

    host_instance self() const { return self_; }
    zone_id zone() const { return zone_; }
    std::span<cluster_entry const> hosts() const { return entries_; }
    std::span<cluster_entry const> zone_hosts(zone_id id) const;
    cluster_entry const* find(host_id id) const;
    // Hosts of the zone that are alive and not leaving: the fabric hands packets to these.
    std::size_t live_hosts(zone_id id) const { return live_[id.value]; }
    // The host that admits to the pool: the first of the pool's zone by rendezvous hashing that is
    // settled and not leaving, by the same ranking as the leases. Nothing exclusive depends on it;
    // exclusivity comes from the lease.
    cluster_entry const* holder(pool_id pool) const;

private:
    static constexpr std::uint16_t absent = UINT16_MAX;
    // More than the pools of the target size; hashing 60 hosts of a zone for each open took most of
    // its time.
    static constexpr std::size_t cache_slots = 4096;
    static constexpr std::size_t cache_probes = 8; // pools that share a slot take the next ones

    cluster_entry const* find_holder(pool_id pool) const;

    host_instance self_;
    zone_id zone_;
    std::vector<cluster_entry> entries_;    // ordered by zone, then host
    std::array<std::uint16_t, 256> live_{}; // by zone
    std::vector<std::uint16_t> index_;      // host id -> place in entries_, or absent
    // Pool (40 bits) and place of its holder in entries_ (16 bits, or absent) as one word, so that
    // threads fill and read a slot without a lock.
    mutable std::vector<std::atomic<std::uint64_t>> holders_;
};
using view_ptr = std::shared_ptr<cluster_view const>;

} // namespace chivelever

#endif
