// Local view of routes, upstreams and evacuated zones, merged from listings of the store and of
// other hosts. Handles three failures: the store refuses this host, which then gets the data from
// other hosts; a stale listing arrives after a newer one and is discarded; entries expire while the
// store is down although their upstreams still serve, and stay usable until the upstreams have had
// time to rewrite them. The same holds after a restore of the store from an older backup, which
// starts a new era (view_recovery.cpp, docs/design/store-restore.md).
#ifndef CHIVELEVER_COORDINATION_DEPLOYMENT_VIEW_HPP
#define CHIVELEVER_COORDINATION_DEPLOYMENT_VIEW_HPP

#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelever
{

// The store counts as unreachable, and entries may have expired, when no read has succeeded for
// this long. One of the hosts reads 0.8 s plus a random delay after the last read
// (peer_exchange.cpp); an entry expires after three check-in intervals, which take 2.3 s.
inline constexpr duration outage_threshold = std::chrono::milliseconds(1500);

// A change of the view, for logs and the timeline.
struct view_change
{
    std::string kind;    // for example "upstream.missing"
    std::string subject; // the upstream, zone or configuration version
    std::string detail;
    auto operator<=>(view_change const&) const = default;
};

struct known_upstream
{
    upstream_entry entry;
    flow_token token;
    bool listed{true};            // false: missing from the latest listing
    bool token_conflict{};        // an upstream with the same token that started earlier owns it
    time_point missing_since{};   // valid while not listed
    store_position missing_as_of; // position of the first listing without it
    time_point cold_until{};      // end of the cold start; zero if none
    // It was draining before a restore of the store whose listing shows it as ready.
    time_point draining_until{};
    bool operator==(known_upstream const&) const = default;
};

// The listing that a view is based on, and when it was last confirmed to be the newest.
struct view_version
{
    store_position as_of;   // position in the store
    std::uint64_t digest{}; // of everything except revisions; equal contents have equal digests
    std::uint64_t config_version{};
    time_point confirmed_at{};
    auto operator<=>(view_version const&) const = default;
};

class deployment_view
{
public:
    // Merges listings of a reading that began at `read_at`; all of it had been received by `now`.
    // Returns false if they are older than the current view or have an older configuration.
    bool apply(operator_listing const& operators, upstream_listing const& upstreams,
               time_point read_at, time_point now, std::vector<view_change>& changes);
    // Merges the view of another host, received at `now` and requested `fetch_time` before.
    bool apply(peer_view const& view, time_point now, std::vector<view_change>& changes,
               duration fetch_time = {});
    // The difference to a host whose view has this position and configuration version; a position
    // of 0 selects the complete view.
    peer_view changes_since(store_position as_of, std::uint64_t config_version,
                            time_point now) const;
    // Upper bound on the routes and upstreams that `changes_since` returns.
    std::size_t rows_since(store_position as_of, std::uint64_t config_version) const;
    // Records that another host has read the same contents at this or a later revision.
    void confirm(store_position as_of, time_point read_at, time_point now);

    bool loaded() const { return config_.has_value(); }
    // Whether a host that started at `started` should receive callers. Shortly after its start it
    // waits for a recent view: the first host that it heard may have an outdated one, in which
    // upstreams that have left and routes that were removed are still listed.
    bool may_serve(time_point started, time_point now) const;
    view_version version() const;
    // The route to a destination, or null if the configuration has none.
    route_entry const* route(endpoint destination) const;
    // Whether a configuration removed this destination. A destination that no known configuration
    // contained does not count as removed, since a newer configuration may contain it.
    bool route_removed(endpoint destination) const;
    service_entry const* service(std::string const& name) const;
    // Upstreams of the service by zone.
    using zone_upstreams = std::map<std::string, std::vector<flow_token>>;
    zone_upstreams const& upstreams_of(std::string const& service) const;
    known_upstream const* find(flow_token token) const;
    bool evacuated(std::string const& zone) const;
    // Whether the listings allow new flows to the upstream.
    bool accepts_new_flows(known_upstream const& u, time_point now) const;
    // Whether the upstream has definitely terminated: another one uses its address, or it has been
    // missing for a long time while the store was readable.
    bool is_terminated(known_upstream const& u, time_point now) const;
    // Whether the entries, and with them the start times of the upstreams, have been read at a time
    // when an upstream that was restarted at `since` had written its entry again.
    bool shows_restarts_since(time_point since, time_point now) const;
    duration idle_limit() const;
    // Calls f(known_upstream const&) for the listed upstreams of a zone.
    template<class F>
    void for_each_in_zone(std::string const& zone, F f) const
    {
        for (auto const& [name, known] : by_name_)
            if (known.listed && known.entry.zone == zone)
                f(known);
    }
    std::size_t upstream_count() const { return by_token_.size(); }

private:
    void apply_config(edge_config const& config, std::vector<view_change>& changes);
    void apply_zones(std::set<std::string> const& zones, time_point now,
                     std::vector<view_change>& changes);
    // The upstreams of a zone may turn cold before it returns. If the store was restored in the
    // meantime, their entries may be older than that until they have written them again.
    void expect_cold_starts(std::string const& zone, time_point now);
    bool may_apply(operator_listing const& operators) const;
    // When a listing was read, to the extent that is known. The view counts as confirmed from
    // `earliest`; what is left of a cold start is counted from `latest`, so that no error of this
    // host makes an upstream warm too early.
    struct reading_time
    {
        time_point earliest;
        time_point latest;
    };
    void apply_listing(operator_listing const& operators, upstream_listing const& upstreams,
                       reading_time read, time_point now, std::vector<view_change>& changes);
    void record_config_step(edge_config const& next);
    // Expresses the current configuration as a difference from version `base`, if the steps since
    // then are still stored.
    bool config_difference(std::uint64_t base, peer_view& out) const;
    // Reconstructs a complete configuration from a difference; nullopt if the difference is based
    // on another version.
    std::optional<edge_config> merge_config(peer_view const& view) const;
    void apply_upstreams(upstream_listing const& listing, reading_time read, time_point now,
                         std::vector<view_change>& changes);
    void mark_missing(known_upstream& known, store_position as_of, time_point read_at,
                      std::vector<view_change>& changes);
    void complete_update(store_position as_of, time_point read_at, time_point now,
                         std::vector<view_change>& changes);
    void update_upstream(known_upstream& known, upstream_entry const& entry, time_point latest_read,
                         time_point now, std::vector<view_change>& changes);
    static void update_cold_start(known_upstream& known, upstream_entry const& entry,
                                  time_point latest_read, bool restarted);
    void index_upstreams();
    void detect_outage(time_point now, std::vector<view_change>& changes);
    // Starts the recovery time if the position is of a later era than the view.
    void detect_era_change(store_position as_of, time_point now, std::vector<view_change>& changes);
    // Whether the entry is of an earlier start of the upstream than the one known before the
    // restore.
    bool is_outdated(known_upstream const& known, upstream_entry const& entry,
                     time_point now) const;
    void keep_draining(known_upstream& known, upstream_entry const& entry, time_point now) const;
    void release_kept_zones(time_point now, std::vector<view_change>& changes);
    void remove_expired(time_point now);

    std::optional<edge_config> config_;
    // Packed destination -> index in the routes of config_.
    std::unordered_map<std::uint64_t, std::size_t> route_index_;
    std::set<std::uint64_t> removed_routes_;
    struct config_step
    {
        std::uint64_t from{};
        std::vector<endpoint> changed_destinations; // destinations added, changed or removed
    };
    std::deque<config_step> config_steps_; // oldest first, up to the current version
    std::set<std::string> evacuated_;      // as listed
    std::set<std::string> kept_zones_; // evacuated before the restore, and not listed since then
    std::map<std::string, known_upstream> by_name_;
    std::unordered_map<std::uint32_t, known_upstream const*> by_token_;
    std::unordered_map<std::uint64_t, known_upstream const*> by_address_;
    std::map<std::string, zone_upstreams> by_service_;
    store_position as_of_;
    std::uint64_t config_era_{}; // latest era in which the store itself listed the configuration
    std::uint64_t digest_{};
    time_point confirmed_at_{};
    time_point outage_recovery_until_{}; // expired entries stay usable until then
    time_point outage_began_{};          // last confirmation before the latest outage
    time_point era_recovery_until_{};    // end of the recovery time after a restore
};

} // namespace chivelever

#endif
