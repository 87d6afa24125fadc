#include "coordination/peer_exchange.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// A change must be in force within 3 s; this interval leaves time for two lost reads.
constexpr duration read_interval = 800ms;
// Interval between reads while the store holds no configuration yet.
constexpr duration empty_store_interval = 250ms;
// A host that has started finds the others, and they find it, within this time; until then it does
// not know its place in the order and does not read again.
constexpr duration settling_time = 2s;
// A host reads this many recent read times after the one before it in the order, so that an
// announcement under way prevents the read.
constexpr int read_gap_factor = 2;
constexpr duration min_read_gap = 80ms;
constexpr duration max_read_gap = 600ms;
constexpr duration initial_read_time = 50ms;
// Hosts further back in the order read at a random time from here to twice this, so that a fleet
// whose first readers all fail neither waits for long nor reads all at once.
constexpr duration max_ordered_delay = 1500ms;
// Two readings at the same revision of the store are at least one read interval apart.
constexpr duration same_revision_margin = 400ms;
// Delay of the next read after one whose listing was older than the view.
constexpr duration outdated_read_delay = 200ms;
// A fetch occupies the link of a small host for a few ms, so hosts delay theirs by a random time of
// up to this much per host of the fleet.
constexpr duration fetch_spread_per_host = 2ms;
// A large view takes about this long to be sent.
constexpr duration min_fetch_retry_delay = 50ms;
// Delay after a failed read; doubled after each further failure.
constexpr duration backoff_base = 150ms;
constexpr duration max_backoff = 1200ms;
// Heartbeats are sent every 200 ms; three consecutive losses indicate a failure.
constexpr duration contact_timeout = 700ms;
// In a large fleet a host is heard directly about once in 2 s, and relayed evidence of a host of
// another zone takes several seconds to reach everybody.
constexpr duration local_alive_timeout = 2s;
constexpr duration remote_alive_timeout = 10s;
constexpr duration peer_retention = 30s;
// Bounds the memory that wrong addresses in messages can take.
constexpr std::size_t max_peers = 4096;
// Added to the age of relayed evidence, which does not include the time on the way.
constexpr duration relay_margin = 10ms;
// Evidence from before a host's shutdown may be relayed with an age that is too low by this much.
constexpr duration leave_margin = 500ms;
// Up to this size, each host sends heartbeats to all others; in a larger fleet, to a few hosts of
// each zone.
constexpr std::size_t small_fleet_size = 16;
constexpr std::size_t heartbeats_local_zone = 6;
// Heartbeats that the hosts of one zone together send to another zone per period. At 60 a second, a
// cut of the zone is seen within 0.7 s without false alarms.
constexpr double heartbeats_per_zone_pair = 12;
constexpr double max_heartbeats_per_remote_zone = 2;
constexpr std::size_t sampled_local_hosts = 9;
constexpr std::size_t sampled_remote_hosts = 9;
constexpr std::size_t newcomer_sample_factor = 4;
// A host that knows fewer than one in this many of the hosts known here is a newcomer.
constexpr std::size_t newcomer_ratio = 2;
constexpr duration introduction_interval = 400ms;
// Introductions by one host per heartbeat period; hosts that were introduced introduce others.
constexpr std::size_t max_introductions = 20;
// Loads reported by a host expire when no newer report arrives within this time.
constexpr duration load_lifetime_small_fleet = 700ms;
constexpr duration load_lifetime_large_fleet = 2s;

duration random_below(duration limit, std::minstd_rand& random)
{
    return duration(
        static_cast<duration::rep>(random() % static_cast<std::uint64_t>(limit.count())));
}

} // namespace

bool peer_exchange::is_alive(peer const& p, time_point now) const
{
    duration const timeout = peers_.size() <= small_fleet_size ? contact_timeout
                             : p.zone == self_.zone            ? local_alive_timeout
                                                               : remote_alive_timeout;
    return p.last_evidence != time_point{} && now - p.last_evidence < timeout;
}

void peer_exchange::set_zone(std::uint32_t ip, peer& p, std::string const& zone)
{
    if (zone.empty() || zone == p.zone)
        return;
    std::erase(zone_hosts_[p.zone], ip);
    p.zone = zone;
    zone_hosts_[zone].push_back(ip);
}

