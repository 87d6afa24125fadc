#include "coordination/deployment_view.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Without a reading for this long the store counts as away, and entries may have lapsed. Hosts read
// every 0.5 s between them; three check-in intervals, after which an entry lapses, take 2.3 s.
constexpr duration outage_gap = 1500ms;
// Entries that lapsed are back within about two seconds of the store's return.
constexpr duration settle_time = 2400ms;
// An upstream that is missing for this long while the store can be read has ended: a live one would
// have written its entry several times.
constexpr duration gone_after = 5s;
// Flows live for 60 s, so a missing upstream's token is needed for no longer.
constexpr duration forget_after = 90s;
// Configurations come as fast as one each 60 ms; a host that lags by more than this many takes a
// whole one.
constexpr std::size_t remembered_steps = 48;

std::uint64_t content_hash(upstream_entry const& e)
{
    std::uint64_t h = hash_bytes(e.name, static_cast<std::uint64_t>(e.started_unix_ms));
    h = hash_pair(h, hash_bytes(e.service));
    h = hash_pair(h, hash_bytes(e.zone));
    return hash_pair(h, e.address.packed() << 8 | (e.slots & 0x7FU) << 1 | (e.draining ? 1U : 0U));
}

} // namespace

bool deployment_view::may_apply(operator_listing const& operators) const
{
    bool const reverts =
        config_ && operators.config && operators.config->version < config_->version;
    return operators.as_of >= as_of_ && !reverts;
}

bool deployment_view::apply(operator_listing const& operators, upstream_listing const& upstreams,
                            time_point read_at, time_point now, std::vector<belief_change>& changes)
{
    if (!may_apply(operators))
        return false;
    note_gap(now, changes);
    if (operators.config && (!config_ || operators.config->version > config_->version))
        apply_config(*operators.config, changes);
    apply_zones(operators.evacuated_zones, changes);
    apply_upstreams(upstreams, read_at, now, changes);
    finish(operators.as_of, read_at, now);
    return true;
}

bool deployment_view::apply(peer_view const& view, time_point now,
                            std::vector<belief_change>& changes)
{
    time_point const read_at = now - std::chrono::milliseconds(view.view_age_ms);
    if (view.complete)
        return apply(view.operators, view.upstreams, read_at, now, changes);
    if (!may_apply(view.operators) || !config_)
        return false;
    if (view.operators.config && view.operators.config->version > config_->version)
    {
        auto const config = merge_config(view);
        if (!config)
            return false;
        apply_config(*config, changes);
    }
    note_gap(now, changes);
    apply_zones(view.operators.evacuated_zones, changes);
    for (upstream_entry const& e : view.upstreams.entries)
        update(by_name_[e.name], e, read_at, changes);
    for (std::string const& name : view.removed)
    {
        auto const it = by_name_.find(name);
        if (it != by_name_.end() && it->second.entry.revision <= view.operators.as_of)
            mark_missing(it->second, view.operators.as_of, now, changes);
    }
    finish(view.operators.as_of, read_at, now);
    return true;
}

void deployment_view::finish(std::uint64_t as_of, time_point read_at, time_point now)
{
    as_of_ = as_of;
    confirmed_at_ = std::max(confirmed_at_, read_at);
    forget_old(now);
    index_upstreams();
}

void deployment_view::confirm(std::uint64_t as_of, time_point read_at, time_point now)
{
    if (as_of < as_of_)
        return;
    std::vector<belief_change> unused;
    note_gap(now, unused);
    as_of_ = as_of;
    confirmed_at_ = std::max(confirmed_at_, read_at);
}

void deployment_view::note_gap(time_point now, std::vector<belief_change>& changes)
{
    if (confirmed_at_ == time_point{} || now - confirmed_at_ < outage_gap)
        return;
    gap_began_ = confirmed_at_;
    unsettled_until_ = now + settle_time;
    changes.push_back(
        {"store.returned", "store",
         "gap_ms=" + std::to_string((now - confirmed_at_) / std::chrono::milliseconds(1))});
}

