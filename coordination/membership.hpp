// Membership by gossip: which entry hosts run, in which incarnation, and how far their
// configuration and host list are. A judgement of this host alone; exclusive rights come from pool
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
    duration period = std::chrono::milliseconds(500); // between two heartbeats of one host
    std::size_t fanout = 6;           // peers of the own zone per heartbeat, in a small zone
    std::size_t fanout_large = 3;     // in others
    std::size_t news = 16;            // news entries per heartbeat
    std::size_t progress = 36;        // progress entries per heartbeat within the zone
    std::size_t progress_remote = 16; // to another zone
    std::size_t small_zone = 16;      // hosts; larger zones learn more slowly
    duration suspect_small = std::chrono::seconds(2); // without progress, in a small zone
    duration suspect_large = std::chrono::seconds(4);
    // Hosts of other zones are told of by their own zone: all of them are suspected if nothing is
    // heard of their zone, one of them if nothing is heard of it for much longer than it takes
    // until each host has been in some digest.
    duration zone_silence_small = std::chrono::seconds(4);
    duration zone_silence_large = std::chrono::seconds(8);
    duration suspect_remote = std::chrono::seconds(180);
    duration settle = std::chrono::seconds(3); // alive for this long before pools move to it
    // A list is known everywhere this long after one host has got it; equals
    // lease_settings::new_granter_wait.
    duration list_settle = std::chrono::milliseconds(13'200);
};

// What this host knows of one listed entry host.
struct member
{
    host_instance who; // run 0: never heard of
    zone_id zone;
    host_state state{};       // leaving if the host or the platform's list says so
    bool alive{};             // progress within the suspicion time, or in the grace time at start
    std::uint32_t counter{};  // latest heartbeat of this run
    time_point last_progress; // when the counter last rose, by this host's clock
    time_point alive_since;   // start of the present stretch of being alive
    time_point news;          // latest change of run, state or liveness; news is spread first
    revision config;          // latest heard from the host itself
    std::uint64_t list_version{};
    host_state listed_state{};
    bool relisted{}; // listed again with a run known from before; not yet proved to be running
    std::optional<time_point> relisted_progress;
    endpoint packet;
    auto operator<=>(member const&) const = default;
};

using outgoing_heartbeats = std::vector<std::pair<host_id, heartbeat>>;

// Rules of order: a higher run is newer, and within a run a higher counter. Runs are Unix seconds
// at start, so a late heartbeat of an earlier run is always older and changes nothing. Leaving is
// final within a run.
class membership
{
public:
    membership(host_instance self, zone_id zone, std::uint64_t seed,
               membership_settings settings = {});

    // Takes in a list with a higher version. Hosts of the first list count as alive until the
    // suspicion time has passed, because a host that joins a running fleet must not take everything
    // over before it has heard the others. Hosts listed later count once heard: nothing shows that
    // they have started.
    void update(host_list const& list, time_point now);
    void set_local(revision config, std::uint64_t list_version, host_state state);
    // To be called at least every period; appends the heartbeats that are due. The driver sets the
    // hybrid clock of each.
    void tick(time_point now, outgoing_heartbeats& out);
    // Heartbeats at once, also to every other zone, after a new revision or state.
    void announce(time_point now, outgoing_heartbeats& out);
    void on_heartbeat(heartbeat const& h, time_point now);

    host_instance self() const { return self_; }
    // Listed entry hosts in order of host id, this host included.
    std::vector<member> const& members() const { return members_; }
    member const* find(host_id id) const;
    // Rises whenever a run, state, liveness or the list changes.
    std::uint64_t version() const { return version_; }
    std::uint64_t list_version() const { return list_version_; }

    // A live host with a higher revision (or list version) than this one, of the own zone if there
    // is one, chosen at random so that many pulling hosts spread over several.
    std::optional<host_id> best_config_peer();
    std::optional<host_id> best_list_peer();

    // The first two live hosts of the own zone by rendezvous hashing.
    std::vector<host_id> watchers() const;
    bool is_watcher() const;
    // Hosts of a zone that may hold pools: live, not leaving, and alive for the settling time.
    std::vector<host_id> settled_hosts(zone_id zone, time_point now) const;

    // The newest list version that a peer reports to be known everywhere, for
    // lease_granter::list_settled.
    std::uint64_t settled_list() const { return settled_list_; }
    // A run of this host higher than its own, after a clock step; the daemon must start again with
    // a higher one, else its heartbeats are taken for old ones.
    std::optional<incarnation> newer_run() const;

private:
    member* record(host_id id);
    void learn(heartbeat_entry const& e, time_point now);
    void learn_about_self(heartbeat_entry const& e);
    bool proves_running(member& m, time_point now) const;
    bool list_is_settled(time_point now) const;
    void judge(time_point now);
    void set_alive(member& m, bool alive, time_point now);
    bool overdue(member const& m, time_point now) const;
    void accept_suspicion(member& m, heartbeat_entry const& e, time_point now);
    std::vector<heartbeat_entry> news(time_point now, std::size_t count);
    std::vector<progress_entry> progress(bool remote, std::size_t count);
    void learn_progress(progress_entry const& p, time_point now);
    void emit(time_point now, outgoing_heartbeats& out);
    void add(host_id to, heartbeat beat, time_point now, outgoing_heartbeats& out);
    std::optional<host_id> next_remote();
    template<class Higher>
    std::optional<host_id> best_peer(Higher higher);

    host_instance self_;
    zone_id zone_;
    membership_settings settings_;
    std::mt19937_64 random_;
    std::vector<member> members_;
    std::unordered_map<host_id, heartbeat_entry> removed_; // latest of hosts no longer listed
    std::vector<host_id> local_; // peers of the own zone, in rotating order
    std::size_t local_next_{};
    std::vector<std::vector<host_id>> remote_; // peers of each other zone
    std::size_t remote_next_{};
    std::size_t largest_zone_{};
    std::map<zone_id, time_point> zone_progress_; // latest progress of any host
    std::uint64_t list_version_{};
    bool listed_once_{};
    time_point list_since_;
    std::uint64_t settled_list_{};
    std::uint64_t version_{};
    std::uint32_t counter_{};
    revision local_config_;
    std::uint64_t local_list_{};
    host_state local_state_{};
    std::optional<time_point> next_beat_;
    time_point last_tick_;
    time_point announced_{-std::chrono::hours(1)}; // latest announcement
    incarnation newer_run_;
};

} // namespace chivelever

#endif