bool peer_exchange::add(peer_address const& address, time_point now)
{
    if (address.ip == self_.ip || address.ip == 0)
        return false;
    auto it = peers_.find(address.ip);
    bool const is_new = it == peers_.end();
    if (is_new)
    {
        if (peers_.size() >= max_peers)
            return false;
        it = peers_.try_emplace(address.ip).first;
        it->second.added = now;
        zone_hosts_[""].push_back(address.ip);
    }
    set_zone(address.ip, it->second, address.zone);
    return is_new;
}

void peer_exchange::remove(std::uint32_t ip)
{
    auto const it = peers_.find(ip);
    if (it == peers_.end())
        return;
    subtract_loads(it->second);
    service_loads_.remove(ip);
    std::erase(zone_hosts_[it->second.zone], ip);
    peers_.erase(it);
}

void peer_exchange::observe(observed_host const& o, time_point now)
{
    auto const left = left_.find(o.host.ip);
    if (!o.age_ms)
    {
        if (left == left_.end())
            add(o.host, now);
        return;
    }
    duration const age = std::chrono::milliseconds(*o.age_ms) + relay_margin;
    if (age > peer_retention || (left != left_.end() && now - age <= left->second + leave_margin))
        return;
    add(o.host, now);
    auto const it = peers_.find(o.host.ip);
    if (it != peers_.end())
        it->second.last_evidence = std::max(it->second.last_evidence, now - age);
}

heartbeat_outcome peer_exchange::on_heartbeat(peer_heartbeat const& b, view_version const& own,
                                              time_point now)
{
    heartbeat_outcome out;
    if (b.leaving)
    {
        remove(b.sender.ip);
        left_[b.sender.ip] = now;
        return out;
    }
    left_.erase(b.sender.ip);
    add(b.sender, now);
    auto const it = peers_.find(b.sender.ip);
    if (it == peers_.end())
        return out;
    peer& p = it->second;
    out.new_peer = p.last_heard == time_point{};
    p.last_heard = p.last_evidence = last_contact_ = zone_heard_[p.zone] = now;
    p.view_confirmed_at = now - std::chrono::milliseconds(b.view_age_ms);
    p.view = {b.as_of, b.digest, b.config_version, p.view_confirmed_at};
    // An announcement of a read carries no loads; the previous ones stay valid.
    if (!b.loads.empty())
        replace_loads(p, b.loads, now);
    service_loads_.record({b.sender.ip, p.zone}, b.service_loads, now);
    out.confirmed_at = p.view_confirmed_at;
    bool const same_contents = b.digest == own.digest && b.config_version == own.config_version;
    // A reading that is relayed seems to be younger by its time on the way. At the same revision it
    // counts as another reading only if it is clearly younger.
    duration const margin = b.as_of == own.as_of ? same_revision_margin : duration{};
    // The positions of the entries change with the era, so a view of a later era is fetched even if
    // its contents are the same.
    bool const later_era = b.as_of.era > own.as_of.era;
    out.confirms = same_contents && !later_era && b.as_of >= own.as_of &&
                   p.view_confirmed_at > own.confirmed_at + margin;
    out.newer = (!same_contents || later_era) && b.config_version != 0 &&
                (b.as_of > own.as_of || own.config_version == 0);
    bool const same_zone = p.zone == self_.zone;
    for (observed_host const& o : b.observed_hosts)
        observe(o, now);
    // Hosts of another zone may reach zones that this one does not.
    if (same_zone)
        for (observed_zone const& o : b.observed_zones)
        {
            time_point& heard = zone_heard_[o.zone];
            heard = std::max(heard, now - std::chrono::milliseconds(o.age_ms) - relay_margin);
        }
    return out;
}

// Moves `count` random elements to the front of `zone_hosts` and appends them to `out`.
void peer_exchange::append_random(std::vector<std::uint32_t>& zone_hosts, std::size_t count,
                                  std::vector<std::uint32_t>& out)
{
    count = std::min(count, zone_hosts.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        std::swap(zone_hosts[i], zone_hosts[i + random_() % (zone_hosts.size() - i)]);
        out.push_back(zone_hosts[i]);
    }
}

std::vector<peer_address> peer_exchange::all_peers() const
{
    std::vector<peer_address> out;
    out.reserve(peers_.size());
    for (auto const& [ip, p] : peers_)
        out.push_back({ip, p.zone});
    return out;
}

