// Synchronizes the deployment view with the store and with other hosts.
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

// The store normally responds within 4 ms, and within a third of a second when it is slow.
constexpr duration store_call_timeout = 1s;
constexpr duration fetch_timeout = 500ms;
constexpr duration max_read_delay = 20ms; // poll interval: a read starts at most this late
// Upper bound on the sleep between directory steps, so that a changed rank or store address is
// noticed.
constexpr duration max_directory_sleep = 1s;
// Key of the order in which hosts register in the directory.
constexpr std::uint64_t directory_rank_key = 0;
// Mostly hosts of the sender's own zone, which it knows best.
constexpr std::size_t max_hosts_to_other_zones = 4;
// Older answers say nothing about a suspicion: the first probe began at most this long ago.
constexpr duration max_refuting_answer_age = 300ms;

std::uint32_t ms_since(time_point then, time_point now)
{
    if (then == time_point{})
        return 0xFFFFFFFFU;
    auto const age = (now - then) / 1ms;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, 0xFFFFFFFF));
}

} // namespace

// Also runs while the host drains: it is still in the order of readers, and routes by its view.
asio::awaitable<void> edge_host::read_store_loop()
{
    while (!stopping_)
    {
        time_point const now = boot_time_now();
        time_point const due = peers_.next_read(view_.version(), now);
        if (due > now)
        {
            co_await sleep_for(io_, std::min<duration>(due - now, max_read_delay));
            continue;
        }
        bool const done = co_await read_store();
        if (done)
            peers_.on_read_succeeded(boot_time_now());
        else
            peers_.on_read_failed(boot_time_now());
    }
}

asio::awaitable<bool> edge_host::read_store()
{
    time_point const read_at = boot_time_now();
    // When the whole system starts for the first time there is usually no configuration yet, and a
    // read that may be stale shows that at a tenth of the price.
    bool const expects_nothing = settings_.first_start && !has_read_;
    has_read_ = true;
    auto operators = co_await read_section(store_, platform::section::operators, expects_nothing);
    if (expects_nothing && operators.failure.empty() && !operators.items.empty())
        operators = co_await read_section(store_, platform::section::operators, false);
    // Without a configuration the upstreams are of no use yet.
    bool const needs_upstreams = view_.loaded() || !operators.items.empty();
    section_result upstreams{{}, operators.as_of, ""};
    // A stale read costs a tenth of a consistent one; its revision shows whether it is too old.
    if (operators.failure.empty() && needs_upstreams)
        upstreams = co_await read_section(store_, platform::section::upstreams, true);
    if (operators.failure.empty() && upstreams.failure.empty() && upstreams.as_of < operators.as_of)
        upstreams = co_await read_section(store_, platform::section::upstreams, false);
    std::string const& failure = operators.failure.empty() ? upstreams.failure : operators.failure;
    record_store_state(failure.empty(), failure);
    if (!failure.empty())
        co_return false;
    metrics_.observe("store_reading_seconds", "one reading of configuration and upstreams",
                     std::chrono::duration<double>(boot_time_now() - read_at).count());
    findings problems;
    operator_listing const o =
        platform::decode_operators(operators.items, operators.as_of, problems);
    upstream_listing const u =
        platform::decode_upstreams(upstreams.items, upstreams.as_of, problems);
    report_findings(problems);
    std::vector<view_change> changes;
    bool const applied = view_.apply(o, u, read_at, boot_time_now(), changes);
    report_changes(applied, changes, "store", o.as_of);
    announce();
    log::info("store.read", {{"as_of", std::to_string(o.as_of)},
                             {"upstreams", std::to_string(u.entries.size())},
                             {"hosts", std::to_string(peers_.alive_count() + 1)},
                             {"took_ms", std::to_string(ms_since(read_at, boot_time_now()))}});
    co_return true;
}

