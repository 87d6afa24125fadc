// Simulated network and key-value store, and the packets sent between processes.
#ifndef CHIVELEVER_SOAK_NETWORK_HPP
#define CHIVELEVER_SOAK_NETWORK_HPP

#include "sim.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>

namespace chivelever::soak
{

inline constexpr std::size_t max_zones = 8;
inline constexpr zone_id caller_zone{max_zones - 1}; // zone of the callers; never partitioned

// A packet with its own copies of the strings.
struct packet
{
    packet_view head;
    std::string flow_id;
    std::string payload;
    sim_time sent{};
    host_instance sender; // run 0 unless a host sent it

    static packet copy(packet_view const& p)
    {
        return {p, std::string(p.flow_id), std::string(p.payload), 0, {}};
    }
    packet_view view() const
    {
        packet_view p = head;
        p.flow_id = flow_id;
        p.payload = payload;
        return p;
    }
};

// Delays, drops, duplicates and reorders messages. Zones can be partitioned, also in one direction
// only.
class channel
{
public:
    explicit channel(simulation& s) : sim_(s) {}

    // A message between hosts, hosts and upstreams, or with a caller.
    template<class F>
    void send(zone_id from, zone_id to, F const& deliver)
    {
        if (partitioned_[from.value][to.value] || sim_.chance(degraded_ ? 0.08 : 0.004))
            return;
        if (sim_.chance(degraded_ ? 0.05 : 0.005))
            sim_.after(delay(), deliver);
        sim_.after(delay(), deliver);
    }

    void set_partitioned(zone_id from, zone_id to, bool on)
    {
        partitioned_[from.value][to.value] = on;
        changed_[from.value][to.value] = sim_.now();
    }
    bool is_partitioned(zone_id from, zone_id to) const
    {
        return partitioned_[from.value][to.value];
    }
    bool any_partition() const
    {
        for (auto const& row : partitioned_)
            if (std::find(row.begin(), row.end(), true) != row.end())
                return true;
        return false;
    }
    // Time since which both directions have worked; the maximum time if one is partitioned.
    sim_time connected_since(zone_id a, zone_id b) const
    {
        if (is_partitioned(a, b) || is_partitioned(b, a))
            return std::numeric_limits<sim_time>::max();
        return std::max(changed_[a.value][b.value], changed_[b.value][a.value]);
    }
    // Raises loss, duplication and delay on all links.
    void set_degraded(bool on) { degraded_ = on; }

private:
    // Most packets take less than max_normal_delay; a few are late, which also reorders them.
    sim_time delay()
    {
        if (sim_.chance(degraded_ ? 0.03 : 0.002))
            return sim_.between(max_normal_delay, 400 * ms);
        return sim_.between(200, 1500);
    }

    simulation& sim_;
    bool degraded_{};
    std::array<std::array<bool, max_zones>, max_zones> partitioned_{};
    std::array<std::array<sim_time, max_zones>, max_zones> changed_{};

public:
    static constexpr sim_time max_normal_delay = 2 * ms; // packets that take longer count as late
};

// The platform's key-value service. Calls return immediately; a slow store delays the caller's next
// call instead.
class fake_store
{
public:
    explicit fake_store(simulation& s) : sim_(s) {}

    store_value get(std::string const& key)
    {
        if (down || sim_.chance(failure_probability))
            return {store_status::unreachable, {}, 0};
        auto const i = data.find(key);
        if (i == data.end())
            return {store_status::not_found, {}, 0};
        return {store_status::done, i->second.first, i->second.second};
    }
    store_value compare_and_swap(std::string const& key, std::string const& value,
                                 std::uint64_t index)
    {
        if (down || sim_.chance(failure_probability))
            return {store_status::unreachable, {}, 0};
        auto const i = data.find(key);
        bool const matches = i == data.end() ? index == 0 : i->second.second == index;
        if (matches)
            data[key] = {value, ++index_};
        if (sim_.chance(failure_probability)) // the write took effect but its answer is lost
            return {store_status::unreachable, {}, 0};
        return {matches ? store_status::done : store_status::conflict, {}, index_};
    }
    store_value watch(std::string const& key, std::uint64_t, duration) { return get(key); }

    // Takes a backup for a later restore.
    void take_backup() { backups_.push_back({sim_.now(), data}); }
    // Restores the newest backup of at least this age.
    bool restore(sim_time age)
    {
        for (auto c = backups_.rbegin(); c != backups_.rend(); ++c)
            if (sim_.now() - c->first >= age)
            {
                data = c->second;
                return true;
            }
        return false;
    }

    using values = std::map<std::string, std::pair<std::string, std::uint64_t>>;
    values data;
    host_list list; // the platform's list of hosts
    bool down{};
    double failure_probability{0.002};
    sim_time call_interval{20 * ms}; // between two calls of one client

private:
    simulation& sim_;
    std::uint64_t index_{};
    std::vector<std::pair<sim_time, values>> backups_;
};
static_assert(platform_store<fake_store>);

} // namespace chivelever::soak

#endif