std::vector<peer_address> peer_exchange::heartbeat_targets()
{
    if (peers_.size() <= small_fleet_size)
        return all_peers();
    std::vector<peer_address> out;
    std::vector<std::uint32_t> chosen;
    double const local_hosts = 1 + static_cast<double>(zone_hosts_[self_.zone].size());
    double const per_remote_zone =
        std::min(max_heartbeats_per_remote_zone, heartbeats_per_zone_pair / local_hosts);
    for (auto& [zone, hosts] : zone_hosts_)
    {
        double const uniform = static_cast<double>(random_() - std::minstd_rand::min()) /
                               static_cast<double>(std::minstd_rand::max());
        // Rounds up or down at random, to the right mean.
        std::size_t const count = zone == self_.zone
                                      ? heartbeats_local_zone
                                      : static_cast<std::size_t>(per_remote_zone + uniform);
        chosen.clear();
        append_random(hosts, count, chosen);
        for (std::uint32_t const ip : chosen)
            out.push_back({ip, zone});
    }
    return out;
}

std::vector<observed_host> peer_exchange::sample_hosts(time_point now)
{
    alive_count_ = static_cast<std::size_t>(std::ranges::count_if(
        peers_, [&](auto const& item) { return is_alive(item.second, now); }));
    introductions_ = 0;
    if (has_contact(now))
        known_local_hosts_ = living_hosts(now).front().hosts;
    return sample(self_.zone, 1, now);
}

std::vector<observed_host> peer_exchange::introduce_fleet(peer_heartbeat const& b, time_point now)
{
    auto const it = peers_.find(b.sender.ip);
    if (it == peers_.end() || !b.known_hosts || *b.known_hosts * newcomer_ratio >= alive_count_ ||
        now - it->second.introduced_at < introduction_interval ||
        introductions_ >= max_introductions)
        return {};
    ++introductions_;
    it->second.introduced_at = now;
    return sample(it->second.zone, newcomer_sample_factor, now);
}

std::vector<observed_host> peer_exchange::sample(std::string const& zone, std::size_t factor,
                                                 time_point now)
{
    std::vector<std::uint32_t> chosen;
    append_random(zone_hosts_[zone], factor * sampled_local_hosts, chosen);
    std::vector<std::vector<std::uint32_t>*> remote_zones;
    for (auto& [name, hosts] : zone_hosts_)
        if (name != zone && !hosts.empty())
            remote_zones.push_back(&hosts);
    for (std::size_t i = 0; i < factor * sampled_remote_hosts && !remote_zones.empty(); ++i)
        append_random(*remote_zones[random_() % remote_zones.size()], 1, chosen);
    std::vector<observed_host> out;
    for (std::uint32_t const ip : chosen)
    {
        peer const& p = peers_.at(ip);
        if (is_alive(p, now))
            out.push_back(
                {{ip, p.zone}, static_cast<std::uint32_t>((now - p.last_evidence) / 1ms)});
    }
    return out;
}

std::vector<observed_zone> peer_exchange::observed_zones(time_point now) const
{
    std::vector<observed_zone> out;
    for (auto const& [zone, heard] : zone_heard_)
        if (zone != self_.zone && now - heard < contact_timeout)
            out.push_back({zone, static_cast<std::uint32_t>((now - heard) / 1ms)});
    return out;
}

duration peer_exchange::read_delay(view_version const& own, time_point now)
{
    if (!has_contact(now))
        return {};
    std::map<std::string_view, bool> reachable;
    for (auto const& [zone, heard] : zone_heard_)
        reachable[zone] = zone_reachable(zone, now);
    std::uint64_t const mine = hash_pair(own.as_of.revision, self_.ip);
    auto const rank =
        std::ranges::count_if(peers_,
                              [&](auto const& item)
                              {
                                  return hash_pair(own.as_of.revision, item.first) < mine &&
                                         is_alive(item.second, now) && reachable[item.second.zone];
                              });
    duration const gap =
        std::clamp<duration>(read_time_ * read_gap_factor, min_read_gap, max_read_gap);
    duration const delay = gap * rank;
    return delay <= max_ordered_delay
               ? delay
               : max_ordered_delay + random_below(max_ordered_delay, random_);
}

time_point peer_exchange::next_read(view_version const& own, time_point now)
{
    if (own.confirmed_at == time_point{})
        return std::max(now, next_read_not_before_);
    if (settled_at_ == time_point{})
        settled_at_ = now + settling_time;
    if (now < settled_at_)
        return settled_at_;
    if (own.confirmed_at != read_scheduled_after_)
    {
        // The view was confirmed as of the start of a read, and is known here since now.
        duration const observed = std::min<duration>(now - own.confirmed_at, max_read_gap);
        read_time_ = read_time_ == duration{} ? initial_read_time : (3 * read_time_ + observed) / 4;
        read_scheduled_after_ = own.confirmed_at;
        read_delay_ = read_delay(own, now);
    }
    duration const interval = own.config_version == 0 ? empty_store_interval : read_interval;
    time_point const due = std::max(own.confirmed_at + interval, settled_at_) + read_delay_;
    return std::max(due, next_read_not_before_);
}

