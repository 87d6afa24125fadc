#include "coordination/cluster_view.hpp"

#include "coordination/pool_lease.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivelever
{

cluster_view::cluster_view(host_instance self, zone_id zone, std::vector<cluster_entry> entries)
    : self_(self), zone_(zone), entries_(std::move(entries)), holder_cache_(cache_slots)
{
    bool const has_self =
        std::any_of(entries_.begin(), entries_.end(),
                    [self](cluster_entry const& e) { return e.instance.host == self.host; });
    if (!has_self)
        entries_.push_back({self, zone, host_state::live, true, {}});
    std::sort(entries_.begin(), entries_.end(),
              [](cluster_entry const& a, cluster_entry const& b)
              { return std::tie(a.zone, a.instance.host) < std::tie(b.zone, b.instance.host); });
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        std::size_t const host = entries_[i].instance.host.value;
        if (host >= index_.size())
            index_.resize(host + 1, absent);
        index_[host] = static_cast<std::uint16_t>(i);
        if (entries_[i].alive && entries_[i].state == host_state::live)
            ++live_count_[entries_[i].zone.value];
    }
}

std::span<cluster_entry const> cluster_view::zone_hosts(zone_id id) const
{
    auto const first =
        std::lower_bound(entries_.begin(), entries_.end(), id,
                         [](cluster_entry const& e, zone_id z) { return e.zone < z; });
    auto const last = std::upper_bound(
        first, entries_.end(), id, [](zone_id z, cluster_entry const& e) { return z < e.zone; });
    return {first, last};
}

cluster_entry const* cluster_view::find(host_id id) const
{
    if (id.value >= index_.size() || index_[id.value] == absent)
        return nullptr;
    return &entries_[index_[id.value]];
}

cluster_entry const* cluster_view::holder(pool_id pool) const
{
    // The increment keeps a used slot from being zero.
    std::uint64_t const tag = (pool.packed() + 1) << 16;
    std::size_t const first = std::hash<pool_id>{}(pool) >> 32;
    std::size_t slot = first;
    for (std::size_t probe = 0; probe < cache_probes; ++probe)
    {
        std::uint64_t const word =
            holder_cache_[(first + probe) % cache_slots].load(std::memory_order_relaxed);
        if ((word & ~std::uint64_t{absent}) == tag)
            return (word & absent) == absent ? nullptr : &entries_[word & absent];
        if (word == 0)
        {
            slot = first + probe;
            break;
        }
    }
    cluster_entry const* const found = find_holder(pool);
    std::uint64_t const index =
        found == nullptr ? absent : static_cast<std::uint64_t>(found - entries_.data());
    holder_cache_[slot % cache_slots].store(tag | index, std::memory_order_relaxed);
    return found;
}

// Must rank in the same way as the leases; otherwise opens would go to a host that never gets the
// lease.
cluster_entry const* cluster_view::find_holder(pool_id pool) const
{
    std::vector<host_id> candidates;
    for (cluster_entry const& e : zone_hosts(pool.zone))
        if (e.alive && e.settled && e.state != host_state::leaving)
            candidates.push_back(e.instance.host);
    auto const best = preferred_holder(pool, candidates);
    return best ? find(*best) : nullptr;
}

} // namespace chivelever
