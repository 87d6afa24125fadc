// What this host learns from the store and from other hosts.
#include "edge/edge_host.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// The store answers in 4 ms and, when it is slow, in a third of a second.
constexpr duration store_call_limit = 1s;
constexpr duration fetch_limit = 500ms;
constexpr duration idle_check = 20ms; // how long the reading loop sleeps at most past its time
// How long the directory sleeps at most, so that a changed address of the store is noticed.
constexpr duration directory_check = 5s;
// 2,200 upstreams in pages of 50; more is an endless listing.
constexpr int max_pages = 100;
constexpr std::size_t others_in_beat = 3;

std::uint32_t ms_since(time_point then, time_point now)
{
    if (then == time_point{})
        return 0xFFFFFFFFU;
    auto const age = (now - then) / 1ms;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, 0xFFFFFFFF));
}

} // namespace

asio::awaitable<void> edge_host::read_store_forever()
{
    while (!leaving_)
    {
        time_point const now = boot_time_now();
        time_point const due = peers_.next_read(view_.version(), now);
        if (due > now)
        {
            co_await sleep_for(io_, std::min<duration>(due - now, idle_check));
            continue;
        }
        bool const done = co_await read_store();
        if (done)
            peers_.read_done(boot_time_now());
        else
            peers_.read_failed(boot_time_now());
    }
}

asio::awaitable<bool> edge_host::read_store()
{
    time_point const read_at = boot_time_now();
    auto const operators = co_await read_section(store_, platform::section::operators, false);
    section_reading upstreams;
    // A reading that may be stale costs a tenth; its revision shows whether it is.
    if (operators.failure.empty())
        upstreams = co_await read_section(store_, platform::section::upstreams, true);
    if (operators.failure.empty() && upstreams.failure.empty() && upstreams.as_of < operators.as_of)
        upstreams = co_await read_section(store_, platform::section::upstreams, false);
    std::string const& failure = operators.failure.empty() ? upstreams.failure : operators.failure;
    note_store(failure.empty(), failure);
    if (!failure.empty())
        co_return false;
    metrics_.observe("store_reading_seconds", "one reading of configuration and upstreams",
                     std::chrono::duration<double>(boot_time_now() - read_at).count());
    findings problems;
    operator_listing const o =
        platform::decode_operators(operators.items, operators.as_of, problems);
    upstream_listing const u =
        platform::decode_upstreams(upstreams.items, upstreams.as_of, problems);
    log_findings(problems);
    std::vector<belief_change> changes;
    bool const applied = view_.apply(o, u, read_at, boot_time_now(), changes);
    report_changes(applied, changes, "store", o.as_of);
    send_beats(true);
    co_return true;
}

asio::awaitable<edge_host::section_reading>
edge_host::read_section(http_connection& connection, platform::section s, bool may_be_stale)
{
    section_reading out;
    for (int page = 0; page < max_pages; ++page)
    {
        std::string const after = out.items.empty() ? "" : out.items.back().key;
        auto const request = platform::range_request(s, after, may_be_stale);
        metrics_.count("store_calls_total", "calls to the store",
                       may_be_stale ? "kind=\"range_stale\"" : "kind=\"range\"")++;
        auto reply = co_await connection.call(request.method, request.target, request.body,
                                              store_call_limit);
        if (!reply || reply->status != http_ok)
        {
            out.failure = reply ? "status " + std::to_string(reply->status) : "no answer";
            co_return out;
        }
        findings problems;
        auto decoded = platform::decode_page(reply->body, problems);
        log_findings(problems);
        if (!decoded)
        {
            out.failure = "unreadable answer";
            co_return out;
        }
        // Pages are no snapshot: the oldest of them dates the listing.
        out.as_of = page == 0 ? decoded->as_of : std::min(out.as_of, decoded->as_of);
        bool const advances = decoded->items.empty() || decoded->items.back().key > after;
        out.items.insert(out.items.end(), std::make_move_iterator(decoded->items.begin()),
                         std::make_move_iterator(decoded->items.end()));
        if (!decoded->more || decoded->items.empty())
            co_return out;
        if (!advances)
            break;
    }
    out.failure = "pages repeat";
    co_return out;
}

// Keeps the host's address in the store, and takes over those of the others.
asio::awaitable<void> edge_host::keep_directory()
{
    http_connection connection(io_, settings_.store);
    bool reported = false;
    while (!leaving_)
    {
        connection.set_server(settings_.store);
        time_point const now = boot_time_now();
        directory_step const step = directory_.next(now);
        if (step == directory_step::wait)
            co_await sleep_for(io_, std::min<duration>(directory_.due() - now, directory_check));
        else if (!co_await take_directory_step(step, connection))
            directory_.on_failure(step, boot_time_now());
        if (directory_.complete() && !reported)
            log::info("host.registered", {{"peers", std::to_string(peers_.known())}});
        reported = reported || directory_.complete();
    }
}

