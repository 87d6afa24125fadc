#include "coordination/pool_lease.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

constexpr std::size_t first_sweep = 64; // grants

// Ranks hosts for one pool; holder and first granter coincide, which saves a datagram per renewal.
std::uint64_t score(pool_id pool, host_id host)
{
    return hash_pair(pool.packed(), host.value);
}

void rank(pool_id pool, std::vector<host_id>& hosts, std::size_t count)
{
    count = std::min(count, hosts.size());
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(count),
                      hosts.end(),
                      [pool](host_id a, host_id b)
                      { return std::pair(score(pool, a), a) > std::pair(score(pool, b), b); });
    hosts.resize(count);
}

} // namespace

bool granter_set::contains(host_id h) const
{
    auto const v = view();
    return std::find(v.begin(), v.end(), h) != v.end();
}

listed_entries::listed_entries(host_list const& list)
{
    for (listed_host const& l : list.hosts)
        if (l.kind == listed_kind::entry)
            zones_[l.zone].push_back({static_cast<std::uint16_t>(l.id)});
}

granter_set listed_entries::granters(pool_id pool) const
{
    granter_set set;
    auto const zone = zones_.find(pool.zone);
    if (zone == zones_.end())
        return set;
    std::vector<host_id> chosen = zone->second;
    rank(pool, chosen, max_granters);
    if (chosen.size() == 2)
    {
        std::vector<host_id> others;
        for (auto const& [id, hosts] : zones_)
            if (id != pool.zone)
                others.insert(others.end(), hosts.begin(), hosts.end());
        rank(pool, others, 1);
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
    auto const best =
        std::max_element(candidates.begin(), candidates.end(),
                         [pool](host_id a, host_id b)
                         { return std::pair(score(pool, a), a) < std::pair(score(pool, b), b); });
    return best == candidates.end() ? std::nullopt : std::optional(*best);
}

lease_granter::lease_granter(host_instance self, time_point start, lease_settings settings)
    : self_(self), start_(start), settings_(settings), sweep_at_(first_sweep)
{
}

void lease_granter::update(host_list const& list, time_point now)
{
    if (!lists_.empty() && list.version <= list_version_)
        return;
    list_version_ = list.version;
    lists_.push_back({list.version, now, listed_entries(list)});
    // A list matters until its successor has been known for the waiting time.
    while (lists_.size() > 1 && now - lists_[1].learned > settings_.new_granter_wait())
    {
        lists_.erase(lists_.begin());
        forgot_lists_ = true;
    }
    duties_.clear();
    sweep(now);
}

void lease_granter::list_settled(std::uint64_t version)
{
    auto const i = std::find_if(lists_.begin(), lists_.end(),
                                [version](known_list const& l) { return l.version == version; });
    if (i == lists_.end() || (i == lists_.begin() && forgot_lists_))
        return;
    lists_.erase(lists_.begin(), i);
    forgot_lists_ = true;
    duties_.clear();
}

// The granter set of a pool and the time from which this host may grant it. A host with an old list
// may get a lease from a majority of the old set for as long as lists may differ. Members that were
// in both sets stand in its way, if each majority of theirs in the new set meets each majority of
// the old one; all others wait. So the latest known list counts for which this is not so.
lease_granter::duty const& lease_granter::duty_for(pool_id pool)
{
    auto const [i, fresh] = duties_.try_emplace(pool);
    duty& d = i->second;
    if (!fresh || lists_.empty())
        return d;
    d.set = lists_.back().entries.granters(pool);
    d.from = start_ + settings_.memory();
    if (!forgot_lists_)
        d.from = start_ + settings_.new_granter_wait();
    for (std::size_t n = lists_.size(); n-- > 1;)
    {
        granter_set const before = lists_[n - 1].entries.granters(pool);
        bool const meets = d.set.majority() + before.majority() > before.size;
        if (!before.contains(self_.host) || !meets)
        {
            d.from = std::max(d.from, lists_[n].learned + settings_.new_granter_wait());
            break;
        }
    }
    return d;
}

lease_reply lease_granter::on_request(lease_request const& request, time_point now)
{
    lease_reply reply{self_, request.round, {}};
    reply.results.reserve(request.items.size());
    for (lease_item const& item : request.items)
        reply.results.push_back(answer(request, item, now));
    if (grants_.size() >= sweep_at_)
        sweep(now);
    return reply;
}

lease_result lease_granter::answer(lease_request const& request, lease_item const& item,
                                   time_point now)
{
    lease_result result{item.pool, false, {}};
    auto const held = grants_.find(item.pool);
    bool const taken = held != grants_.end() && now < held->second.until;
    if (taken)
        result.current = held->second.holder;
    if (item.release)
    {
        // A release that arrives late, after the holder has got the pool again, has a lower round.
        if (taken && held->second.holder == request.holder && held->second.round < request.round)
        {
            grants_.erase(held);
            result.current = {};
        }
        return result;
    }
    duty const& d = duty_for(item.pool);
    if (d.set.hash != item.set_hash || !d.set.contains(self_.host) || now < d.from)
        return result;
    if (taken && held->second.holder != request.holder)
        return result;
    std::uint32_t const round = taken ? std::max(held->second.round, request.round) : request.round;
    grant const next{request.holder, round, now + settings_.memory()};
    grant& slot = grants_[item.pool];
    invariants::check(slot.until <= now || slot.holder == next.holder, "lease.one_grant",
                      "a granter gives a pool to two holders");
    slot = next;
    result.granted = true;
    result.current = request.holder;
    return result;
}

void lease_granter::sweep(time_point now)
{
    std::erase_if(grants_, [now](auto const& g) { return g.second.until <= now; });
    sweep_at_ = std::max(first_sweep, 2 * grants_.size());
}

} // namespace chivelever
