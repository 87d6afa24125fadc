#include "coordination/deployment_view.hpp"

#include <algorithm>
#include <limits>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// How long a host that has started waits for a recent view. If neither the store nor any other host
// has given it one by then, it serves by the one that it has.
constexpr duration recent_view_wait = 1s;
// Flows last at most 60 s, so the token of a missing upstream is not needed for longer than this.
constexpr duration missing_retention = 90s;
// A new configuration may arrive every 60 ms; a host that is more than this many versions behind
// gets the complete configuration.
constexpr std::size_t max_config_steps = 48;

// The remaining cold time differs from host to host, so a cold entry is identified by the revision
// that announced it. It stays the same until another revision is read.
std::uint64_t content_hash(upstream_entry const& e)
{
    std::uint64_t h = hash_bytes(e.name, static_cast<std::uint64_t>(e.started_unix_ms));
    h = hash_pair(h, hash_bytes(e.service));
    h = hash_pair(h, hash_bytes(e.zone));
    if (e.cold_left_ms > 0)
        h = hash_pair(h, hash_pair(e.revision.era, e.revision.revision));
    return hash_pair(h, e.address.packed() << 8 | (e.slots & 0x7FU) << 1 | (e.draining ? 1U : 0U));
}

} // namespace

bool deployment_view::may_apply(operator_listing const& operators) const
{
    // A restored store lists an older configuration until the operators have written the current
    // one again; the rest of its listing is valid.
    bool const reverts = config_ && operators.config &&
                         operators.config->version < config_->version &&
                         operators.as_of.era <= config_era_;
    return operators.as_of >= as_of_ && !reverts;
}

bool deployment_view::apply(operator_listing const& operators, upstream_listing const& upstreams,
                            time_point read_at, time_point now, std::vector<view_change>& changes)
{
    if (!may_apply(operators))
        return false;
    apply_listing(operators, upstreams, {read_at, now}, now, changes);
    if (operators.config && operators.config->version == config_->version)
        config_era_ = operators.as_of.era;
    return true;
}

void deployment_view::apply_listing(operator_listing const& operators,
                                    upstream_listing const& upstreams, reading_time read,
                                    time_point now, std::vector<view_change>& changes)
{
    detect_era_change(operators.as_of, now, changes);
    detect_outage(now, changes);
    if (operators.config && (!config_ || operators.config->version > config_->version))
        apply_config(*operators.config, changes);
    apply_zones(operators.evacuated_zones, now, changes);
    apply_upstreams(upstreams, read, now, changes);
    complete_update(operators.as_of, read.earliest, now, changes);
}

bool deployment_view::apply(peer_view const& view, time_point now,
                            std::vector<view_change>& changes, duration fetch_time)
{
    // The sender determined the age at some time between the request and the response.
    time_point const latest = now - std::chrono::milliseconds(view.view_age_ms);
    reading_time const read{latest - fetch_time, latest};
    if (!may_apply(view.operators))
        return false;
    if (view.complete)
    {
        apply_listing(view.operators, view.upstreams, read, now, changes);
        return true;
    }
    // Positions of different eras do not show which entries have changed between them.
    if (!config_ || view.operators.as_of.era != as_of_.era)
        return false;
    if (view.operators.config && view.operators.config->version > config_->version)
    {
        auto const config = merge_config(view);
        if (!config)
            return false;
        apply_config(*config, changes);
    }
    detect_outage(now, changes);
    apply_zones(view.operators.evacuated_zones, now, changes);
    for (upstream_entry const& e : view.upstreams.entries)
        update_upstream(by_name_[e.name], e, read.latest, now, changes);
    for (std::string const& name : view.removed)
    {
        auto const it = by_name_.find(name);
        if (it != by_name_.end() && it->second.entry.revision <= view.operators.as_of)
            mark_missing(it->second, view.operators.as_of, read.earliest, changes);
    }
    complete_update(view.operators.as_of, read.earliest, now, changes);
    return true;
}

