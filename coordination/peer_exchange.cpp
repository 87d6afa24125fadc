#include "coordination/peer_exchange.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// A change must be in force within 3 s; this leaves time for two lost readings.
constexpr duration read_interval = 800ms;
// Random part for each host of the fleet: the first of n hosts then reads this much later on
// average, and its announcement reaches the others before the next one's turn.
constexpr duration spread_per_host = 50ms;
constexpr duration spread_maximum = 2s;
// A fetch takes a few ms of a small host's link; hosts spread theirs over this much for each host.
constexpr duration fetch_spread_per_host = 4ms;
// Between readings while the store holds no configuration yet.
constexpr duration empty_interval = 100ms;
// After a failed reading; doubled with each further one.
constexpr duration backoff_base = 150ms;
constexpr duration backoff_maximum = 1200ms;
// Beats come every 200 ms: three lost in a row are no accident.
constexpr duration silent_after = 700ms;
constexpr duration forget_silent = 30s;
// A fleet up to this size tells everybody; a larger one tells this many hosts of each zone.
constexpr std::size_t small_fleet = 16;
constexpr std::size_t beats_per_zone = 1;
constexpr std::size_t beats_own_zone = 4;
// Loads of a host that is not heard for this long no longer count.
constexpr duration load_life = 700ms;
constexpr double milli = 1000;

} // namespace

bool peer_exchange::is_heard(peer const& p, time_point now) const
{
    return p.heard != time_point{} && now - p.heard < silent_after;
}

bool peer_exchange::add(peer_address const& address, time_point now)
{
    if (address.ip == self_.ip || address.ip == 0)
        return false;
    auto const [it, added] = peers_.try_emplace(address.ip);
    if (added)
        it->second.added = now;
    if (!address.zone.empty())
        it->second.zone = address.zone;
    return added;
}

beat_outcome peer_exchange::on_beat(peer_beat const& b, view_version const& own, time_point now)
{
    beat_outcome out;
    out.new_peer = add(b.sender, now);
    auto const it = peers_.find(b.sender.ip);
    if (it == peers_.end())
        return out;
    peer& p = it->second;
    if (b.leaving)
    {
        peers_.erase(it);
        return out;
    }
    p.heard = now;
    // An announcement of a reading carries no load; the last one stays.
    std::vector<reported_load> loads = std::move(p.last.loads);
    p.last = b;
    if (b.loads.empty())
        p.last.loads = std::move(loads);
    else
        p.loads_at = now;
    p.view_confirmed = now - std::chrono::milliseconds(b.view_age_ms);
    sum_loads(now);
    for (peer_address const& other : b.others)
        add(other, now);
    out.confirmed_at = p.view_confirmed;
    if (b.config_version == 0)
        return out;
    bool const same = b.digest == own.digest && b.config_version == own.config_version;
    out.confirms = same && b.as_of >= own.as_of && p.view_confirmed > own.confirmed_at;
    out.newer = !same && (b.as_of > own.as_of || own.config_version == 0);
    return out;
}

std::vector<peer_address> peer_exchange::targets(bool all, time_point)
{
    std::vector<peer_address> out;
    if (all || peers_.size() <= small_fleet)
    {
        for (auto const& [ip, p] : peers_)
            out.push_back({ip, p.zone});
        return out;
    }
    std::map<std::string, std::vector<peer_address>> by_zone;
    for (auto const& [ip, p] : peers_)
        by_zone[p.zone].push_back({ip, p.zone});
    for (auto& [zone, hosts] : by_zone)
    {
        std::ranges::shuffle(hosts, random_);
        hosts.resize(std::min(hosts.size(), zone == self_.zone ? beats_own_zone : beats_per_zone));
        out.insert(out.end(), hosts.begin(), hosts.end());
    }
    return out;
}

std::vector<peer_address> peer_exchange::some_peers(std::size_t most, time_point now)
{
    std::vector<peer_address> out;
    for (auto const& [ip, p] : peers_)
        if (is_heard(p, now))
            out.push_back({ip, p.zone});
    std::ranges::shuffle(out, random_);
    out.resize(std::min(out.size(), most));
    return out;
}

