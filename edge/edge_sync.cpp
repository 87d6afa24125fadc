// Synchronizes the deployment view with other hosts.
#include "edge/edge_host.hpp"

#include <algorithm>
#include <boost/scope_exit.hpp>
#include <cmath>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

constexpr duration fetch_timeout = 500ms;
// Of one fetch from hosts that are busy; the next heartbeat of a newer one starts another.
constexpr int max_fetch_attempts = 12;
// Mostly hosts of the sender's own zone, which it knows best.
constexpr std::size_t max_hosts_to_other_zones = 4;
// Older answers say nothing about a suspicion: the first probe began at most this long ago.
constexpr duration max_refuting_answer_age = 300ms;
// Bounds the heartbeats of a zone with many upstreams. A host with 0.12 of a core gets about 24
// answers within the 2 s that they count.
constexpr std::size_t max_reported_answers = 48;

std::uint32_t ms_since(time_point then, time_point now)
{
    if (then == time_point{})
        return 0xFFFFFFFFU;
    auto const age = (now - then) / 1ms;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, 0xFFFFFFFF));
}

} // namespace

asio::awaitable<void> edge_host::fetch_view()
{
    view_version const own = view_.version();
    auto const source = peers_.newer_peer(own, boot_time_now());
    if (fetching_ || !source)
        co_return;
    fetching_ = true;
    BOOST_SCOPE_EXIT_ALL(this)
    {
        fetching_ = false;
    };
    // A random delay spreads the load: otherwise all hosts would fetch at once from the one that
    // has read the store. Hosts that fetch early can serve the later ones. A host that has just
    // started does not wait, unless it has seen an empty store like all others.
    if (view_.loaded() || own.confirmed_at != time_point{})
        co_await sleep_for(io_, peers_.fetch_delay());
    auto outcome = fetch_outcome::busy;
    for (int attempt = 0; attempt < max_fetch_attempts && outcome == fetch_outcome::busy; ++attempt)
    {
        if (attempt > 0)
            co_await sleep_for(io_, peers_.fetch_retry_delay());
        auto const chosen = peers_.newer_peer(view_.version(), boot_time_now());
        if (attempt > 0 && !chosen)
            break;
        endpoint const from{chosen.value_or(*source), settings_.peer_port};
        // Fetches the changes only; if the views differ afterwards, they had diverged before, and
        // the whole view is fetched.
        outcome =
            co_await fetch_from(from, view_.loaded() ? view_.version().as_of : store_position{});
        if (outcome == fetch_outcome::incomplete)
            outcome = co_await fetch_from(from, 0);
    }
    if (view_.version().as_of > own.as_of)
        send_heartbeats();
}

// Fetches the changes since `as_of`, or the whole view if it is 0. The whole view must be fetched
// if the received changes were not applied, or the resulting view differs from the one of the
// source.
asio::awaitable<edge_host::fetch_outcome> edge_host::fetch_from(endpoint source,
                                                                store_position as_of)
{
    http_connection connection(io_, source);
    std::uint64_t const config = as_of == store_position{} ? 0 : view_.version().config_version;
    std::string const target = std::string(view_path) + "?" + encode_view_query({as_of, config});
    time_point const requested_at = boot_time_now();
    auto const reply = co_await connection.call("GET", target, "", fetch_timeout);
    auto v = reply && reply->status == http_ok ? decode_view(reply->body) : std::nullopt;
    bool const busy = reply && reply->status == http_unavailable;
    metrics_.count("view_fetches_total", "views fetched from other hosts",
                   std::string("outcome=\"") +
                       (v      ? "done"
                        : busy ? "busy"
                               : "failed") +
                       "\",whole=\"" + (as_of == store_position{} ? "yes" : "no") + "\"")++;
    if (busy)
        co_return fetch_outcome::busy;
    if (!v)
    {
        log::warning("view.fetch_failed", {{"from", to_string(source)}});
        co_return fetch_outcome::done;
    }
    time_point const now = boot_time_now();
    std::vector<view_change> changes;
    bool const first = !view_.loaded();
    bool const applied = view_.apply(*v, now, changes, now - requested_at);
    report_changes(applied, changes, to_string(source), v->operators.as_of);
    if (!first)
        start_recoveries(changes, now);
    bool const newer_meanwhile = view_.version().as_of > v->operators.as_of;
    // A complete view of a later era may have an older configuration than this host.
    bool const same = applied && (v->complete || view_.version().digest == v->digest);
    co_return newer_meanwhile || same ? fetch_outcome::done : fetch_outcome::incomplete;
}

