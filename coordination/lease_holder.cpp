#include "coordination/pool_lease.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

constexpr std::size_t items_per_request = 60; // 60 items of at most 17 bytes stay below 1,400 bytes
constexpr std::uint32_t max_rest = 4;         // renewal periods without asking, after a split vote

} // namespace

lease_holder::lease_holder(host_instance self, lease_settings settings)
    : self_(self), settings_(settings)
{
}

void lease_holder::update(host_list const& list)
{
    if (list_version_ != 0 && list.version <= list_version_)
        return;
    list_version_ = list.version;
    entries_ = listed_entries(list);
    for (auto& [pool, s] : pools_)
        set_granters(pool, s);
}

// Takes a changed granter set into use. A majority of the old set still stands until it expires,
// but its grants do not count towards a majority of the new set.
void lease_holder::set_granters(pool_id pool, pool_state& s)
{
    granter_set const set = entries_.granters(pool);
    if (set == s.set)
        return;
    time_point const end = end_of(s);
    forget(s);
    s.carried = end;
    s.set = set;
}

void lease_holder::set_pools(std::span<pool_id const> pools)
{
    for (auto& [pool, s] : pools_)
        s.known = false;
    for (pool_id const p : pools)
    {
        auto const [i, fresh] = pools_.try_emplace(p);
        i->second.known = true;
        if (fresh)
        {
            set_granters(p, i->second);
            i->second.preferred = preferred_holder(p, candidates_);
        }
    }
}

void lease_holder::set_candidates(std::span<host_id const> candidates)
{
    if (std::equal(candidates.begin(), candidates.end(), candidates_.begin(), candidates_.end()))
        return;
    candidates_.assign(candidates.begin(), candidates.end());
    for (auto& [pool, s] : pools_)
        s.preferred = preferred_holder(pool, candidates_);
}

bool lease_holder::wanted(pool_id pool) const
{
    auto const i = pools_.find(pool);
    return i != pools_.end() && i->second.known && i->second.preferred == self_.host;
}

// The end of the lease: the sending time of the oldest grant in the newest majority, plus the ttl.
time_point lease_holder::end_of(pool_state const& s) const
{
    if (s.set.size == 0)
        return s.carried;
    std::array<time_point, max_granters> sent = s.granted;
    std::sort(sent.begin(), sent.end(), std::greater<>()); // unused places are zero, so last
    time_point const oldest = sent[s.set.majority() - 1];
    if (oldest == time_point{})
        return s.carried;
    return std::max(s.carried, oldest + settings_.ttl - settings_.holder_margin);
}

// A lease is due for renewal at its age, and at once under a changed granter set.
bool lease_holder::due(pool_state const& s, time_point now) const
{
    return end_of(s) == s.carried ||
           end_of(s) - now <= settings_.ttl - settings_.holder_margin - settings_.renewal;
}

void lease_holder::forget(pool_state& s)
{
    s.granted = {};
    s.refused = {};
    s.carried = {};
    s.barrier = round_;
}

// Whether this host has the word of a minority while another host has that of others: both would
// renew forever, so this one lets go and rests for a while.
bool lease_holder::split(pool_state const& s, time_point now) const
{
    if (now < end_of(s))
        return false;
    bool granted = false;
    bool refused = false;
    for (std::size_t i = 0; i < s.set.size; ++i)
    {
        granted = granted || (s.granted[i] != time_point{} && now - s.granted[i] < settings_.ttl);
        refused = refused || s.refused[i];
    }
    return granted && refused;
}

std::uint32_t lease_holder::next_round(time_point now)
{
    while (!sent_.empty() && now - sent_.front().second > settings_.ttl)
        sent_.pop_front();
    sent_.emplace_back(++round_, now);
    return round_;
}

void lease_holder::add(pool_id pool, pool_state const& s, bool release)
{
    for (host_id const g : s.set.view())
        batch_[g].push_back({pool, s.set.hash, release});
}