duration peer_exchange::random_wait(time_point now)
{
    auto const spread =
        std::min<duration>(spread_maximum, spread_per_host * static_cast<int>(heard(now) + 1));
    return duration(
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count())));
}

time_point peer_exchange::next_read(view_version const& own, time_point now)
{
    if (own.config_version == 0)
        return std::max(now, not_before_);
    if (own.confirmed_at != read_planned_for_)
    {
        read_planned_for_ = own.confirmed_at;
        auto const spread =
            std::min<duration>(spread_maximum, spread_per_host * static_cast<int>(heard(now) + 1));
        read_offset_ = duration(
            static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count())));
    }
    return std::max(own.confirmed_at + read_interval + read_offset_, not_before_);
}

void peer_exchange::read_failed(time_point now)
{
    duration const wait = std::min<duration>(
        backoff_maximum, backoff_base * (1 << std::min<std::uint32_t>(failures_, 5)));
    ++failures_;
    // Half of the wait is random, so that hosts which were refused together do not return together.
    auto const half = static_cast<std::uint64_t>(wait.count() / 2);
    not_before_ = now + wait / 2 + duration(static_cast<duration::rep>(random_() % half));
}

void peer_exchange::read_done(time_point now)
{
    failures_ = 0;
    // Before the first configuration exists, readings show nothing that confirms a view; the hosts
    // then look in turn, like later.
    not_before_ = now + empty_interval + random_wait(now);
}

duration peer_exchange::fetch_delay(time_point now)
{
    auto const most = static_cast<std::uint64_t>(fetch_spread_per_host.count()) * (heard(now) + 1);
    return duration(static_cast<duration::rep>(random_() % most));
}

std::optional<std::uint32_t> peer_exchange::source(view_version const& own, time_point now)
{
    std::vector<std::uint32_t> newer;
    for (auto const& [ip, p] : peers_)
    {
        bool const differs =
            p.last.digest != own.digest || p.last.config_version != own.config_version;
        if (is_heard(p, now) && p.last.config_version != 0 &&
            p.last.config_version >= own.config_version && differs &&
            (p.last.as_of > own.as_of || own.config_version == 0))
            newer.push_back(ip);
    }
    if (newer.empty())
        return std::nullopt;
    return newer[random_() % newer.size()];
}

void peer_exchange::sum_loads(time_point now)
{
    load_sum_.clear();
    for (auto const& [ip, p] : peers_)
    {
        if (p.loads_at == time_point{} || now - p.loads_at > load_life)
            continue;
        for (reported_load const& l : p.last.loads)
        {
            upstream_load& sum = load_sum_[l.upstream.value];
            sum.flows += l.flows;
            sum.mean_waiting += l.mean_waiting_milli / milli;
        }
    }
}

upstream_load peer_exchange::other_load(flow_token upstream, time_point) const
{
    auto const it = load_sum_.find(upstream.value);
    return it == load_sum_.end() ? upstream_load{} : it->second;
}

bool peer_exchange::zone_reachable(std::string const& zone, time_point now) const
{
    if (zone == self_.zone)
        return true;
    bool known_there = false;
    bool other_heard = false;
    for (auto const& [ip, p] : peers_)
    {
        bool const here = is_heard(p, now);
        if (p.zone != zone)
            other_heard = other_heard || here;
        else if (here)
            return true;
        else
            known_there = known_there || p.heard != time_point{};
    }
    // A host that hears nobody at all cannot tell which side is cut off.
    return !known_there || !other_heard;
}

std::size_t peer_exchange::heard(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(peers_, [&](auto const& item)
                                                          { return is_heard(item.second, now); }));
}

std::size_t peer_exchange::hosts_in_zone(time_point now) const
{
    // Hosts that were heard lately count too: they may be back any moment with budgets of their
    // own.
    return 1 + static_cast<std::size_t>(std::ranges::count_if(
                   peers_,
                   [&](auto const& item)
                   {
                       return item.second.zone == self_.zone && item.second.heard != time_point{} &&
                              now - item.second.heard < forget_silent;
                   }));
}

void peer_exchange::expire(time_point now)
{
    std::erase_if(peers_, [&](auto const& item)
                  { return now - std::max(item.second.heard, item.second.added) > forget_silent; });
    sum_loads(now);
}

} // namespace chivelever