void edge_host::report_changes(bool applied, std::vector<view_change> const& changes,
                               std::string const& source, store_position as_of)
{
    time_point const now = boot_time_now();
    view_version const own = view_.version();
    if (!applied)
        log::info("view.older", {{"source", source},
                                 {"as_of", std::to_string(as_of.revision)},
                                 {"era", std::to_string(as_of.era)},
                                 {"own_as_of", std::to_string(own.as_of.revision)},
                                 {"own_era", std::to_string(own.as_of.era)}});
    for (view_change const& c : changes)
        log::info(c.kind, {{"subject", c.subject},
                           {"detail", c.detail},
                           {"source", source},
                           {"as_of", std::to_string(as_of.revision)},
                           {"era", std::to_string(as_of.era)},
                           {"age_ms", std::to_string(ms_since(own.confirmed_at, now))}});
    update_readiness(now);
}

void edge_host::refuse_peer_message(endpoint source)
{
    metrics_.count("beats_refused_total", "messages of other hosts that could not be read")++;
    log::warning("beat.refused", {{"source", to_string(source)}});
}

void edge_host::on_peer_message(std::string_view bytes, endpoint source)
{
    if (is_flow_report(bytes))
        on_flow_report(bytes, source);
    else
        on_heartbeat(bytes, source);
}

void edge_host::on_heartbeat(std::string_view bytes, endpoint source)
{
    time_point const now = boot_time_now();
    auto const heartbeat = decode_heartbeat(bytes);
    if (!heartbeat)
        return refuse_peer_message(source);
    auto const outcome = peers_.on_heartbeat(*heartbeat, view_.version(), now);
    if (outcome.new_peer)
        log::info("peer.heard", {{"peer", to_string(endpoint{heartbeat->sender.ip, 0})},
                                 {"zone", heartbeat->sender.zone}});
    for (flow_token const t : heartbeat->suspected_upstreams)
        health_.record_peer_suspicion(t, now);
    for (observed_answer const& a : heartbeat->observed_answers)
        health_.record_peer_answer(a.upstream, now - std::chrono::milliseconds(a.age_ms));
    bool const has_started = outcome.new_peer || heartbeat->known_hosts == 0U;
    if (has_started && heartbeat->sender.zone == settings_.zone)
        report_flows_to({heartbeat->sender.ip, settings_.peer_port});
    record_recovering(*heartbeat, now);
    answer_peer(*heartbeat, now);
    if (outcome.confirms)
        view_.confirm(heartbeat->as_of, outcome.confirmed_at, now);
    else if (outcome.newer && !fetching_)
        spawn("fetch", fetch_view());
}

// Refutes a suspicion by this host's own answers of the upstream, and tells a host that has just
// started about the fleet.
void edge_host::answer_peer(peer_heartbeat const& from, time_point now)
{
    peer_heartbeat reply = make_heartbeat(now);
    for (flow_token const t : from.suspected_upstreams)
    {
        time_point const answered = health_.last_answer(t);
        if (answered != time_point{} && now - answered < max_refuting_answer_age)
            reply.observed_answers.push_back({t, ms_since(answered, now)});
    }
    reply.observed_hosts = peers_.introduce_fleet(from, now);
    if (!reply.observed_answers.empty() || !reply.observed_hosts.empty())
        heartbeat_socket_->send({from.sender.ip, settings_.peer_port}, encode_heartbeat(reply));
}

