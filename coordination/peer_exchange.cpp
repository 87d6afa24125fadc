#include "coordination/peer_exchange.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// A change must be in force within 3 s; this interval leaves time for two lost reads.
constexpr duration read_interval = 800ms;
// Each of n hosts delays its read by a random time of up to n times this, at most max_read_spread.
// The earliest read is then delayed by this much on average, and its announcement reaches the other
// hosts before the next one reads.
constexpr duration read_spread_per_host = 50ms;
constexpr duration max_read_spread = 2s;
// A fetch occupies the link of a small host for a few ms, so hosts delay theirs by a random time of
// up to this much per host of the fleet.
constexpr duration fetch_spread_per_host = 4ms;
// Interval between reads while the store holds no configuration yet.
constexpr duration empty_store_interval = 100ms;
// Delay after a failed read; doubled after each further failure.
constexpr duration backoff_base = 150ms;
constexpr duration max_backoff = 1200ms;
// Heartbeats are sent every 200 ms; three consecutive losses indicate a failure.
constexpr duration peer_timeout = 700ms;
constexpr duration peer_retention = 30s;
// Up to this size, each host sends heartbeats to all others; in a larger fleet, to a few hosts of
// each zone.
constexpr std::size_t small_fleet_size = 16;
constexpr std::size_t heartbeats_per_remote_zone = 1;
constexpr std::size_t heartbeats_local_zone = 4;
// Loads reported by a host expire when no newer report arrives within this time.
constexpr duration load_lifetime = 700ms;
constexpr double milli_per_unit = 1000;

} // namespace

bool peer_exchange::is_reachable(peer const& p, time_point now) const
{
    return p.last_heard != time_point{} && now - p.last_heard < peer_timeout;
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

heartbeat_outcome peer_exchange::on_heartbeat(peer_heartbeat const& b, view_version const& own,
                                              time_point now)
{
    heartbeat_outcome out;
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
    p.last_heard = now;
    // An announcement of a read carries no loads; the previous ones stay valid.
    std::vector<reported_load> loads = std::move(p.last.loads);
    p.last = b;
    if (b.loads.empty())
        p.last.loads = std::move(loads);
    else
        p.loads_received_at = now;
    p.view_confirmed_at = now - std::chrono::milliseconds(b.view_age_ms);
    sum_loads(now);
    for (peer_address const& other : b.known_peers)
        add(other, now);
    out.confirmed_at = p.view_confirmed_at;
    if (b.config_version == 0)
        return out;
    bool const same_contents = b.digest == own.digest && b.config_version == own.config_version;
    out.confirms = same_contents && b.as_of >= own.as_of && p.view_confirmed_at > own.confirmed_at;
    out.newer = !same_contents && (b.as_of > own.as_of || own.config_version == 0);
    return out;
}

std::vector<peer_address> peer_exchange::heartbeat_targets(bool all, time_point)
{
    std::vector<peer_address> out;
    if (all || peers_.size() <= small_fleet_size)
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
        hosts.resize(std::min(hosts.size(), zone == self_.zone ? heartbeats_local_zone
                                                               : heartbeats_per_remote_zone));
        out.insert(out.end(), hosts.begin(), hosts.end());
    }
    return out;
}

std::vector<peer_address> peer_exchange::sample_peers(std::size_t max_count, time_point now)
{
    std::vector<peer_address> out;
    for (auto const& [ip, p] : peers_)
        if (is_reachable(p, now))
            out.push_back({ip, p.zone});
    std::ranges::shuffle(out, random_);
    out.resize(std::min(out.size(), max_count));
    return out;
}

duration peer_exchange::random_read_delay(time_point now)
{
    auto const spread = std::min<duration>(
        max_read_spread, read_spread_per_host * static_cast<int>(reachable_count(now) + 1));
    return duration(
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count())));
}