asio::awaitable<bool> edge_host::take_directory_step(directory_step step,
                                                     http_connection& connection)
{
    if (step == directory_step::read_directory)
        co_return co_await read_directory(connection);
    bool const asks = step == directory_step::request_lease;
    bool const renews = step == directory_step::renew_lease;
    auto const r = asks     ? platform::lease_request(directory_lease_time)
                   : renews ? platform::renew_request(directory_.lease())
                            : platform::register_host_request({settings_.ip, settings_.zone},
                                                              directory_.lease());
    metrics_.count("store_calls_total", "calls to the store",
                   renews ? "kind=\"renew\"" : "kind=\"write\"")++;
    auto const reply = co_await connection.call(r.method, r.target, r.body, store_call_limit);
    if (reply && reply->status == http_not_found && !asks)
    {
        log::info("host.lease_ended", {{"lease", std::to_string(directory_.lease().value)}});
        directory_.on_lease_ended(boot_time_now());
        co_return true;
    }
    if (!reply || reply->status != http_ok)
        co_return false;
    findings problems;
    if (renews)
        directory_.on_renewed(boot_time_now());
    else if (!asks)
        directory_.on_written();
    else if (auto const lease = platform::decode_lease(reply->body, problems))
        directory_.on_lease(*lease, boot_time_now());
    log_findings(problems);
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
    log_findings(problems);
    directory_.on_directory(own_listed, boot_time_now());
    co_return true;
}

asio::awaitable<void> edge_host::fetch_view()
{
    view_version const own = view_.version();
    auto const source = peers_.source(own, boot_time_now());
    if (fetching_ || !source)
        co_return;
    fetching_ = true;
    // Not all hosts at once from the one that has read the store: meanwhile others learn it and can
    // be asked too.
    if (view_.loaded())
        co_await sleep_for(io_, peers_.fetch_delay(boot_time_now()));
    auto const chosen = peers_.source(view_.version(), boot_time_now());
    endpoint const from{chosen.value_or(*source), settings_.peer_port};
    // What has changed is enough unless the two views have parted earlier; then everything is.
    bool const same = co_await fetch_from(from, view_.loaded() ? view_.version().as_of : 0);
    if (!same)
        co_await fetch_from(from, 0);
    fetching_ = false;
    if (view_.version().as_of > own.as_of)
        send_beats(false);
}

// False if the result differs from the view of the other host.
asio::awaitable<bool> edge_host::fetch_from(endpoint source, std::uint64_t as_of)
{
    http_connection connection(io_, source);
    std::uint64_t const config = as_of == 0 ? 0 : view_.version().config_version;
    std::string const target = std::string(view_path) + "?" + encode_view_query({as_of, config});
    time_point const asked = boot_time_now();
    auto const reply = co_await connection.call("GET", target, "", fetch_limit);
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
    v->view_age_ms += ms_since(asked, now);
    std::vector<belief_change> changes;
    bool const applied = view_.apply(*v, now, changes);
    report_changes(applied, changes, to_string(source), v->operators.as_of);
    bool const newer_meanwhile = view_.version().as_of > v->operators.as_of;
    co_return newer_meanwhile || (applied && view_.version().digest == v->digest);
}

void edge_host::report_changes(bool applied, std::vector<belief_change> const& changes,
                               std::string const& source, std::uint64_t as_of)
{
    time_point const now = boot_time_now();
    view_version const own = view_.version();
    if (!applied)
        log::info("view.older", {{"source", source},
                                 {"as_of", std::to_string(as_of)},
                                 {"own_as_of", std::to_string(own.as_of)}});
    for (belief_change const& c : changes)
        log::info(c.kind, {{"subject", c.subject},
                           {"detail", c.detail},
                           {"source", source},
                           {"as_of", std::to_string(as_of)},
                           {"age_ms", std::to_string(ms_since(own.confirmed_at, now))}});
    ready(now);
}

void edge_host::on_beat(std::string_view bytes, endpoint source)
{
    time_point const now = boot_time_now();
    auto const beat = decode_beat(bytes);
    if (!beat)
    {
        metrics_.count("beats_refused_total", "messages of other hosts that could not be read")++;
        log::warning("beat.refused", {{"source", to_string(source)}});
        return;
    }
    auto const outcome = peers_.on_beat(*beat, view_.version(), now);
    if (outcome.new_peer)
        log::info("peer.heard",
                  {{"peer", to_string(endpoint{beat->sender.ip, 0})}, {"zone", beat->sender.zone}});
    for (flow_token const t : beat->suspects)
        health_.peer_suspects(t, now);
    if (outcome.confirms)
        view_.confirm(beat->as_of, outcome.confirmed_at, now);
    else if (outcome.newer && !fetching_)
        asio::co_spawn(io_, fetch_view(), asio::detached);
}

// Loads and suspicions go to hosts of the own zone only, and only for its upstreams: other zones
// use them rarely, and bytes between zones are dear.
void edge_host::send_beats(bool all)
{
    time_point const now = boot_time_now();
    view_version const v = view_.version();
    peer_beat b;
    b.sender = {settings_.ip, settings_.zone};
    b.leaving = stopping_;
    b.as_of = v.as_of;
    b.digest = v.digest;
    b.config_version = v.config_version;
    b.view_age_ms = ms_since(v.confirmed_at, now);
    std::string const brief = encode_beat(b);
    std::string full;
    if (!all)
    {
        for (auto const& [token, load] : flows_.loads())
        {
            known_upstream const* const u = view_.find({token});
            if (u == nullptr || u->entry.zone != settings_.zone)
                continue;
            auto const mean = std::lround(flows_.mean_waiting({token}, now) * 1000);
            b.loads.push_back({{token}, load.flows, static_cast<std::uint32_t>(mean)});
        }
        b.suspects = health_.suspects(now);
        b.others = peers_.some_peers(others_in_beat, now);
        full = encode_beat(b);
    }
    for (peer_address const& p : peers_.targets(all, now))
        beats_->send({p.ip, settings_.peer_port}, !all && p.zone == settings_.zone ? full : brief);
}

void edge_host::note_store(bool reachable, std::string const& detail)
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

// Each kind once, and again each time that its count doubles: an entry that cannot be read stays in
// the store and is met at each reading.
void edge_host::log_findings(findings const& problems)
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
