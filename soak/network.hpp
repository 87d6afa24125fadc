// The fake channel between processes, the fake store, and the packets that travel.
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
inline constexpr zone_id outside{max_zones - 1}; // callers; never cut off

// A packet that owns its strings.
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

// Delays, loses, doubles and reorders what is sent; zones can be cut, also one way.
class channel
{
public:
    explicit channel(simulation& s) : sim_(s) {}

    // A message between hosts, hosts and upstreams, or with a caller.
    template<class F>
    void send(zone_id from, zone_id to, F const& deliver)
    {
        if (cut_[from.value][to.value] || sim_.chance(bad_ ? 0.08 : 0.004))
            return;
        if (sim_.chance(bad_ ? 0.05 : 0.005))
            sim_.after(delay(), deliver);
        sim_.after(delay(), deliver);
    }

    void cut(zone_id from, zone_id to, bool on)
    {
        cut_[from.value][to.value] = on;
        changed_[from.value][to.value] = sim_.now();
    }
    bool is_cut(zone_id from, zone_id to) const { return cut_[from.value][to.value]; }
    bool any_cut() const
    {
        for (auto const& row : cut_)
            if (std::find(row.begin(), row.end(), true) != row.end())
                return true;
        return false;
    }
    // Both directions have worked since then; the largest time if one is cut.
    sim_time connected_since(zone_id a, zone_id b) const
    {
        if (is_cut(a, b) || is_cut(b, a))
            return std::numeric_limits<sim_time>::max();
        return std::max(changed_[a.value][b.value], changed_[b.value][a.value]);
    }
    // A phase of loss, doubling and delay everywhere.
    void set_bad(bool on) { bad_ = on; }

private:
    // Most packets take at most prompt; a few are late, which also reorders them.
    sim_time delay()
    {
        if (sim_.chance(bad_ ? 0.03 : 0.002))
            return sim_.between(prompt, 400 * ms);
        return sim_.between(200, 1500);
    }

    simulation& sim_;
    bool bad_{};
    std::array<std::array<bool, max_zones>, max_zones> cut_{};
    std::array<std::array<sim_time, max_zones>, max_zones> changed_{};

public:
    static constexpr sim_time prompt = 2 * ms; // packets that took longer count as late
};

// The platform's key-value service. Answers of one call come at once; a slow store delays the
// caller's next step instead.
class fake_store
{
public:
    explicit fake_store(simulation& s) : sim_(s) {}

    store_value get(std::string const& key)
    {
        if (down || sim_.chance(lost))
            return {store_status::unreachable, {}, 0};
        auto const i = data.find(key);
        if (i == data.end())
            return {store_status::not_found, {}, 0};
        return {store_status::done, i->second.first, i->second.second};
    }
    store_value compare_and_swap(std::string const& key, std::string const& value,
                                 std::uint64_t index)
    {
        if (down || sim_.chance(lost))
            return {store_status::unreachable, {}, 0};
        auto const i = data.find(key);
        bool const fits = i == data.end() ? index == 0 : i->second.second == index;
        if (fits)
            data[key] = {value, ++index_};
        if (sim_.chance(lost)) // the answer is lost after the effect
            return {store_status::unreachable, {}, 0};
        return {fits ? store_status::done : store_status::conflict, {}, index_};
    }
    store_value watch(std::string const& key, std::uint64_t, duration) { return get(key); }

    // Keeps a copy for a later restore to an older state.
    void keep() { copies_.push_back({sim_.now(), data}); }
    // Restores the newest copy of at least this age.
    bool restore(sim_time age)
    {
        for (auto c = copies_.rbegin(); c != copies_.rend(); ++c)
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
    double lost{0.002};
    sim_time slowness{20 * ms}; // between two calls of one client

private:
    simulation& sim_;
    std::uint64_t index_{};
    std::vector<std::pair<sim_time, values>> copies_;
};
static_assert(platform_store<fake_store>);

} // namespace chivelever::soak

#endif