void deployment_view::apply_config(edge_config const& config, std::vector<belief_change>& changes)
{
    changes.push_back({"config.applied", std::to_string(config.version),
                       "routes=" + std::to_string(config.routes.size()) +
                           " previous=" + std::to_string(config_ ? config_->version : 0)});
    remember_step(config);
    if (config_)
        for (route_entry const& r : config_->routes)
            removed_routes_.insert(r.destination.packed());
    config_ = config;
    route_at_.clear();
    for (std::size_t i = 0; i < config_->routes.size(); ++i)
    {
        route_at_.emplace(config_->routes[i].destination.packed(), i);
        removed_routes_.erase(config_->routes[i].destination.packed());
    }
}

void deployment_view::remember_step(edge_config const& next)
{
    if (!config_)
        return;
    config_step step{config_->version, {}};
    std::map<endpoint, route_entry const*> old;
    for (route_entry const& r : config_->routes)
        old.emplace(r.destination, &r);
    for (route_entry const& r : next.routes)
    {
        auto const it = old.find(r.destination);
        if (it == old.end() || *it->second != r)
            step.touched.push_back(r.destination);
        if (it != old.end())
            old.erase(it);
    }
    for (auto const& [destination, r] : old)
        step.touched.push_back(destination);
    steps_.push_back(std::move(step));
    if (steps_.size() > remembered_steps)
        steps_.pop_front();
}

bool deployment_view::config_difference(std::uint64_t base, peer_view& out) const
{
    auto const first = std::ranges::find(steps_, base, &config_step::from);
    if (first == steps_.end())
        return false;
    std::set<endpoint> touched;
    for (auto step = first; step != steps_.end(); ++step)
        touched.insert(step->touched.begin(), step->touched.end());
    edge_config part{config_->version, {}, config_->services, config_->idle_limit};
    for (endpoint const destination : touched)
    {
        route_entry const* const r = route(destination);
        if (r != nullptr)
            part.routes.push_back(*r);
        else
            out.dropped_routes.push_back(destination);
    }
    out.config_base = base;
    out.operators.config = std::move(part);
    return true;
}

std::optional<edge_config> deployment_view::merge_config(peer_view const& view) const
{
    if (view.config_base == 0)
        return view.operators.config;
    if (view.config_base != config_->version)
        return std::nullopt;
    edge_config whole = *view.operators.config;
    std::set<endpoint> replaced(view.dropped_routes.begin(), view.dropped_routes.end());
    for (route_entry const& r : whole.routes)
        replaced.insert(r.destination);
    for (route_entry const& r : config_->routes)
        if (!replaced.contains(r.destination))
            whole.routes.push_back(r);
    return whole;
}

void deployment_view::apply_zones(std::set<std::string> const& zones,
                                  std::vector<belief_change>& changes)
{
    for (std::string const& z : zones)
        if (!evacuated_.contains(z))
            changes.push_back({"zone.evacuated", z, ""});
    for (std::string const& z : evacuated_)
        if (!zones.contains(z))
            changes.push_back({"zone.returned", z, ""});
    evacuated_ = zones;
}

void deployment_view::update(known_upstream& known, upstream_entry const& entry, time_point read_at,
                             std::vector<belief_change>& changes)
{
    bool const fresh = known.entry.name.empty();
    bool const reborn = !fresh && known.entry.started_unix_ms != entry.started_unix_ms;
    if (!fresh && entry.revision < known.entry.revision)
        return;
    if (fresh || reborn)
        changes.push_back({reborn ? "upstream.restarted" : "upstream.listed", entry.name,
                           "service=" + entry.service + " zone=" + entry.zone +
                               " address=" + to_string(entry.address) +
                               " cold_ms=" + std::to_string(entry.cold_left_ms)});
    else if (!known.listed)
        changes.push_back({"upstream.back", entry.name, ""});
    if (entry.draining && (fresh || !known.entry.draining))
        changes.push_back({"upstream.draining", entry.name, ""});
    if (fresh || reborn || entry.revision > known.entry.revision)
        known.cold_until = entry.cold_left_ms == 0
                               ? time_point{}
                               : read_at + std::chrono::milliseconds(entry.cold_left_ms);
    known.entry = entry;
    known.token = token_of(entry.name);
    known.listed = true;
}