void deployment_view::complete_update(store_position as_of, time_point read_at, time_point now,
                                      std::vector<view_change>& changes)
{
    as_of_ = as_of;
    confirmed_at_ = std::max(confirmed_at_, read_at);
    release_kept_zones(now, changes);
    remove_expired(now);
    index_upstreams();
}

void deployment_view::confirm(store_position as_of, time_point read_at, time_point now)
{
    // The positions of the entries change with the era, so they must be read or fetched.
    if (as_of < as_of_ || as_of.era != as_of_.era)
        return;
    std::vector<view_change> unused;
    detect_outage(now, unused);
    as_of_ = as_of;
    confirmed_at_ = std::max(confirmed_at_, read_at);
}

void deployment_view::apply_config(edge_config const& config, std::vector<view_change>& changes)
{
    changes.push_back({"config.applied", std::to_string(config.version),
                       "routes=" + std::to_string(config.routes.size()) +
                           " previous=" + std::to_string(config_ ? config_->version : 0)});
    record_config_step(config);
    if (config_)
        for (route_entry const& r : config_->routes)
            removed_routes_.insert(r.destination.packed());
    config_ = config;
    route_index_.clear();
    for (std::size_t i = 0; i < config_->routes.size(); ++i)
    {
        route_index_.emplace(config_->routes[i].destination.packed(), i);
        removed_routes_.erase(config_->routes[i].destination.packed());
    }
}

void deployment_view::record_config_step(edge_config const& next)
{
    if (!config_)
        return;
    config_step step{config_->version, {}};
    std::map<endpoint, route_entry const*> previous_routes;
    for (route_entry const& r : config_->routes)
        previous_routes.emplace(r.destination, &r);
    for (route_entry const& r : next.routes)
    {
        auto const it = previous_routes.find(r.destination);
        if (it == previous_routes.end() || *it->second != r)
            step.changed_destinations.push_back(r.destination);
        if (it != previous_routes.end())
            previous_routes.erase(it);
    }
    for (auto const& [destination, r] : previous_routes)
        step.changed_destinations.push_back(destination);
    config_steps_.push_back(std::move(step));
    if (config_steps_.size() > max_config_steps)
        config_steps_.pop_front();
}

bool deployment_view::config_difference(std::uint64_t base, peer_view& out) const
{
    auto const first = std::ranges::find(config_steps_, base, &config_step::from);
    if (first == config_steps_.end())
        return false;
    std::set<endpoint> changed_destinations;
    for (auto step = first; step != config_steps_.end(); ++step)
        changed_destinations.insert(step->changed_destinations.begin(),
                                    step->changed_destinations.end());
    edge_config difference{config_->version, {}, config_->services, config_->idle_limit};
    for (endpoint const destination : changed_destinations)
    {
        route_entry const* const r = route(destination);
        if (r != nullptr)
            difference.routes.push_back(*r);
        else
            out.dropped_routes.push_back(destination);
    }
    out.config_base = base;
    out.operators.config = std::move(difference);
    return true;
}

std::optional<edge_config> deployment_view::merge_config(peer_view const& view) const
{
    if (view.config_base == 0)
        return view.operators.config;
    if (view.config_base != config_->version)
        return std::nullopt;
    edge_config merged = *view.operators.config;
    std::set<endpoint> replaced(view.dropped_routes.begin(), view.dropped_routes.end());
    for (route_entry const& r : merged.routes)
        replaced.insert(r.destination);
    for (route_entry const& r : config_->routes)
        if (!replaced.contains(r.destination))
            merged.routes.push_back(r);
    return merged;
}

void deployment_view::apply_zones(std::set<std::string> const& zones, time_point now,
                                  std::vector<view_change>& changes)
{
    for (std::string const& z : zones)
        if (!evacuated_.contains(z))
            changes.push_back({"zone.evacuated", z, ""});
    for (std::string const& z : zones)
        kept_zones_.erase(z);
    for (std::string const& z : evacuated_)
        if (!zones.contains(z) && !kept_zones_.contains(z))
        {
            changes.push_back({"zone.returned", z, ""});
            expect_cold_starts(z, now);
        }
    evacuated_ = zones;
}