void lease_holder::flush(std::uint32_t round, outgoing_leases& out)
{
    for (auto& [to, items] : batch_)
        for (std::size_t i = 0; i < items.size(); i += items_per_request)
        {
            auto const first = items.begin() + static_cast<std::ptrdiff_t>(i);
            auto const last = items.begin() + static_cast<std::ptrdiff_t>(
                                                  std::min(items.size(), i + items_per_request));
            out.emplace_back(to, lease_request{self_, round, {first, last}});
        }
    batch_.clear();
}

void lease_holder::tick(time_point now, outgoing_leases& out)
{
    if (next_ && now < *next_)
        return;
    next_ = next_ ? std::max(*next_ + settings_.retry, now) : now + settings_.retry;
    std::uint32_t const round = next_round(now);
    for (auto i = pools_.begin(); i != pools_.end();)
    {
        auto& [pool, s] = *i;
        bool const holds = now < end_of(s);
        bool const wants = s.known && s.preferred == self_.host;
        // Kept while a late reply to a round before a release could still be taken for a grant.
        if (!s.known && !holds && s.barrier < sent_.front().first)
        {
            i = pools_.erase(i);
            continue;
        }
        bool const lost = split(s, now);
        if (lost)
        {
            forget(s);
            s.barrier = round;
            s.rest_until =
                round + 1 +
                static_cast<std::uint32_t>(hash_pair(self_.host.value, round) % max_rest);
        }
        if (lost)
            add(pool, s, true);
        else if ((holds && s.known && due(s, now)) || (wants && !holds && round >= s.rest_until))
            add(pool, s, false);
        s.refused = {};
        ++i;
    }
    flush(round, out);
}

void lease_holder::on_reply(lease_reply const& reply, time_point now)
{
    auto const sent = std::find_if(sent_.begin(), sent_.end(),
                                   [&](auto const& r) { return r.first == reply.round; });
    if (sent == sent_.end() || reply.holder != self_.run || now - sent->second > settings_.ttl)
        return;
    for (lease_result const& r : reply.results)
    {
        auto const i = pools_.find(r.pool);
        if (i == pools_.end() || reply.round <= i->second.barrier)
            continue;
        pool_state& s = i->second;
        auto const set = s.set.view();
        auto const g = std::find(set.begin(), set.end(), reply.granter.host);
        if (g == set.end())
            continue;
        auto const n = static_cast<std::size_t>(g - set.begin());
        if (r.granted)
            s.granted[n] = std::max(s.granted[n], sent->second);
        else if (r.current != host_instance{})
            s.refused[n] = true;
    }
}

void lease_holder::release(pool_id pool, time_point now, outgoing_leases& out)
{
    auto const i = pools_.find(pool);
    if (i == pools_.end())
        return;
    std::uint32_t const round = next_round(now);
    forget(i->second); // replies to earlier rounds, and to this one, no longer count
    add(pool, i->second, true);
    flush(round, out);
}

std::optional<time_point> lease_holder::valid_until(pool_id pool, time_point now) const
{
    auto const i = pools_.find(pool);
    if (i == pools_.end())
        return {};
    time_point const end = end_of(i->second);
    return now < end ? std::optional(end) : std::nullopt;
}

std::vector<pool_id> lease_holder::held(time_point now) const
{
    std::vector<pool_id> result;
    for (auto const& [pool, s] : pools_)
        if (now < end_of(s))
            result.push_back(pool);
    return result;
}

std::vector<std::pair<pool_id, host_id>> lease_holder::to_hand_over(time_point now) const
{
    std::vector<std::pair<pool_id, host_id>> result;
    for (auto const& [pool, s] : pools_)
        if (s.known && s.preferred && *s.preferred != self_.host && now < end_of(s))
            result.emplace_back(pool, *s.preferred);
    return result;
}

} // namespace chivelever
