#include "coordination/pool_lease.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

// 60 items of at most 17 bytes stay below 1,400 bytes.
constexpr std::size_t max_items_per_request = 60;
// After a split vote, a holder skips fewer than this many rounds. The number depends on host and
// round, so that two contenders rarely ask again at the same time.
constexpr std::uint32_t backoff_rounds_bound = 4;

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
    entries_ = entry_hosts(list);
    for (auto& [pool, s] : pools_)
        update_granters(pool, s);
}

// Switches to a changed granter set. A lease from the old set stays valid until it expires, but
// grants of the old set do not count towards a majority of the new one.
void lease_holder::update_granters(pool_id pool, pool_state& s)
{
    granter_set const set = entries_.granters(pool);
    if (set == s.granters)
        return;
    time_point const end = lease_end(s);
    reset_grants(s);
    s.carried_until = end;
    s.granters = set;
}

void lease_holder::set_pools(std::span<pool_id const> pools)
{
    for (auto& [pool, s] : pools_)
        s.configured = false;
    for (pool_id const p : pools)
    {
        auto const [i, inserted] = pools_.try_emplace(p);
        i->second.configured = true;
        if (inserted)
        {
            update_granters(p, i->second);
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

bool lease_holder::is_preferred_holder(pool_id pool) const
{
    auto const i = pools_.find(pool);
    return i != pools_.end() && i->second.configured && i->second.preferred == self_.host;
}

// Returns when the lease expires. The newest grants of a majority count, and the ttl runs from the
// sending time of the oldest of these.
time_point lease_holder::lease_end(pool_state const& s) const
{
    if (s.granters.size == 0)
        return s.carried_until;
    std::array<time_point, max_granters> sent = s.grant_sent_at;
    std::sort(sent.begin(), sent.end(), std::greater<>()); // unused entries are zero and sort last
    time_point const oldest = sent[s.granters.majority() - 1];
    if (oldest == time_point{})
        return s.carried_until;
    return std::max(s.carried_until, oldest + settings_.ttl - settings_.holder_margin);
}

// Returns true if the lease has reached its renewal age or was obtained from an earlier granter
// set.
bool lease_holder::renewal_due(pool_state const& s, time_point now) const
{
    return lease_end(s) == s.carried_until ||
           lease_end(s) - now <= settings_.ttl - settings_.holder_margin - settings_.renewal;
}

void lease_holder::reset_grants(pool_state& s)
{
    s.grant_sent_at = {};
    s.refused = {};
    s.carried_until = {};
    s.last_ignored_round = last_round_;
}

// Returns true if some granters have granted the pool to this host and others to another, while
// this host has no valid lease. Both hosts could renew their minorities indefinitely, so this one
// releases its grants and backs off.
bool lease_holder::has_split_vote(pool_state const& s, time_point now) const
{
    if (now < lease_end(s))
        return false;
    bool granted = false;
    bool refused = false;
    for (std::size_t i = 0; i < s.granters.size; ++i)
    {
        granted = granted ||
                  (s.grant_sent_at[i] != time_point{} && now - s.grant_sent_at[i] < settings_.ttl);
        refused = refused || s.refused[i];
    }
    return granted && refused;
}

std::uint32_t lease_holder::start_round(time_point now)
{
    while (!sent_rounds_.empty() && now - sent_rounds_.front().second > settings_.ttl)
        sent_rounds_.pop_front();
    sent_rounds_.emplace_back(++last_round_, now);
    return last_round_;
}

void lease_holder::batch_item(pool_id pool, pool_state const& s, bool release)
{
    for (host_id const g : s.granters.view())
        batch_[g].push_back({pool, s.granters.hash, release});
}

void lease_holder::send_batch(std::uint32_t round, outgoing_leases& out)
{
    for (auto& [to, items] : batch_)
        for (std::size_t i = 0; i < items.size(); i += max_items_per_request)
        {
            auto const first = items.begin() + static_cast<std::ptrdiff_t>(i);
            auto const last =
                items.begin() +
                static_cast<std::ptrdiff_t>(std::min(items.size(), i + max_items_per_request));
            out.emplace_back(to, lease_request{self_, round, {first, last}});
        }
    batch_.clear();
}

void lease_holder::tick(time_point now, outgoing_leases& out)
{
    if (next_tick_ && now < *next_tick_)
        return;
    next_tick_ = next_tick_ ? std::max(*next_tick_ + settings_.retry, now) : now + settings_.retry;
    std::uint32_t const round = start_round(now);
    for (auto i = pools_.begin(); i != pools_.end();)
    {
        auto& [pool, s] = *i;
        bool const holds = now < lease_end(s);
        bool const should_hold = s.configured && s.preferred == self_.host;
        // A pool that is no longer configured is kept while a late reply to a round before its
        // release could be mistaken for a new grant.
        if (!s.configured && !holds && s.last_ignored_round < sent_rounds_.front().first)
        {
            i = pools_.erase(i);
            continue;
        }
        bool const split_vote = has_split_vote(s, now);
        if (split_vote)
        {
            reset_grants(s);
            s.last_ignored_round = round;
            s.backoff_until_round = round + 1 +
                                    static_cast<std::uint32_t>(hash_pair(self_.host.value, round) %
                                                               backoff_rounds_bound);
        }
        if (split_vote)
            batch_item(pool, s, true);
        else if ((holds && s.configured && renewal_due(s, now)) ||
                 (should_hold && !holds && round >= s.backoff_until_round))
            batch_item(pool, s, false);
        s.refused = {};
        ++i;
    }
    send_batch(round, out);
}

void lease_holder::on_reply(lease_reply const& reply, time_point now)
{
    auto const sent = std::find_if(sent_rounds_.begin(), sent_rounds_.end(),
                                   [&](auto const& r) { return r.first == reply.round; });
    if (sent == sent_rounds_.end() || reply.holder_run != self_.run ||
        now - sent->second > settings_.ttl)
        return;
    for (lease_result const& r : reply.results)
    {
        auto const i = pools_.find(r.pool);
        if (i == pools_.end() || reply.round <= i->second.last_ignored_round)
            continue;
        pool_state& s = i->second;
        auto const set = s.granters.view();
        auto const g = std::find(set.begin(), set.end(), reply.granter.host);
        if (g == set.end())
            continue;
        auto const n = static_cast<std::size_t>(g - set.begin());
        if (r.granted)
            s.grant_sent_at[n] = std::max(s.grant_sent_at[n], sent->second);
        else if (r.current != host_instance{})
            s.refused[n] = true;
    }
}

void lease_holder::release(pool_id pool, time_point now, outgoing_leases& out)
{
    auto const i = pools_.find(pool);
    if (i == pools_.end())
        return;
    std::uint32_t const round = start_round(now);
    reset_grants(i->second); // ignores replies to this round and earlier ones
    batch_item(pool, i->second, true);
    send_batch(round, out);
}

std::optional<time_point> lease_holder::valid_until(pool_id pool, time_point now) const
{
    auto const i = pools_.find(pool);
    if (i == pools_.end())
        return {};
    time_point const end = lease_end(i->second);
    return now < end ? std::optional(end) : std::nullopt;
}

std::vector<pool_id> lease_holder::held_pools(time_point now) const
{
    std::vector<pool_id> result;
    for (auto const& [pool, s] : pools_)
        if (now < lease_end(s))
            result.push_back(pool);
    return result;
}

std::vector<std::pair<pool_id, host_id>> lease_holder::pools_to_hand_over(time_point now) const
{
    std::vector<std::pair<pool_id, host_id>> result;
    for (auto const& [pool, s] : pools_)
        if (s.configured && s.preferred && *s.preferred != self_.host && now < lease_end(s))
            result.emplace_back(pool, *s.preferred);
    return result;
}

} // namespace chivelever
