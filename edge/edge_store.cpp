// Reads the deployment view from the store, and keeps this host in its directory.
#include "edge/edge_host.hpp"

#include <algorithm>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// The store normally responds within 4 ms, and within a third of a second when it is slow.
constexpr duration store_call_timeout = 1s;
// The era changes only when the store is restored; a reading that it interrupts succeeds next time.
constexpr int max_reading_attempts = 3;
constexpr duration max_read_delay = 20ms; // poll interval: a read starts at most this late
// Upper bound on the sleep between directory steps, so that a changed rank or store address is
// noticed.
constexpr duration max_directory_sleep = 1s;
// Key of the order in which hosts register in the directory.
constexpr std::uint64_t directory_rank_key = 0;

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
    auto const [operators, upstreams] = co_await read_listings();
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
    bool const first = !view_.loaded();
    bool const applied = view_.apply(o, u, read_at, boot_time_now(), changes);
    report_changes(applied, changes, "store", o.as_of);
    // All upstreams are new to a host that has just started.
    if (!first)
        start_recoveries(changes, boot_time_now());
    announce();
    log::info("store.read", {{"as_of", std::to_string(o.as_of.revision)},
                             {"era", std::to_string(o.as_of.era)},
                             {"upstreams", std::to_string(u.entries.size())},
                             {"hosts", std::to_string(peers_.alive_count() + 1)},
                             {"took_ms", std::to_string((boot_time_now() - read_at) / 1ms)}});
    co_return true;
}

// The store may be restored between the two listings; a configuration and upstreams of different
// eras must not be combined.
asio::awaitable<edge_host::store_reading> edge_host::read_listings()
{
    // When the whole system starts for the first time there is usually no configuration yet, and a
    // read that may be stale shows that at a tenth of the price.
    bool const expects_nothing = settings_.first_start && !has_read_;
    has_read_ = true;
    store_reading out;
    for (int attempt = 0; attempt < max_reading_attempts; ++attempt)
    {
        out.operators = co_await read_section(store_, platform::section::operators,
                                              expects_nothing && attempt == 0);
        if (expects_nothing && out.operators.failure.empty() && !out.operators.items.empty())
            out.operators = co_await read_section(store_, platform::section::operators, false);
        out.upstreams = co_await read_upstreams(out.operators);
        bool const failed = !out.operators.failure.empty() || !out.upstreams.failure.empty();
        if (failed || out.upstreams.as_of.era == out.operators.as_of.era)
            co_return out;
    }
    out.upstreams.failure = "the era of the store changes during each reading";
    co_return out;
}

asio::awaitable<edge_host::section_result>
edge_host::read_upstreams(section_result const& operators)
{
    // Without a configuration the upstreams are of no use yet.
    if (!operators.failure.empty() || (!view_.loaded() && operators.items.empty()))
        co_return section_result{{}, operators.as_of, "", false};
    // A stale read costs a tenth of a consistent one; its position shows whether it is too old.
    auto upstreams = co_await read_section(store_, platform::section::upstreams, true);
    if (upstreams.outdated || (upstreams.failure.empty() && upstreams.as_of < operators.as_of))
        upstreams = co_await read_section(store_, platform::section::upstreams, false);
    co_return upstreams;
}

std::optional<std::uint64_t> edge_host::check_era(http_reply const& reply, endpoint store)
{
    findings problems;
    auto const era =
        platform::decode_era(reply.header(std::string(platform::era_header)), problems);
    report_findings(problems);
    if (era && !store_era_.observe(store, *era))
    {
        metrics_.count("store_era_fell_total", "responses of an earlier era of the store")++;
        log::warning("store.era_fell", {{"store", to_string(store)},
                                        {"era", std::to_string(*era)},
                                        {"latest", std::to_string(store_era_.latest())}});
        return std::nullopt;
    }
    return era;
}

asio::awaitable<edge_host::section_result>
edge_host::read_section(http_connection& connection, platform::section s, bool allow_stale)
{
    section_result out;
    auto state = platform::listing_state::era_changed;
    for (int attempt = 0;
         attempt < max_reading_attempts && state == platform::listing_state::era_changed; ++attempt)
        state = co_await read_pages(connection, s, allow_stale, out);
    if (!out.failure.empty())
        co_return out;
    if (state == platform::listing_state::invalid)
    {
        // The responses on this connection may be out of step with the requests.
        connection.close();
        out.failure = "invalid response";
    }
    else if (state == platform::listing_state::endless)
        out.failure = "pagination does not terminate";
    else if (state == platform::listing_state::era_changed)
        out.failure = "the era of the store changes between the pages of each listing";
    co_return out;
}

asio::awaitable<platform::listing_state> edge_host::read_pages(http_connection& connection,
                                                               platform::section s,
                                                               bool allow_stale,
                                                               section_result& out)
{
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
            co_return platform::listing_state::invalid;
        }
        std::uint64_t const latest = store_era_.latest();
        auto const era = check_era(*reply, connection.server());
        if (!era)
        {
            out.outdated = true;
            out.failure = "unusable era, latest " + std::to_string(latest);
            co_return platform::listing_state::invalid;
        }
        findings problems;
        listing.add_page(reply->body, problems, *era);
        report_findings(problems);
    }
    out.as_of = listing.as_of();
    out.items = listing.take_items();
    co_return listing.state();
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
        directory_.on_store_era(store_era_.latest());
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
    auto const era = check_era(*reply, connection.server());
    if (!era)
        co_return false;
    findings problems;
    store_lease const before = directory_.lease();
    if (renews_lease)
        directory_.on_renewed(boot_time_now(), *era);
    else if (!requests_lease)
        directory_.on_written(*era);
    else if (auto const lease = platform::decode_lease(reply->body, problems))
        directory_.on_lease(*lease, boot_time_now(), *era);
    if (!requests_lease && directory_.lease() != before)
        log::info("host.lease_ended",
                  {{"lease", std::to_string(before.value)}, {"era", std::to_string(*era)}});
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

} // namespace chivelever
