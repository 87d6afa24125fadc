// What this host believes about routes, upstreams and evacuated zones, merged from listings of the
// store and of other hosts. Answers three failures: a host that the store turns away and that
// learns from other hosts; a stale listing that arrives after a newer one; entries that lapse while
// the store is down although their upstreams serve on.
#ifndef CHIVELEVER_COORDINATION_DEPLOYMENT_VIEW_HPP
#define CHIVELEVER_COORDINATION_DEPLOYMENT_VIEW_HPP

#include "state/state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelever
{

// A change of what the host believes, for logs and the time line.
struct belief_change
{
    std::string kind;    // for example "upstream.missing"
    std::string subject; // the upstream, zone or configuration version
    std::string detail;
    auto operator<=>(belief_change const&) const = default;
};

struct known_upstream
{
    upstream_entry entry;
    flow_token token;
    bool listed{true};          // false: missing from the latest listing
    bool token_taken{};         // another upstream with the same token serves longer
    time_point missing_since{}; // while it is not listed
    std::uint64_t missing_as_of{};
    time_point cold_until{};
    bool operator==(known_upstream const&) const = default;
};

// Which listing a view shows, and when it was last known to be the newest.
struct view_version
{
    std::uint64_t as_of{};  // revision of the store
    std::uint64_t digest{}; // of everything but revisions; equal contents have equal digests
    std::uint64_t config_version{};
    time_point confirmed_at{};
    auto operator<=>(view_version const&) const = default;
};

class deployment_view
{
public:
    // Merges listings that were read at `read_at`. Returns false if they are older than what is
    // known, or hold an older configuration.
    bool apply(operator_listing const& operators, upstream_listing const& upstreams,
               time_point read_at, time_point now, std::vector<belief_change>& changes);
    // Takes over what another host knows.
    bool apply(peer_view const& view, time_point now, std::vector<belief_change>& changes);
    // What a host lacks that has the view of this revision and configuration; 0: everything.
    peer_view changes_since(std::uint64_t as_of, std::uint64_t config_version,
                            time_point now) const;
    // Another host has read the same contents, at this revision or a later one.
    void confirm(std::uint64_t as_of, time_point read_at, time_point now);

    bool loaded() const { return config_.has_value(); }
    view_version version() const;
    // The route of a destination, or null if the configuration has none.
    route_entry const* route(endpoint destination) const;
    // A configuration dropped this destination. A destination that no configuration ever had is not
    // removed: it may be in a newer one that is not known here yet.
    bool route_removed(endpoint destination) const;
    service_entry const* service(std::string const& name) const;
    std::span<flow_token const> upstreams_of(std::string const& service) const;
    known_upstream const* find(flow_token token) const;
    bool evacuated(std::string const& zone) const;
    // Whether new flows may go to it, as far as listings tell.
    bool takes_new_flows(known_upstream const& u, time_point now) const;
    // Whether the upstream of this address and datagram address has surely ended: another one holds
    // its address, or it has been missing for long while the store could be read.
    bool surely_gone(known_upstream const& u, time_point now) const;
    duration idle_limit() const;
    std::size_t upstream_count() const { return by_token_.size(); }

private:
    void apply_config(edge_config const& config, std::vector<belief_change>& changes);
    void apply_zones(std::set<std::string> const& zones, std::vector<belief_change>& changes);
    bool may_apply(operator_listing const& operators) const;
    void remember_step(edge_config const& next);
    // The present configuration as a difference from an earlier version, if its steps are
    // remembered.
    bool config_difference(std::uint64_t base, peer_view& out) const;
    // A whole configuration from a difference; nothing if it is based on another version.
    std::optional<edge_config> merge_config(peer_view const& view) const;
    void apply_upstreams(upstream_listing const& listing, time_point read_at, time_point now,
                         std::vector<belief_change>& changes);
    void mark_missing(known_upstream& known, std::uint64_t as_of, time_point now,
                      std::vector<belief_change>& changes);
    void finish(std::uint64_t as_of, time_point read_at, time_point now);
    void update(known_upstream& known, upstream_entry const& entry, time_point read_at,
                std::vector<belief_change>& changes);
    void index_upstreams();
    void note_gap(time_point now, std::vector<belief_change>& changes);
    void forget_old(time_point now);

    std::optional<edge_config> config_;
    std::unordered_map<std::uint64_t, std::size_t> route_at_; // packed destination -> index
    std::set<std::uint64_t> removed_routes_;
    struct config_step
    {
        std::uint64_t from{};
        std::vector<endpoint> touched; // destinations that were added, changed or dropped
    };
    std::deque<config_step> steps_; // up to the present version
    std::set<std::string> evacuated_;
    std::map<std::string, known_upstream> by_name_;
    std::unordered_map<std::uint32_t, known_upstream const*> by_token_;
    std::unordered_map<std::uint64_t, known_upstream const*> holder_of_address_;
    std::map<std::string, std::vector<flow_token>> by_service_;
    std::uint64_t as_of_{};
    std::uint64_t digest_{};
    time_point confirmed_at_{};
    time_point unsettled_until_{};
    time_point gap_began_{};
};

} // namespace chivelever

#endif