time_point peer_exchange::next_read(view_version const& own, time_point now)
{
    if (own.config_version == 0)
        return std::max(now, next_read_not_before_);
    if (own.confirmed_at != read_scheduled_after_)
    {
        read_scheduled_after_ = own.confirmed_at;
        auto const spread = std::min<duration>(
            max_read_spread, read_spread_per_host * static_cast<int>(reachable_count(now) + 1));
        read_jitter_ = duration(
            static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count())));
    }
    return std::max(own.confirmed_at + read_interval + read_jitter_, next_read_not_before_);
}

void peer_exchange::on_read_failed(time_point now)
{
    duration const wait = std::min<duration>(
        max_backoff, backoff_base * (1 << std::min<std::uint32_t>(read_failures_, 5)));
    ++read_failures_;
    // Half of the delay is random, so that hosts refused together do not retry together.
    auto const half = static_cast<std::uint64_t>(wait.count() / 2);
    next_read_not_before_ = now + wait / 2 + duration(static_cast<duration::rep>(random_() % half));
}

void peer_exchange::on_read_succeeded(time_point now)
{
    read_failures_ = 0;
    // Before the first configuration exists, a read confirms no view; the random delay spreads the
    // reads of the hosts as it does later.
    next_read_not_before_ = now + empty_store_interval + random_read_delay(now);
}

duration peer_exchange::fetch_delay(time_point now)
{
    auto const spread =
        static_cast<std::uint64_t>(fetch_spread_per_host.count()) * (reachable_count(now) + 1);
    return duration(static_cast<duration::rep>(random_() % spread));
}

std::optional<std::uint32_t> peer_exchange::newer_peer(view_version const& own, time_point now)
{
    std::vector<std::uint32_t> newer;
    for (auto const& [ip, p] : peers_)
    {
        bool const differs =
            p.last.digest != own.digest || p.last.config_version != own.config_version;
        if (is_reachable(p, now) && p.last.config_version != 0 &&
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
    total_loads_.clear();
    for (auto const& [ip, p] : peers_)
    {
        if (p.loads_received_at == time_point{} || now - p.loads_received_at > load_lifetime)
            continue;
        for (reported_load const& l : p.last.loads)
        {
            upstream_load& sum = total_loads_[l.upstream.value];
            sum.flows += l.flows;
            sum.mean_pending_requests += l.mean_pending_milli / milli_per_unit;
        }
    }
}

upstream_load peer_exchange::peer_load(flow_token upstream, time_point) const
{
    auto const it = total_loads_.find(upstream.value);
    return it == total_loads_.end() ? upstream_load{} : it->second;
}

bool peer_exchange::zone_reachable(std::string const& zone, time_point now) const
{
    if (zone == self_.zone)
        return true;
    bool zone_seen = false;
    bool other_zone_reachable = false;
    for (auto const& [ip, p] : peers_)
    {
        bool const reachable = is_reachable(p, now);
        if (p.zone != zone)
            other_zone_reachable = other_zone_reachable || reachable;
        else if (reachable)
            return true;
        else
            zone_seen = zone_seen || p.last_heard != time_point{};
    }
    // A host without any reachable peer cannot tell which side is partitioned.
    return !zone_seen || !other_zone_reachable;
}

std::size_t peer_exchange::reachable_count(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_, [&](auto const& item) { return is_reachable(item.second, now); }));
}

std::size_t peer_exchange::hosts_in_zone(time_point now) const
{
    // Recently silent hosts are included: they may return at any moment and use their shares of the
    // limits of cold upstreams (placement::cold_upstream_admits).
    return 1 + static_cast<std::size_t>(
                   std::ranges::count_if(peers_,
                                         [&](auto const& item)
                                         {
                                             return item.second.zone == self_.zone &&
                                                    item.second.last_heard != time_point{} &&
                                                    now - item.second.last_heard < peer_retention;
                                         }));
}

void peer_exchange::expire(time_point now)
{
    std::erase_if(
        peers_, [&](auto const& item)
        { return now - std::max(item.second.last_heard, item.second.added) > peer_retention; });
    sum_loads(now);
}

} // namespace chivelever