void deployment_view::apply_upstreams(upstream_listing const& listing, time_point read_at,
                                      time_point now, std::vector<belief_change>& changes)
{
    std::set<std::string_view> present;
    for (upstream_entry const& e : listing.entries)
    {
        present.insert(e.name);
        update(by_name_[e.name], e, read_at, changes);
    }
    for (auto& [name, known] : by_name_)
    {
        if (!present.contains(name))
            mark_missing(known, listing.as_of, now, changes);
    }
}

void deployment_view::mark_missing(known_upstream& known, std::uint64_t as_of, time_point now,
                                   std::vector<belief_change>& changes)
{
    if (!known.listed)
        return;
    known.listed = false;
    known.missing_since = now;
    known.missing_as_of = as_of;
    changes.push_back(
        {"upstream.missing", known.entry.name, known.entry.draining ? "draining" : "ready"});
}

void deployment_view::forget_old(time_point now)
{
    std::erase_if(by_name_,
                  [&](auto const& item) {
                      return !item.second.listed && now - item.second.missing_since > forget_after;
                  });
}

void deployment_view::index_upstreams()
{
    by_token_.clear();
    by_service_.clear();
    holder_of_address_.clear();
    digest_ = 0;
    for (auto& [name, known] : by_name_)
    {
        known.token_taken = false;
        by_service_[known.entry.service].push_back(known.token);
        if (known.listed)
        {
            digest_ ^= content_hash(known.entry);
            holder_of_address_[known.entry.address.packed()] = &known;
        }
        auto const [at, added] = by_token_.emplace(known.token.value, &known);
        if (added)
            continue;
        // Two ids with one token: the one that started first keeps it on every host, so that its
        // flows stay, and the other takes no new flows.
        known_upstream const* const other = at->second;
        bool const first = std::pair(known.entry.started_unix_ms, name) <
                           std::pair(other->entry.started_unix_ms, other->entry.name);
        known.token_taken = !first;
        if (first)
        {
            by_name_[other->entry.name].token_taken = true;
            at->second = &known;
        }
    }
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
    auto const it = route_at_.find(destination.packed());
    return it == route_at_.end() ? nullptr : &config_->routes[it->second];
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

std::span<flow_token const> deployment_view::upstreams_of(std::string const& service) const
{
    auto const it = by_service_.find(service);
    return it == by_service_.end() ? std::span<flow_token const>{} : std::span(it->second);
}

known_upstream const* deployment_view::find(flow_token token) const
{
    auto const it = by_token_.find(token.value);
    return it == by_token_.end() ? nullptr : it->second;
}

bool deployment_view::evacuated(std::string const& zone) const
{
    return evacuated_.contains(zone);
}

bool deployment_view::takes_new_flows(known_upstream const& u, time_point now) const
{
    if (u.entry.draining || u.token_taken || evacuated_.contains(u.entry.zone))
        return false;
    if (u.listed)
        return true;
    // It may have lapsed during an outage that has just ended.
    return now < unsettled_until_ && u.missing_since > gap_began_;
}

bool deployment_view::surely_gone(known_upstream const& u, time_point now) const
{
    if (u.listed)
        return false;
    auto const holder = holder_of_address_.find(u.entry.address.packed());
    if (holder != holder_of_address_.end() &&
        holder->second->entry.datagram_address != u.entry.datagram_address)
        return true;
    return now >= unsettled_until_ && now - confirmed_at_ < outage_gap &&
           now - u.missing_since > gone_after;
}

duration deployment_view::idle_limit() const
{
    return config_ ? config_->idle_limit : duration{};
}

peer_view deployment_view::changes_since(std::uint64_t as_of, std::uint64_t config_version,
                                         time_point now) const
{
    peer_view out;
    out.complete = as_of == 0;
    out.digest = version().digest;
    out.view_age_ms = static_cast<std::uint32_t>(std::max(duration{}, now - confirmed_at_) /
                                                 std::chrono::milliseconds(1));
    out.operators = {as_of_, std::nullopt, evacuated_};
    bool const lacks_config = config_ && (out.complete || config_->version > config_version);
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
        duration const left = std::max(duration{}, known.cold_until - now);
        out.upstreams.entries.back().cold_left_ms =
            static_cast<std::uint32_t>(left / std::chrono::milliseconds(1));
    }
    return out;
}

} // namespace chivelever