peer_heartbeat edge_host::make_heartbeat(time_point now) const
{
    view_version const v = view_.version();
    peer_heartbeat b;
    b.sender = {settings_.ip, settings_.zone};
    b.leaving = stopping_;
    b.as_of = v.as_of;
    b.digest = v.digest;
    b.config_version = v.config_version;
    b.view_age_ms = ms_since(v.confirmed_at, now);
    b.known_hosts = static_cast<std::uint32_t>(peers_.alive_count());
    return b;
}

// Sends the state of this host to every other one: its start, a read of the store or its exit.
void edge_host::announce()
{
    std::string const bytes = encode_heartbeat(make_heartbeat(boot_time_now()));
    for (peer_address const& p : peers_.all_peers())
        heartbeat_socket_->send({p.ip, settings_.peer_port}, bytes);
}

std::vector<service_load> edge_host::own_service_loads(time_point now)
{
    if (settings_.admission != admission_policy::capacity)
        return {};
    return capacity_.own_loads(peers_.reported_service_loads().loaded_services(now), now);
}

// Loads and suspected upstreams are sent only to hosts of the same zone, and only for its
// upstreams: other zones rarely use these upstreams, and traffic between zones is expensive.
void edge_host::send_heartbeats()
{
    time_point const now = boot_time_now();
    peer_heartbeat b = make_heartbeat(now);
    b.observed_hosts = peers_.sample_hosts(now);
    b.recovering = recovering_upstreams(now);
    auto const own = own_service_loads(now);
    b.service_loads = own;
    std::string const full = encode_local_heartbeat(b, now);
    b.observed_hosts.resize(std::min(b.observed_hosts.size(), max_hosts_to_other_zones));
    b.service_loads = peers_.reported_service_loads().zone_sums(own, now);
    std::string const brief = encode_heartbeat(b);
    for (peer_address const& p : peers_.heartbeat_targets())
        heartbeat_socket_->send({p.ip, settings_.peer_port},
                                p.zone == settings_.zone ? full : brief);
}

// Adds what only hosts of the same zone use.
std::string edge_host::encode_local_heartbeat(peer_heartbeat b, time_point now) const
{
    for (auto const& [token, load] : flows_.loads())
    {
        known_upstream const* const u = view_.find({token});
        if (u == nullptr || u->entry.zone != settings_.zone)
            continue;
        auto const mean = std::lround(flows_.mean_pending_requests({token}, now) * 1000);
        b.loads.push_back({{token}, load.flows, static_cast<std::uint32_t>(mean)});
    }
    b.suspected_upstreams = health_.suspects(now);
    for (auto const& [token, answered] : health_.recent_answers(max_reported_answers, now))
        b.observed_answers.push_back({token, ms_since(answered, now)});
    b.observed_zones = peers_.observed_zones(now);
    return encode_heartbeat(b);
}

void edge_host::ask_zone(std::vector<flow_token> const& upstreams)
{
    peer_heartbeat b = make_heartbeat(boot_time_now());
    b.suspected_upstreams = upstreams;
    std::string const bytes = encode_heartbeat(b);
    for (peer_address const& p : peers_.all_peers())
        if (p.zone == settings_.zone)
            heartbeat_socket_->send({p.ip, settings_.peer_port}, bytes);
}

// Logs each distinct finding when its count reaches a power of two: an invalid entry stays in the
// store and is found again by every read.
void edge_host::report_findings(findings const& problems)
{
    for (finding const& f : problems)
    {
        metrics_.count("findings_total", "items of the store that could not be used")++;
        std::uint64_t const times = ++logged_findings_[to_string(f)];
        if ((times & (times - 1)) == 0)
            log::warning("store.finding",
                         {{"finding", to_string(f)}, {"times", std::to_string(times)}});
    }
}

} // namespace chivelever
