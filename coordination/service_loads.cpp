#include "coordination/service_loads.hpp"

#include <algorithm>
#include <limits>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// In a large fleet a host is heard about once in 0.7 s; three consecutive losses are rare.
constexpr duration report_lifetime = 2s;
// Bound the memory that wrong figures in messages can take.
constexpr std::size_t max_services = 64;
constexpr std::size_t max_zones = 64;
constexpr double milli_per_unit = 1000;

std::uint32_t add_bounded(std::uint32_t a, std::uint32_t b)
{
    return a > std::numeric_limits<std::uint32_t>::max() - b
               ? std::numeric_limits<std::uint32_t>::max()
               : a + b;
}

std::uint32_t to_ms(duration age)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age / 1ms, 0, 0xFFFFFFFF));
}

// Adds the figures of `from`, which were received `age` ago.
void add_load(service_load& sum, service_load const& from, duration age)
{
    sum.hosts = add_bounded(sum.hosts, std::max(1U, from.hosts));
    sum.age_ms = std::max(sum.age_ms, add_bounded(from.age_ms, to_ms(age)));
    for (zone_pending const& p : from.pending)
    {
        auto const at = std::ranges::find(sum.pending, p.zone, &zone_pending::zone);
        if (at != sum.pending.end())
            at->pending_milli = add_bounded(at->pending_milli, p.pending_milli);
        else if (sum.pending.size() < max_zones)
            sum.pending.push_back(p);
    }
    for (priority_demand const& d : from.demand)
    {
        auto const at = std::ranges::find(sum.demand, d.priority, &priority_demand::priority);
        if (at != sum.demand.end())
            at->milli_slots = add_bounded(at->milli_slots, d.milli_slots);
        else if (sum.demand.size() < max_reported_priorities)
            sum.demand.push_back(d);
    }
}

bool is_loaded(service_load const& l)
{
    return std::ranges::any_of(l.pending, [](auto const& p) { return p.pending_milli > 0; }) ||
           std::ranges::any_of(l.demand, [](auto const& d) { return d.milli_slots > 0; });
}

// Figures of `reported.hosts` hosts, scaled to all `hosts`.
zone_demand to_demand(std::string const& zone, std::size_t hosts, service_load const& reported,
                      double scale)
{
    zone_demand d;
    d.zone = zone;
    d.hosts = hosts;
    d.heard = reported.hosts > 0;
    d.age = std::chrono::milliseconds(reported.age_ms);
    for (zone_pending const& p : reported.pending)
        d.other_pending += p.pending_milli / milli_per_unit * scale;
    for (priority_demand const& p : reported.demand)
        d.slots_by_priority[p.priority] += p.milli_slots / milli_per_unit * scale;
    return d;
}

} // namespace

bool service_loads::is_recent(report const& r, time_point now)
{
    return now - r.received_at < report_lifetime;
}

void service_loads::record(peer_address const& from, std::vector<service_load> const& loads,
                           time_point now)
{
    if (loads.empty() || from.zone.empty() ||
        (from.zone != zone_ && zones_.size() >= max_zones && !zones_.contains(from.zone)))
        return;
    report& r = from.zone == zone_ ? hosts_[from.ip] : zones_[from.zone];
    r.received_at = now;
    r.loads.clear();
    for (service_load const& l : loads)
        if (r.loads.size() < max_services)
            r.loads[l.service] = l;
}

void service_loads::expire(time_point now)
{
    std::erase_if(hosts_, [&](auto const& item) { return !is_recent(item.second, now); });
    std::erase_if(zones_, [&](auto const& item) { return !is_recent(item.second, now); });
}

service_load service_loads::sum_of_zone(std::string const& service, time_point now) const
{
    service_load sum;
    sum.service = service;
    sum.hosts = 0;
    for (auto const& [ip, r] : hosts_)
        if (auto const l = r.loads.find(service); l != r.loads.end() && is_recent(r, now))
            add_load(sum, l->second, now - r.received_at);
    return sum;
}

fleet_load service_loads::load(std::string const& service, std::vector<living_zone> const& zones,
                               time_point now) const
{
    fleet_load out;
    for (auto const& [zone, hosts] : zones)
    {
        service_load reported;
        reported.hosts = 0;
        bool const own = zone == zone_;
        if (own)
            reported = sum_of_zone(service, now);
        else if (auto const z = zones_.find(zone); z != zones_.end() && is_recent(z->second, now))
            if (auto const l = z->second.loads.find(service); l != z->second.loads.end())
                add_load(reported, l->second, now - z->second.received_at);
        // The own zone's reports cover the hosts other than this one.
        auto const covered = static_cast<double>(std::max(1U, reported.hosts));
        double const scale = static_cast<double>(own ? hosts - 1 : hosts) / covered;
        out.demands.push_back(to_demand(zone, hosts, reported, scale));
        if (!own)
            for (zone_pending const& p : reported.pending)
                out.remote_pending[p.zone] += p.pending_milli / milli_per_unit * scale;
    }
    return out;
}

std::vector<service_load> service_loads::zone_sums(std::vector<service_load> const& own,
                                                   time_point now) const
{
    std::vector<service_load> out;
    for (service_load const& l : own)
    {
        service_load sum = sum_of_zone(l.service, now);
        add_load(sum, l, {});
        out.push_back(std::move(sum));
    }
    return out;
}

std::set<std::string> service_loads::loaded_services(time_point now) const
{
    std::set<std::string> out;
    auto const add = [&](report const& r)
    {
        if (is_recent(r, now))
            for (auto const& [service, l] : r.loads)
                if (is_loaded(l))
                    out.insert(service);
    };
    for (auto const& [ip, r] : hosts_)
        add(r);
    for (auto const& [zone, r] : zones_)
        add(r);
    return out;
}

} // namespace chivelever
