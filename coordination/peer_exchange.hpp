// Which hosts this one hears, when it reads the store, and from whom it learns what it lacks.
// Answers a store that serves some hosts and turns others away, a fleet that would overrun the
// store's rates if each host read for itself, and zones that cannot be reached.
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

// What a beat of another host calls for.
struct beat_outcome
{
    bool new_peer{};
    bool confirms{};         // same contents, at a later revision
    bool newer{};            // the sender knows something that this host does not
    time_point confirmed_at; // when the sender's view was the newest
    bool operator==(beat_outcome const&) const = default;
};

class peer_exchange
{
public:
    peer_exchange(peer_address self, std::uint64_t seed) : self_(std::move(self)), random_(seed) {}

    // A host that was named by the settings, the store or another host.
    bool add(peer_address const& peer, time_point now);
    beat_outcome on_beat(peer_beat const& b, view_version const& own, time_point now);

    // Hosts to send a beat to: all in a small fleet, some of each zone in a large one. `all`: after
    // a reading of the store, when everyone gains by it.
    std::vector<peer_address> targets(bool all, time_point now);
    std::vector<peer_address> some_peers(std::size_t most, time_point now);

    // When this host reads the store, if nobody confirms its view before. Spread at random, so that
    // usually one host reads for all.
    time_point next_read(view_version const& own, time_point now);
    // The reading failed or was refused: back off, while others may serve.
    void read_failed(time_point now);
    void read_done(time_point now);

    // How long to wait before fetching a view, at random.
    duration fetch_delay(time_point now);
    // A host whose view is newer than this one's, to fetch it from; one at random of several.
    std::optional<std::uint32_t> source(view_version const& own, time_point now);

    upstream_load other_load(flow_token upstream, time_point now) const;
    // False if hosts of the zone were heard before and all of them have fallen silent, while others
    // are heard.
    bool zone_reachable(std::string const& zone, time_point now) const;
    std::size_t heard(time_point now) const;
    std::size_t hosts_in_zone(time_point now) const; // this host included
    std::size_t known() const { return peers_.size(); }
    // Removes hosts that have been silent for long.
    void expire(time_point now);

private:
    struct peer
    {
        std::string zone;
        time_point added;
        time_point heard{}; // zero: never
        peer_beat last;
        time_point loads_at{};
        time_point view_confirmed{};
    };
    bool is_heard(peer const& p, time_point now) const;
    void sum_loads(time_point now);
    duration random_wait(time_point now);

    peer_address self_;
    std::minstd_rand random_;
    std::map<std::uint32_t, peer> peers_;
    time_point read_planned_for_{}; // the confirmation that the planned reading counts from
    duration read_offset_{};
    std::uint32_t failures_{};
    time_point not_before_{};
    std::map<std::uint32_t, upstream_load> load_sum_;
};

} // namespace chivelever

#endif