asio::awaitable<edge_host::section_result>
edge_host::read_section(http_connection& connection, platform::section s, bool allow_stale)
{
    section_result out;
    platform::listing_reader listing(s, allow_stale);
    while (listing.state() == platform::listing_state::incomplete)
    {
        auto const request = listing.next_request();
        metrics_.count("store_calls_total", "calls to the store",
                       allow_stale ? "kind=\"range_stale\"" : "kind=\"range\"")++;
        auto const reply = co_await connection.call(request.method, request.target, request.body,
                                                    store_call_timeout);
        if (!reply || reply->status != http_ok)
        {
            out.failure = (reply ? "HTTP status " + std::to_string(reply->status) : "no response") +
                          " to " + request.target;
            co_return out;
        }
        findings problems;
        listing.add_page(reply->body, problems);
        report_findings(problems);
    }
    if (listing.state() == platform::listing_state::invalid)
    {
        // The responses on this connection may be out of step with the requests.
        connection.close();
        out.failure = "invalid response";
    }
    else if (listing.state() == platform::listing_state::endless)
        out.failure = "pagination does not terminate";
    out.as_of = listing.as_of();
    out.items = listing.take_items();
    co_return out;
}

// Keeps this host's address registered in the store and reads the addresses of the others.
asio::awaitable<void> edge_host::maintain_directory()
{
    http_connection connection(io_, settings_.store);
    bool reported = false;
    while (!draining_)
    {
        connection.set_server(settings_.store);
        time_point const now = boot_time_now();
        directory_.update(peers_.rank_in_zone(directory_rank_key, now), peers_.has_contact(now),
                          now);
        directory_step const step = directory_.next(now);
        if (step == directory_step::wait)
            co_await sleep_for(io_,
                               std::min<duration>(directory_.due() - now, max_directory_sleep));
        else if (!co_await execute_directory_step(step, connection))
            directory_.on_failure(step, boot_time_now());
        if (directory_.complete() && !reported)
            log::info("directory.read", {{"peers", std::to_string(peers_.peer_count())},
                                         {"listed", directory_.listed() ? "yes" : "no"}});
        reported = reported || directory_.complete();
    }
}

asio::awaitable<bool> edge_host::execute_directory_step(directory_step step,
                                                        http_connection& connection)
{
    if (step == directory_step::read_directory)
        co_return co_await read_directory(connection);
    bool const requests_lease = step == directory_step::request_lease;
    bool const renews_lease = step == directory_step::renew_lease;
    auto const r = requests_lease ? platform::lease_request(directory_lease_time)
                   : renews_lease ? platform::renew_request(directory_.lease())
                                  : platform::register_host_request({settings_.ip, settings_.zone},
                                                                    directory_.lease());
    metrics_.count("store_calls_total", "calls to the store",
                   renews_lease ? "kind=\"renew\"" : "kind=\"write\"")++;
    auto const reply = co_await connection.call(r.method, r.target, r.body, store_call_timeout);
    if (reply && reply->status == http_not_found && !requests_lease)
    {
        log::info("host.lease_ended", {{"lease", std::to_string(directory_.lease().value)}});
        directory_.on_lease_ended(boot_time_now());
        co_return true;
    }
    if (!reply || reply->status != http_ok)
        co_return false;
    findings problems;
    if (renews_lease)
        directory_.on_renewed(boot_time_now());
    else if (!requests_lease)
        directory_.on_written();
    else if (auto const lease = platform::decode_lease(reply->body, problems))
        directory_.on_lease(*lease, boot_time_now());
    report_findings(problems);
    co_return problems.empty();
}

asio::awaitable<bool> edge_host::read_directory(http_connection& connection)
{
    auto const hosts = co_await read_section(connection, platform::section::hosts, true);
    if (!hosts.failure.empty())
        co_return false;
    findings problems;
    bool own_listed = false;
    for (peer_address const& p : platform::decode_hosts(hosts.items, problems))
    {
        own_listed = own_listed || p.ip == settings_.ip;
        peers_.add(p, boot_time_now());
    }
    report_findings(problems);
    directory_.on_directory(own_listed, boot_time_now());
    co_return true;
}

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
    auto const chosen = peers_.newer_peer(view_.version(), boot_time_now());
    endpoint const from{chosen.value_or(*source), settings_.peer_port};
    // Fetches the changes only; if the views differ afterwards, they had diverged before, and the
    // whole view is fetched.
    bool const same = co_await fetch_from(from, view_.loaded() ? view_.version().as_of : 0);
    if (!same)
        co_await fetch_from(from, 0);
    if (view_.version().as_of > own.as_of)
        send_heartbeats();
}

