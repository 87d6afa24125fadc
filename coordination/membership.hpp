// Gossip membership: the entry hosts that run, their incarnations, and the versions of their
// configuration and host list. The result is a local estimate; exclusive rights are granted by pool
// leases.
#ifndef CHIVELEVER_COORDINATION_MEMBERSHIP_HPP
#define CHIVELEVER_COORDINATION_MEMBERSHIP_HPP

#include "state/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chivelever
{

struct membership_settings
{
    duration period = std::chrono::milliseconds(500); // between heartbeats of one host
    std::size_t fanout = 6;           // local-zone peers per heartbeat in a small zone
    std::size_t fanout_large = 3;     // in a larger zone
    std::size_t updates = 16;         // full entries about changed hosts per heartbeat
    std::size_t progress = 36;        // progress entries per heartbeat to the local zone
    std::size_t progress_remote = 16; // to a remote zone
    std::size_t small_zone = 16;      // hosts; updates take longer to spread in larger zones
    // A local host without counter progress for longer than this is suspected. The `small` values
    // here and below apply while no zone has more than small_zone hosts.
    duration suspicion_timeout_small = std::chrono::seconds(2);
    duration suspicion_timeout_large = std::chrono::seconds(4);
    // Liveness of remote hosts is reported by their own zone. All hosts of a remote zone are
    // suspected when nothing is received about that zone for zone_timeout; a single remote host
    // only after suspicion_timeout_remote, which is much longer than it takes until each host has
    // been in some digest.
    duration zone_timeout_small = std::chrono::seconds(4);
    duration zone_timeout_large = std::chrono::seconds(8);
    duration suspicion_timeout_remote = std::chrono::seconds(180);
    // Minimum time alive before pools move to a host.
    duration settle_time = std::chrono::seconds(3);
    // Time from the first receipt of a host list until every host has it; equals
    // lease_settings::new_granter_wait.
    duration list_settle_time = std::chrono::milliseconds(13'200);
};

// Local state of one listed entry host.
struct member
{
    host_instance instance; // run 0: no heartbeat received yet
    zone_id zone;
    host_state state{}; // leaving if the host or the platform's list says so
    bool alive{};       // progress within the suspicion timeout, or in the initial grace period
    std::uint32_t counter{};  // heartbeat counter of this run
    time_point last_progress; // local time of the last counter increase
    time_point alive_since;   // start of the current alive period
    time_point changed_at; // last change of run, state or liveness; recent changes are sent first
    revision config;       // as last reported by the host itself
    std::uint64_t list_version{};
    host_state listed_state{};
    bool relisted{}; // listed again under a known run; not yet confirmed to be running
    std::optional<time_point> relisted_progress_at;
    endpoint packet;
    auto operator<=>(member const&) const = default;
};

using outgoing_heartbeats = std::vector<std::pair<host_id, heartbeat>>;

// Ordering: a higher run is newer, and within a run a higher counter. Runs are Unix start times in
// seconds, so a delayed heartbeat of an earlier run is always older and is ignored. The leaving
// state is final within a run.
class membership
{
public:
    membership(host_instance self, zone_id zone, std::uint64_t seed,
               membership_settings settings = {});

    // Applies a list with a higher version. Hosts of the first list count as alive until the
    // suspicion timeout, so that a host that joins a running fleet does not take over every pool
    // before it has received heartbeats. Hosts listed later count as alive only after a heartbeat,
    // since nothing shows that they have started.
    void update(host_list const& list, time_point now);
    void set_local(revision config, std::uint64_t list_version, host_state state);
    // Must be called at least once per period; appends the heartbeats that are due. The caller sets
    // the hybrid clock of each.
    void tick(time_point now, outgoing_heartbeats& out);
    // Sends heartbeats immediately, also to every remote zone, after a new revision or state.
    void announce(time_point now, outgoing_heartbeats& out);
    void on_heartbeat(heartbeat const& h, time_point now);

    host_instance self() const { return self_; }
    // Listed entry hosts ordered by host id, including this host.
    std::vector<member> const& members() const { return members_; }
    member const* find(host_id id) const;
    // Incremented when a run, state, liveness or the list changes.
    std::uint64_t version() const { return version_; }
    std::uint64_t list_version() const { return list_version_; }

    // A live host with a higher revision (or list version) than this one, preferably of the local
    // zone. Chosen at random to spread concurrent pulls over several hosts.
    std::optional<host_id> best_config_peer();
    std::optional<host_id> best_list_peer();

    // The first two live hosts of the local zone by rendezvous hashing; they follow the store.
    std::vector<host_id> watchers() const;
    bool is_watcher() const;
    // Hosts of a zone that may hold pools: not leaving, and alive for at least settle_time.
    std::vector<host_id> settled_hosts(zone_id zone, time_point now) const;

    // The highest list version that a peer reports as received by every host; input of
    // lease_granter::on_list_settled.
    std::uint64_t settled_list_version() const { return settled_list_; }
    // A run of this host that is higher than the current one, which occurs after a clock step. The
    // daemon must restart with a higher run, or peers discard its heartbeats as outdated.
    std::optional<incarnation> newer_own_run() const;

private:
    member* find_mutable(host_id id);
    void merge_entry(heartbeat_entry const& e, time_point now);
    void merge_self_entry(heartbeat_entry const& e);
    bool confirm_running(member& m, time_point now) const;
    bool is_list_settled(time_point now) const;
    void check_timeouts(time_point now);
    void set_alive(member& m, bool alive, time_point now);
    bool suspicion_expired(member const& m, time_point now) const;
    void apply_suspicion(member& m, heartbeat_entry const& e, time_point now);
    std::vector<heartbeat_entry> recent_updates(time_point now, std::size_t count);
    std::vector<progress_entry> progress_entries(bool remote, std::size_t count);
    void merge_progress(progress_entry const& p, time_point now);
    void send_heartbeats(time_point now, outgoing_heartbeats& out);
    void append_heartbeat(host_id to, heartbeat message, time_point now, outgoing_heartbeats& out);
    std::optional<host_id> next_remote_peer();
    template<class Higher>
    std::optional<host_id> best_peer(Higher higher);

    host_instance self_;
    zone_id zone_;
    membership_settings settings_;
    std::mt19937_64 random_;
    std::vector<member> members_;
    // Last known entry of each host that is no longer listed.
    std::unordered_map<host_id, heartbeat_entry> unlisted_;
    std::vector<host_id> local_peers_; // in send order
    std::size_t next_local_peer_{};
    std::vector<std::vector<host_id>> remote_peers_; // peers of each remote zone
    std::size_t next_remote_zone_{};
    std::size_t largest_zone_size_{};
    std::map<zone_id, time_point> last_zone_progress_; // last progress of any host of the zone
    std::uint64_t list_version_{};
    bool has_list_{};
    time_point list_received_at_;
    std::uint64_t settled_list_{};
    std::uint64_t version_{};
    std::uint32_t counter_{};
    revision local_config_;
    std::uint64_t local_list_version_{};
    host_state local_state_{};
    std::optional<time_point> next_heartbeat_;
    time_point last_tick_;
    time_point last_announcement_{-std::chrono::hours(1)};
    incarnation newer_own_run_;
};

} // namespace chivelever

#endif