void deployment_view::update_upstream(known_upstream& known, upstream_entry const& entry,
                                      time_point latest_read, time_point now,
                                      std::vector<view_change>& changes)
{
    bool const is_new = known.entry.name.empty();
    bool const restarted = !is_new && known.entry.started_unix_ms != entry.started_unix_ms;
    if (!is_new && entry.revision < known.entry.revision)
        return;
    if (!is_new && is_outdated(known, entry, now))
    {
        known.entry.revision = entry.revision;
        return;
    }
    if (is_new || restarted)
        changes.push_back({restarted ? "upstream.restarted" : "upstream.listed", entry.name,
                           "service=" + entry.service + " zone=" + entry.zone +
                               " address=" + to_string(entry.address) +
                               " cold_ms=" + std::to_string(entry.cold_left_ms)});
    else if (!known.listed)
        changes.push_back({"upstream.back", entry.name, ""});
    if (entry.draining && (is_new || !known.entry.draining))
        changes.push_back({"upstream.draining", entry.name, ""});
    update_cold_start(known, entry, latest_read, is_new || restarted);
    if (!is_new)
        keep_draining(known, entry, now);
    known.entry = entry;
    known.token = make_flow_token(entry.name);
    known.listed = true;
}

// The entry says how much of the cold start was left when it was written, which may have been at
// any time until it was received.
void deployment_view::update_cold_start(known_upstream& known, upstream_entry const& entry,
                                        time_point latest_read, bool restarted)
{
    time_point const cold_until = entry.cold_left_ms == 0
                                      ? time_point{}
                                      : latest_read + std::chrono::milliseconds(entry.cold_left_ms);
    // An entry of the backup may be older than the known one and show more time than is left.
    bool const same_era = entry.revision.era == known.entry.revision.era;
    bool const is_newer = same_era ? entry.revision > known.entry.revision
                                   : entry.write_number > known.entry.write_number;
    if (restarted || is_newer)
        known.cold_until = cold_until;
}

void deployment_view::apply_upstreams(upstream_listing const& listing, reading_time read,
                                      time_point now, std::vector<view_change>& changes)
{
    std::set<std::string_view> listed_names;
    for (upstream_entry const& e : listing.entries)
    {
        listed_names.insert(e.name);
        update_upstream(by_name_[e.name], e, read.latest, now, changes);
    }
    for (auto& [name, known] : by_name_)
    {
        if (!listed_names.contains(name))
            mark_missing(known, listing.as_of, read.earliest, changes);
    }
}

// Counted from the start of the reading: an upstream that was missing in the last one before an
// outage did not expire during the outage.
void deployment_view::mark_missing(known_upstream& known, store_position as_of, time_point read_at,
                                   std::vector<view_change>& changes)
{
    if (!known.listed)
        return;
    known.listed = false;
    known.missing_since = read_at;
    known.missing_as_of = as_of;
    changes.push_back(
        {"upstream.missing", known.entry.name, known.entry.draining ? "draining" : "ready"});
}

void deployment_view::remove_expired(time_point now)
{
    std::erase_if(
        by_name_, [&](auto const& item)
        { return !item.second.listed && now - item.second.missing_since > missing_retention; });
}

void deployment_view::index_upstreams()
{
    by_token_.clear();
    by_service_.clear();
    by_address_.clear();
    digest_ = 0;
    for (auto& [name, known] : by_name_)
    {
        known.token_conflict = false;
        by_service_[known.entry.service][known.entry.zone].push_back(known.token);
        if (known.listed)
        {
            digest_ ^= content_hash(known.entry);
            by_address_[known.entry.address.packed()] = &known;
        }
        auto const [at, added] = by_token_.emplace(known.token.value, &known);
        if (added)
            continue;
        // Two names with the same token: the upstream that started first keeps it on every host, so
        // that its flows continue, and the other gets no new flows.
        known_upstream const* const other = at->second;
        bool const first = std::pair(known.entry.started_unix_ms, name) <
                           std::pair(other->entry.started_unix_ms, other->entry.name);
        known.token_conflict = !first;
        if (first)
        {
            by_name_[other->entry.name].token_conflict = true;
            at->second = &known;
        }
    }
}