// Fetches the changes since `as_of`, or the whole view if it is 0. Returns false if the whole view
// must be fetched: the received changes were not applied, or the resulting view differs from the
// one of the source. Returns true also if the fetch failed, or if the own view is newer by now.
asio::awaitable<bool> edge_host::fetch_from(endpoint source, std::uint64_t as_of)
{
    http_connection connection(io_, source);
    std::uint64_t const config = as_of == 0 ? 0 : view_.version().config_version;
    std::string const target = std::string(view_path) + "?" + encode_view_query({as_of, config});
    time_point const requested_at = boot_time_now();
    auto const reply = co_await connection.call("GET", target, "", fetch_timeout);
    auto v = reply && reply->status == http_ok ? decode_view(reply->body) : std::nullopt;
    metrics_.count("view_fetches_total", "views fetched from other hosts",
                   std::string("outcome=\"") + (v ? "done" : "failed") + "\",whole=\"" +
                       (as_of == 0 ? "yes" : "no") + "\"")++;
    if (!v)
    {
        log::warning("view.fetch_failed", {{"from", to_string(source)}});
        co_return true;
    }
    time_point const now = boot_time_now();
    v->view_age_ms += ms_since(requested_at, now);
    std::vector<view_change> changes;
    bool const applied = view_.apply(*v, now, changes);
    report_changes(applied, changes, to_string(source), v->operators.as_of);
    bool const newer_meanwhile = view_.version().as_of > v->operators.as_of;
    co_return newer_meanwhile || (applied && view_.version().digest == v->digest);
}

void edge_host::report_changes(bool applied, std::vector<view_change> const& changes,
                               std::string const& source, std::uint64_t as_of)
{
    time_point const now = boot_time_now();
    view_version const own = view_.version();
    if (!applied)
        log::info("view.older", {{"source", source},
                                 {"as_of", std::to_string(as_of)},
                                 {"own_as_of", std::to_string(own.as_of)}});
    for (view_change const& c : changes)
        log::info(c.kind, {{"subject", c.subject},
                           {"detail", c.detail},
                           {"source", source},
                           {"as_of", std::to_string(as_of)},
                           {"age_ms", std::to_string(ms_since(own.confirmed_at, now))}});
    update_readiness(now);
}

void edge_host::on_heartbeat(std::string_view bytes, endpoint source)
{
    time_point const now = boot_time_now();
    auto const heartbeat = decode_heartbeat(bytes);
    if (!heartbeat)
    {
        metrics_.count("beats_refused_total", "messages of other hosts that could not be read")++;
        log::warning("beat.refused", {{"source", to_string(source)}});
        return;
    }
    auto const outcome = peers_.on_heartbeat(*heartbeat, view_.version(), now);
    if (outcome.new_peer)
        log::info("peer.heard", {{"peer", to_string(endpoint{heartbeat->sender.ip, 0})},
                                 {"zone", heartbeat->sender.zone}});
    for (flow_token const t : heartbeat->suspected_upstreams)
        health_.record_peer_suspicion(t, now);
    for (observed_answer const& a : heartbeat->observed_answers)
        health_.record_peer_answer(a.upstream, now - std::chrono::milliseconds(a.age_ms));
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

void edge_host::record_store_state(bool reachable, std::string const& detail)
{
    if (!reachable)
        metrics_.count("store_failures_total", "calls that the store did not answer as asked")++;
    if (store_reachable_ == reachable)
        return;
    store_reachable_ = reachable;
    if (reachable)
        log::info("store.reached", {{"store", to_string(store_.server())}});
    else
        log::warning("store.lost", {{"store", to_string(store_.server())}, {"detail", detail}});
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
