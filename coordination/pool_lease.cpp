#include "coordination/pool_lease.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

constexpr std::size_t min_cleanup_threshold = 64; // grants

// Rendezvous key of a pool: its zone and lease group.
std::uint64_t rendezvous_key(pool_id pool)
{
    return std::uint64_t{pool.zone.value} << 32 | hash_pair(pool.packed(), 0) % lease_groups;
}

// The same score selects holder and granters: a holder that is its own first granter saves a
// datagram per renewal.
std::uint64_t rendezvous_score(pool_id pool, host_id host)
{
    return hash_pair(rendezvous_key(pool), host.value);
}

// Sorts the hosts by descending score and keeps at most the first `count`.
void keep_highest_scores(pool_id pool, std::vector<host_id>& hosts, std::size_t count)
{
    count = std::min(count, hosts.size());
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count),
                      hosts.end(),
                      [pool](host_id a, host_id b) {
                          return std::pair(rendezvous_score(pool, a), a) >
                                 std::pair(rendezvous_score(pool, b), b);
                      });
    hosts.resize(count);
}

} // namespace

bool granter_set::contains(host_id h) const
{
    auto const v = view();
    return std::find(v.begin(), v.end(), h) != v.end();
}

entry_hosts::entry_hosts(host_list const& list)
{
    for (listed_host const& l : list.hosts)
        if (l.kind == listed_kind::entry)
            zones_[l.zone].push_back({static_cast<std::uint16_t>(l.id)});
}

granter_set entry_hosts::granters(pool_id pool) const
{
    granter_set set;
    auto const zone = zones_.find(pool.zone);
    if (zone == zones_.end())
        return set;
    std::vector<host_id> chosen = zone->second;
    keep_highest_scores(pool, chosen, max_granters);
    // A majority of two is both, so a third granter is added to tolerate the loss of one.
    if (chosen.size() == 2)
    {
        std::vector<host_id> others;
        for (auto const& [id, hosts] : zones_)
            if (id != pool.zone)
                others.insert(others.end(), hosts.begin(), hosts.end());
        keep_highest_scores(pool, others, 1);
        chosen.insert(chosen.end(), others.begin(), others.end());
    }
    std::uint64_t hash = pool.packed();
    for (host_id const h : chosen)
    {
        set.hosts[set.size++] = h;
        hash = hash_pair(hash, h.value);
    }
    set.hash = static_cast<std::uint32_t>(hash);
    return set;
}

std::optional<host_id> preferred_holder(pool_id pool, std::span<host_id const> candidates)
{
    auto const best = std::max_element(candidates.begin(), candidates.end(),
                                       [pool](host_id a, host_id b) {
                                           return std::pair(rendezvous_score(pool, a), a) <
                                                  std::pair(rendezvous_score(pool, b), b);
                                       });
    return best == candidates.end() ? std::nullopt : std::optional(*best);
}

lease_granter::lease_granter(host_instance self, time_point start, lease_settings settings)
    : self_(self), start_(start), settings_(settings), cleanup_threshold_(min_cleanup_threshold)
{
}

void lease_granter::update(host_list const& list, time_point now)
{
    if (!lists_.empty() && list.version <= list_version_)
        return;
    list_version_ = list.version;
    lists_.push_back({list.version, now, entry_hosts(list)});
    // A list may be in use until its successor has been known for new_granter_wait.
    while (lists_.size() > 1 && now - lists_[1].received_at > settings_.new_granter_wait())
    {
        lists_.erase(lists_.begin());
        older_lists_expired_ = true;
    }
    eligibility_.clear();
    remove_expired_grants(now);
}

void lease_granter::on_list_settled(std::uint64_t version)
{
    auto const i = std::find_if(lists_.begin(), lists_.end(),
                                [version](known_list const& l) { return l.version == version; });
    if (i == lists_.end() || (i == lists_.begin() && older_lists_expired_))
        return;
    lists_.erase(lists_.begin(), i);
    older_lists_expired_ = true;
    eligibility_.clear();
}

// Returns the granter set of a pool and the time from which this host may grant it. While lists may
// differ, a host with an old list can get a lease from a majority of the old set. A granter in both
// sets needs no wait if each majority of the new set that consists of such granters overlaps each
// majority of the old set, since a common granter then refuses the second holder. All other
// granters wait. The newest list change that requires a wait determines the time.
lease_granter::grant_eligibility const& lease_granter::eligibility_for(pool_id pool)
{
    auto const [i, inserted] = eligibility_.try_emplace(pool);
    grant_eligibility& eligible = i->second;
    if (!inserted || lists_.empty())
        return eligible;
    eligible.granters = lists_.back().entries.granters(pool);
    eligible.not_before = start_ + settings_.grant_ttl();
    if (!older_lists_expired_)
        eligible.not_before = start_ + settings_.new_granter_wait();
    for (std::size_t n = lists_.size(); n-- > 1;)
    {
        granter_set const previous = lists_[n - 1].entries.granters(pool);
        bool const majorities_overlap =
            eligible.granters.majority() + previous.majority() > previous.size;
        if (!previous.contains(self_.host) || !majorities_overlap)
        {
            eligible.not_before =
                std::max(eligible.not_before, lists_[n].received_at + settings_.new_granter_wait());
            break;
        }
    }
    return eligible;
}

lease_reply lease_granter::on_request(lease_request const& request, time_point now)
{
    lease_reply reply{self_, request.round, {}, request.holder.run};
    reply.results.reserve(request.items.size());
    for (lease_item const& item : request.items)
        reply.results.push_back(process_item(request, item, now));
    if (grants_.size() >= cleanup_threshold_)
        remove_expired_grants(now);
    return reply;
}

lease_result lease_granter::process_item(lease_request const& request, lease_item const& item,
                                         time_point now)
{
    lease_result result{item.pool, false, {}};
    auto const existing = grants_.find(item.pool);
    bool const grant_active = existing != grants_.end() && now < existing->second.until;
    if (grant_active && existing->second.holder != request.holder)
        result.current = existing->second.holder;
    if (item.release)
    {
        // A delayed release has a lower round if the holder has obtained the pool again since.
        if (grant_active && existing->second.holder == request.holder &&
            existing->second.round < request.round)
        {
            grants_.erase(existing);
        }
        return result;
    }
    grant_eligibility const& eligible = eligibility_for(item.pool);
    if (eligible.granters.hash != item.set_hash || !eligible.granters.contains(self_.host) ||
        now < eligible.not_before)
        return result;
    if (grant_active && existing->second.holder != request.holder)
        return result;
    std::uint32_t const round =
        grant_active ? std::max(existing->second.round, request.round) : request.round;
    grant const next{request.holder, round, now + settings_.grant_ttl()};
    grant& stored = grants_[item.pool];
    invariants::check(stored.until <= now || stored.holder == next.holder, "lease.one_grant",
                      "granter granted a pool to two holders at the same time");
    stored = next;
    result.granted = true;
    return result;
}

void lease_granter::remove_expired_grants(time_point now)
{
    std::erase_if(grants_, [now](auto const& g) { return g.second.until <= now; });
    cleanup_threshold_ = std::max(min_cleanup_threshold, 2 * grants_.size());
}

} // namespace chivelever
