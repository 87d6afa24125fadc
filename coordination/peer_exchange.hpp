// Tracks the hosts of the fleet, schedules reads of the store and selects a peer to fetch missing
// data from. Handles a store that serves some hosts and refuses others, a fleet that would exceed
// the store's rate limits if each host read independently, and unreachable zones. A host hears only
// a few others directly; what it knows of the rest is relayed with its age, so that the number of
// messages per host does not grow with the fleet (docs/notes/exchange.md).
#ifndef CHIVELEVER_COORDINATION_PEER_EXCHANGE_HPP
#define CHIVELEVER_COORDINATION_PEER_EXCHANGE_HPP

#include "coordination/deployment_view.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/service_loads.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
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
    peer_exchange(peer_address self, std::uint64_t seed)
        : self_(std::move(self)), random_(seed), service_loads_(self_.zone)
    {
    }

    // Adds a host named by the settings, the store or another host. Returns false if it is already
    // known or is this host.
    bool add(peer_address const& peer, time_point now);
    heartbeat_outcome on_heartbeat(peer_heartbeat const& b, view_version const& own,
                                   time_point now);

    // Hosts to send a periodic heartbeat to: all hosts of a small fleet, some hosts of each zone of
    // a large one.
    std::vector<peer_address> heartbeat_targets();
    // Every known host; used to announce a read of the store, from which all benefit.
    std::vector<peer_address> all_peers() const;
    // A random sample of the fleet for a periodic heartbeat, mostly of this host's zone.
    std::vector<observed_host> sample_hosts(time_point now);
    // A larger sample for a sender that knows far fewer hosts, as after its start, mostly of its
    // zone; empty if it needs none.
    std::vector<observed_host> introduce_fleet(peer_heartbeat const& b, time_point now);
    // Latest contact between this zone and each other one, for heartbeats within the zone.
    std::vector<observed_zone> observed_zones(time_point now) const;

    // Time of the next read of the store unless another host confirms the view earlier. The hosts
    // take turns in an order that follows from the view's revision and their addresses, so that one
    // host reads on behalf of all; the next in the order reads if it does not.
    time_point next_read(view_version const& own, time_point now);
    // The read failed or was refused: backs off, while other hosts may succeed.
    void on_read_failed(time_point now);
    void on_read_succeeded(time_point now);

    // Random delay before fetching a view.
    duration fetch_delay();
    // Random delay after a host was too busy to send its view, in which others can get it.
    duration fetch_retry_delay();
    // A random host with a newer view than this one, to fetch it from.
    std::optional<std::uint32_t> newer_peer(view_version const& own, time_point now);

    // Sum of the loads of the upstream that other hosts have reported.
    upstream_load peer_load(flow_token upstream) const;
    // Load of the other hosts on a service, of reachable zones only.
    fleet_load load_on_service(std::string const& service, time_point now) const;
    service_loads const& reported_service_loads() const { return service_loads_; }
    // Returns false if hosts of the zone were heard before, by this host or by others of its zone,
    // and all of them are silent now, while hosts of other zones are heard.
    bool zone_reachable(std::string const& zone, time_point now) const;
    // Whether any host has been heard directly within the last heartbeats.
    bool has_contact(time_point now) const;
    bool is_alive(std::uint32_t ip, time_point now) const;
    // Other hosts that were believed to be alive at the latest periodic heartbeat.
    std::size_t alive_count() const { return alive_count_; }
    std::size_t hosts_in_zone(time_point now) const; // including this host
    // Position of this host among the living hosts of its zone, in an order that follows from `key`
    // and their addresses, on which they agree.
    std::size_t rank_in_zone(std::uint64_t key, time_point now) const;
    std::size_t peer_count() const { return peers_.size(); }
    // Removes hosts that have been silent for too long.
    void expire(time_point now);

private:
    struct peer
    {
        std::string zone;
        time_point added{};
        time_point last_evidence{}; // direct or relayed; zero if never
        time_point last_heard{};    // directly; zero if never
        time_point loads_received_at{};
        time_point view_confirmed_at{};
        view_version view; // of the last heartbeat
        std::vector<reported_load> loads;
        time_point introduced_at{}; // when the fleet was last introduced to it
    };
    bool is_alive(peer const& p, time_point now) const;
    void set_zone(std::uint32_t ip, peer& p, std::string const& zone);
    void remove(std::uint32_t ip);
    void observe(observed_host const& o, time_point now);
    void replace_loads(peer& p, std::vector<reported_load> const& loads, time_point now);
    void subtract_loads(peer& p);
    // A random sample of the fleet, mostly of one zone.
    std::vector<observed_host> sample(std::string const& zone, std::size_t factor, time_point now);
    void append_random(std::vector<std::uint32_t>& zone_hosts, std::size_t count,
                       std::vector<std::uint32_t>& out);
    duration read_delay(view_version const& own, time_point now);
    duration load_lifetime() const;
    // Living hosts of each reachable zone.
    std::vector<living_zone> living_hosts(time_point now) const;

    peer_address self_;
    std::minstd_rand random_;
    std::unordered_map<std::uint32_t, peer> peers_;
    std::map<std::string, std::vector<std::uint32_t>> zone_hosts_; // zone -> addresses of its hosts
    std::map<std::string, time_point> zone_heard_; // latest contact with any host of this zone
    // Hosts that announced their shutdown; older relayed evidence does not bring them back.
    std::unordered_map<std::uint32_t, time_point> left_;
    time_point last_contact_{}; // latest direct heartbeat
    std::size_t alive_count_{};
    std::size_t introductions_{}; // since the latest periodic heartbeat
    // confirmed_at of the view for which read_delay_ was determined
    time_point read_scheduled_after_{};
    duration read_delay_{};
    duration read_time_{}; // recent time from the start of a read to its announcement
    time_point settled_at_{};
    std::uint32_t read_failures_{};
    time_point next_read_not_before_{};
    std::unordered_map<std::uint32_t, reported_load> total_loads_; // sums over all peers
    service_loads service_loads_;
    // Living hosts of this zone when the host last had contact.
    std::size_t known_local_hosts_{1};
};

} // namespace chivelever

#endif