bool deployment_view::may_serve(time_point started, time_point now) const
{
    return loaded() &&
           (now - confirmed_at_ < outage_threshold || now - started >= recent_view_wait);
}

view_version deployment_view::version() const
{
    std::uint64_t digest = digest_ ^ (config_ ? hash_pair(1, config_->version) : 0);
    for (std::string const& z : evacuated_)
        digest ^= hash_bytes(z, 2);
    return {as_of_, digest, config_ ? config_->version : 0, confirmed_at_};
}

route_entry const* deployment_view::route(endpoint destination) const
{
    auto const it = route_index_.find(destination.packed());
    return it == route_index_.end() ? nullptr : &config_->routes[it->second];
}

bool deployment_view::route_removed(endpoint destination) const
{
    return removed_routes_.contains(destination.packed());
}

service_entry const* deployment_view::service(std::string const& name) const
{
    if (!config_)
        return nullptr;
    auto const it = std::ranges::find(config_->services, name, &service_entry::name);
    return it == config_->services.end() ? nullptr : &*it;
}

deployment_view::zone_upstreams const&
deployment_view::upstreams_of(std::string const& service) const
{
    static zone_upstreams const none;
    auto const it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

known_upstream const* deployment_view::find(flow_token token) const
{
    auto const it = by_token_.find(token.value);
    return it == by_token_.end() ? nullptr : it->second;
}

duration deployment_view::idle_limit() const
{
    return config_ ? config_->idle_limit : duration{};
}

std::size_t deployment_view::rows_since(store_position as_of, std::uint64_t config_version) const
{
    bool const complete = as_of == store_position{} || as_of.era != as_of_.era;
    std::size_t rows = 0;
    if (config_ && (as_of == store_position{} || config_->version > config_version))
    {
        auto const first = std::ranges::find(config_steps_, config_version, &config_step::from);
        if (complete || first == config_steps_.end())
            rows = config_->routes.size();
        else
            for (auto step = first; step != config_steps_.end(); ++step)
                rows += step->changed_destinations.size();
    }
    return rows + static_cast<std::size_t>(std::ranges::count_if(
                      by_name_, [&](auto const& item)
                      { return complete || item.second.entry.revision >= as_of; }));
}

peer_view deployment_view::changes_since(store_position as_of, std::uint64_t config_version,
                                         time_point now) const
{
    peer_view out;
    bool const lacks_everything = as_of == store_position{};
    out.complete = lacks_everything || as_of.era != as_of_.era;
    out.digest = version().digest;
    auto const age_ms = std::max(duration{}, now - confirmed_at_) / std::chrono::milliseconds(1);
    out.view_age_ms = static_cast<std::uint32_t>(
        std::min<std::int64_t>(age_ms, std::numeric_limits<std::uint32_t>::max()));
    out.operators = {as_of_, std::nullopt, evacuated_};
    bool const lacks_config = config_ && (lacks_everything || config_->version > config_version);
    if (lacks_config && (out.complete || !config_difference(config_version, out)))
        out.operators.config = config_;
    out.upstreams.as_of = as_of_;
    for (auto const& [name, known] : by_name_)
    {
        if (!known.listed)
        {
            if (!out.complete && known.missing_as_of >= as_of)
                out.removed.push_back(name);
            continue;
        }
        if (!out.complete && known.entry.revision < as_of)
            continue;
        out.upstreams.entries.push_back(known.entry);
        // As of the reading, like in an entry of the store: the receiver counts it from there. At
        // least 1 ms: an entry that announced a cold start stays marked after it, so that the
        // digests of sender and receiver are equal.
        std::int64_t const left_ms =
            std::chrono::ceil<std::chrono::milliseconds>(known.cold_until - confirmed_at_).count();
        if (known.entry.cold_left_ms > 0)
            out.upstreams.entries.back().cold_left_ms =
                static_cast<std::uint32_t>(std::max<std::int64_t>(1, left_ms));
    }
    return out;
}

} // namespace chivelever
