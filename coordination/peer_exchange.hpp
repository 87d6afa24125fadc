// Tracks reachable peers, schedules reads of the store and selects a peer to fetch missing data
// from. Handles a store that serves some hosts and refuses others, a fleet that would exceed the
// store's rate limits if each host read independently, and unreachable zones.
#ifndef CHIVELEVER_COORDINATION_PEER_EXCHANGE_HPP
#define CHIVELEVER_COORDINATION_PEER_EXCHANGE_HPP

#include "coordination/deployment_view.hpp"
#include "coordination/flow_table.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace chivelever
{

// Effect of a heartbeat from another host.
struct heartbeat_outcome
{
    bool new_peer{};
    bool confirms{};         // same contents, confirmed more recently
    bool newer{};            // the sender has data that this host lacks
    time_point confirmed_at; // when the sender's view was last known to be the newest
    bool operator==(heartbeat_outcome const&) const = default;
};

class peer_exchange
{
public:
    peer_exchange(peer_address self, std::uint64_t seed) : self_(std::move(self)), random_(seed) {}

    // Adds a host named by the settings, the store or another host. Returns false if it is already
    // known or is this host.
    bool add(peer_address const& peer, time_point now);
    heartbeat_outcome on_heartbeat(peer_heartbeat const& b, view_version const& own,
                                   time_point now);

    // Hosts to send a heartbeat to: all hosts of a small fleet, some hosts of each zone of a large
    // one. `all` selects every host; used to announce a read of the store, from which all benefit.
    std::vector<peer_address> heartbeat_targets(bool all, time_point now);
    // Up to `max_count` random reachable peers.
    std::vector<peer_address> sample_peers(std::size_t max_count, time_point now);

    // Time of the next read of the store unless another host confirms the view earlier. Randomized
    // so that usually one host reads on behalf of all.
    time_point next_read(view_version const& own, time_point now);
    // The read failed or was refused: backs off, while other hosts may succeed.
    void on_read_failed(time_point now);
    void on_read_succeeded(time_point now);

    // Random delay before fetching a view.
    duration fetch_delay(time_point now);
    // A random host with a newer view than this one, to fetch it from.
    std::optional<std::uint32_t> newer_peer(view_version const& own, time_point now);

    // Sum of the loads of the upstream that other hosts have reported.
    upstream_load peer_load(flow_token upstream, time_point now) const;
    // Returns false if hosts of the zone were reachable before and all of them are silent now,
    // while hosts of other zones are reachable.
    bool zone_reachable(std::string const& zone, time_point now) const;
    std::size_t reachable_count(time_point now) const; // number of reachable peers
    std::size_t hosts_in_zone(time_point now) const;   // including this host
    std::size_t peer_count() const { return peers_.size(); }
    // Removes hosts that have been silent for too long.
    void expire(time_point now);

private:
    struct peer
    {
        std::string zone;
        time_point added;
        time_point last_heard{}; // zero if never
        peer_heartbeat last;
        time_point loads_received_at{};
        time_point view_confirmed_at{};
    };
    bool is_reachable(peer const& p, time_point now) const;
    void sum_loads(time_point now);
    duration random_read_delay(time_point now);

    peer_address self_;
    std::minstd_rand random_;
    std::map<std::uint32_t, peer> peers_;
    time_point read_scheduled_after_{}; // confirmed_at of the view for which read_jitter_ was drawn
    duration read_jitter_{};
    std::uint32_t read_failures_{};
    time_point next_read_not_before_{};
    std::map<std::uint32_t, upstream_load> total_loads_;
};

} // namespace chivelever

#endif