void peer_exchange::on_read_failed(time_point now)
{
    duration const wait = std::min<duration>(
        max_backoff, backoff_base * (1 << std::min<std::uint32_t>(read_failures_, 5)));
    ++read_failures_;
    // Half of the delay is random, so that hosts refused together do not retry together.
    next_read_not_before_ = now + wait / 2 + random_below(wait / 2, random_);
}

void peer_exchange::on_read_succeeded(time_point now)
{
    read_failures_ = 0;
    next_read_not_before_ = now + outdated_read_delay;
}

duration peer_exchange::fetch_delay()
{
    return random_below(fetch_spread_per_host * static_cast<int>(alive_count_ + 1), random_);
}

duration peer_exchange::fetch_retry_delay()
{
    return min_fetch_retry_delay + 2 * fetch_delay();
}

std::optional<std::uint32_t> peer_exchange::newer_peer(view_version const& own, time_point now)
{
    std::vector<std::uint32_t> newer;
    for (auto const& [ip, p] : peers_)
    {
        // A restored store may list an older configuration for a few seconds.
        bool const later_era = p.view.as_of.era > own.as_of.era;
        bool const differs =
            later_era || p.view.digest != own.digest || p.view.config_version != own.config_version;
        if (p.last_heard != time_point{} && now - p.last_heard < local_alive_timeout &&
            is_alive(p, now) && p.view.config_version != 0 &&
            (later_era || p.view.config_version >= own.config_version) && differs &&
            (p.view.as_of > own.as_of || own.config_version == 0))
            newer.push_back(ip);
    }
    if (newer.empty())
        return std::nullopt;
    return newer[random_() % newer.size()];
}

duration peer_exchange::load_lifetime() const
{
    return peers_.size() <= small_fleet_size ? load_lifetime_small_fleet
                                             : load_lifetime_large_fleet;
}

bool peer_exchange::has_contact(time_point now) const
{
    return last_contact_ != time_point{} && now - last_contact_ < contact_timeout;
}

bool peer_exchange::zone_reachable(std::string const& zone, time_point now) const
{
    auto const heard = zone_heard_.find(zone);
    if (zone == self_.zone || heard == zone_heard_.end() || now - heard->second < contact_timeout)
        return true;
    // A host that hears nobody cannot tell which side is partitioned.
    return std::ranges::none_of(
        zone_heard_, [&](auto const& item)
        { return item.first != zone && now - item.second < contact_timeout; });
}

bool peer_exchange::is_alive(std::uint32_t ip, time_point now) const
{
    auto const it = peers_.find(ip);
    return it != peers_.end() && is_alive(it->second, now);
}

std::size_t peer_exchange::hosts_in_zone(time_point now) const
{
    // Recently silent hosts are included: they may return at any moment and use their shares of the
    // limits of cold upstreams (placement::cold_upstream_admits).
    return 1 + static_cast<std::size_t>(std::ranges::count_if(
                   peers_,
                   [&](auto const& item)
                   {
                       return item.second.zone == self_.zone &&
                              item.second.last_evidence != time_point{} &&
                              now - item.second.last_evidence < peer_retention;
                   }));
}

std::size_t peer_exchange::rank_in_zone(std::uint64_t key, time_point now) const
{
    std::uint64_t const mine = hash_pair(key, self_.ip);
    auto const local = zone_hosts_.find(self_.zone);
    if (local == zone_hosts_.end())
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(
        local->second, [&](std::uint32_t ip)
        { return hash_pair(key, ip) < mine && is_alive(peers_.at(ip), now); }));
}

void peer_exchange::expire(time_point now)
{
    service_loads_.expire(now);
    std::vector<std::uint32_t> silent;
    for (auto& [ip, p] : peers_)
    {
        if (now - std::max(p.last_evidence, p.added) > peer_retention)
            silent.push_back(ip);
        else if (!p.loads.empty() && now - p.loads_received_at > load_lifetime())
            subtract_loads(p);
    }
    for (std::uint32_t const ip : silent)
        remove(ip);
    std::erase_if(left_, [&](auto const& item) { return now - item.second > peer_retention; });
    std::erase_if(zone_heard_,
                  [&](auto const& item) { return now - item.second > peer_retention; });
}

} // namespace chivelever
