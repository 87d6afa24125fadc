#include "edge/edge_host.hpp"

#include <boost/asio/co_spawn.hpp>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>

namespace chivelever
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Three lost heartbeats are noticed within a second.
constexpr duration heartbeat_period = 200ms;
constexpr duration task_restart_delay = 500ms;
// Time in which a host that has started hears the hosts of its zone.
constexpr duration settling_time = 2s;
constexpr duration probe_check_period = 20ms; // maximum delay before a due probe starts
constexpr duration expire_period = 500ms;
constexpr duration log_flush_period = 100ms;
// The settings file is polled because it may change without a SIGHUP.
constexpr duration settings_period = 1s;
// The platform's routers take a host out of rotation after two missed probes, half a second apart.
constexpr duration min_drain_time = 1500ms;
constexpr duration drain_poll_period = 100ms;
// Draining is complete when no packet has arrived for this long.
constexpr duration drain_idle_time = 700ms;
// Part of the grace period that is reserved for flushing the log before the process is killed.
constexpr duration log_flush_reserve = 1s;

std::uint64_t random_seed(edge_settings const& s)
{
    return hash_pair(s.ip, static_cast<std::uint64_t>(boot_time_now().time_since_epoch().count()));
}

std::string file_contents(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

edge_host::edge_host(asio::io_context& io, edge_settings settings, std::string settings_file,
                     std::uint16_t metrics_port)
    : io_(io), settings_(std::move(settings)), settings_file_(std::move(settings_file)),
      settings_text_(file_contents(settings_file_)), metrics_port_(metrics_port),
      started_(boot_time_now()), timers_(io),
      placement_({settings_.zone, settings_.cold_overage, settings_.cold_slack},
                 random_seed(settings_)),
      peers_({settings_.ip, settings_.zone}, random_seed(settings_) + 1),
      directory_(random_seed(settings_) + 2),
      admission_({settings_.admission == admission_policy::capacity}),
      capacity_(admission_, settings_.zone, view_, flows_, health_, placement_, fleet_),
      router_(view_, flows_, health_, placement_, overload_, fleet_, capacity_),
      store_(io, settings_.store), signals_(io, SIGTERM, SIGINT, SIGHUP), retry_timer_(io)
{
    fleet_.peer_load = [this](flow_token t) { return peers_.peer_load(t); };
    fleet_.zone_reachable = [this](std::string const& z)
    { return peers_.zone_reachable(z, boot_time_now()); };
    fleet_.zone_rank = [this](flow_token t)
    { return peers_.rank_in_zone(t.value, boot_time_now()); };
    fleet_.recoveries = &recoveries_;
    fleet_.slow_start_applies = [this](std::string const& service)
    { return capacity_.applies_to(service); };
    fleet_.load_on_service = [this](std::string const& service)
    { return peers_.load_on_service(service, boot_time_now()); };
    fleet_.settled = false;
}

void edge_host::start()
{
    auto const handler = [this](http_request const& call) { return handle_http(call); };
    packet_socket_ = std::make_unique<loop_udp>(
        io_, settings_.packets, [this](std::string_view bytes, endpoint) { on_packet(bytes); });
    heartbeat_socket_ = std::make_unique<loop_udp>(io_, endpoint{settings_.ip, settings_.peer_port},
                                                   [this](std::string_view bytes, endpoint from)
                                                   { on_peer_message(bytes, from); });
    listeners_.push_back(std::make_unique<http_listener>(io_, settings_.ready, handler));
    listeners_.push_back(
        std::make_unique<http_listener>(io_, endpoint{settings_.ip, settings_.peer_port}, handler));
    if (metrics_port_ != 0)
        listeners_.push_back(
            std::make_unique<http_listener>(io_, endpoint{settings_.ip, metrics_port_}, handler));
    for (std::uint32_t const ip : settings_.seeds)
        peers_.add({ip, ""}, started_);
    add_gauges();
    start_timers();
    wait_for_signal();
    log::info("host.started", {{"zone", settings_.zone},
                               {"packets", to_string(settings_.packets)},
                               {"ready", to_string(settings_.ready)},
                               {"peers", std::to_string(settings_.peer_port)},
                               {"store", to_string(settings_.store)}});
    announce();
    spawn("store", keep_running("store", &edge_host::read_store_loop));
    spawn("directory", keep_running("directory", &edge_host::maintain_directory));
}

void edge_host::spawn(std::string name, asio::awaitable<void> task)
{
    asio::co_spawn(io_, std::move(task),
                   [this, name = std::move(name)](std::exception_ptr const& error)
                   {
                       if (error)
                           record_failed_task(name, error);
                   });
}

asio::awaitable<void> edge_host::keep_running(std::string name,
                                              asio::awaitable<void> (edge_host::*loop)())
{
    for (bool ended = false; !ended;)
    {
        try
        {
            co_await (this->*loop)();
            ended = true;
        }
        catch (...)
        {
            record_failed_task(name, std::current_exception());
        }
        if (!ended)
            co_await sleep_for(io_, task_restart_delay);
    }
}

void edge_host::record_failed_task(std::string const& name, std::exception_ptr const& error)
{
    metrics_.count("task_failures_total", "tasks that an unexpected error ended",
                   "task=\"" + name + "\"")++;
    log_failed_task(name, error);
}

void edge_host::start_timers()
{
    auto const call_every = [this](duration period, std::function<void(time_point)> f)
    { subscriptions_.push_back(timers_.subscribe(period, std::move(f))); };
    call_every(heartbeat_period,
               [this](time_point now)
               {
                   send_heartbeats();
                   if (!view_.loaded())
                       spawn("fetch", fetch_view());
                   fleet_.hosts_in_zone = peers_.hosts_in_zone(now);
                   fleet_.in_contact = fleet_.hosts_in_zone == 1 || peers_.has_contact(now);
                   report_slow_starts(now);
                   fleet_.settled = now - started_ >= settling_time;
                   update_readiness(now);
               });
    call_every(expire_period,
               [this](time_point now)
               {
                   router_.expire(now);
                   peers_.expire(now);
                   report_overload(now);
               });
    call_every(probe_check_period, [this](time_point) { start_probes(); });
    call_every(log_flush_period, [](time_point) { log::flush(); });
    call_every(settings_period, [this](time_point) { check_settings(); });
}

void edge_host::add_gauges()
{
    auto const age = [this] {
        return std::chrono::duration<double>(boot_time_now() - view_.version().confirmed_at)
            .count();
    };
    metrics_.gauge("view_age_seconds", "since the view was known to be the newest", age);
    metrics_.gauge("config_version", "version of the configuration in force",
                   [this] { return static_cast<double>(view_.version().config_version); });
    metrics_.gauge("store_era", "era of the store in its latest response",
                   [this] { return static_cast<double>(store_era_.latest()); });
    metrics_.gauge("flows", "flows in the table",
                   [this] { return static_cast<double>(flows_.size()); });
    metrics_.gauge("upstreams", "upstreams that are known",
                   [this] { return static_cast<double>(view_.upstream_count()); });
    metrics_.gauge("upstreams_in_slow_start", "upstreams that have started or recovered",
                   [this] { return static_cast<double>(recoveries_.active_count()); });
    metrics_.gauge("peers_heard", "other hosts that are heard",
                   [this] { return static_cast<double>(peers_.alive_count()); });
    metrics_.gauge("upstreams_suspected", "upstreams that this host found failing",
                   [this]
                   { return static_cast<double>(health_.suspects(boot_time_now()).size()); });
    metrics_.gauge("log_lines_dropped", "log lines that nobody read in time",
                   [] { return static_cast<double>(log::dropped_lines()); });
    metrics_.gauge("log_lines_suppressed", "log lines above the limit of their event",
                   [] { return static_cast<double>(log::suppressed_lines()); });
}

http_response edge_host::handle_http(http_request const& call)
{
    time_point const now = boot_time_now();
    std::string const plain = "text/plain";
    if (call.method != "GET")
        return {http_not_found, plain, "no such call\n"};
    if (call.path == platform::readiness_path)
        return update_readiness(now) ? http_response{http_ok, plain, "ready\n"}
                                     : http_response{http_unavailable, plain, "not ready\n"};
    if (call.path == "/metrics")
        return {http_ok, plain, metrics_.render()};
    if (call.path == view_path && view_.loaded())
    {
        view_base const base = decode_view_query(call.query);
        auto transfer = transfers_.begin(view_.rows_since(base.as_of, base.config_version));
        if (!transfer)
            return {http_unavailable, plain, "busy\n"};
        return {http_ok, "application/json",
                encode_view(view_.changes_since(base.as_of, base.config_version, now)),
                std::move(transfer)};
    }
    return {http_not_found, plain, "no such page\n"};
}

bool edge_host::update_readiness(time_point now)
{
    bool const isolated = health_.isolated(now) && !peers_.has_contact(now);
    bool const is_ready = view_.may_serve(started_, now) && !draining_ && !isolated;
    if (was_ready_ != is_ready)
        log::info("host.ready", {{"ready", is_ready ? "yes" : "no"},
                                 {"loaded", view_.loaded() ? "yes" : "no"},
                                 {"leaving", draining_ ? "yes" : "no"},
                                 {"isolated", isolated ? "yes" : "no"},
                                 {"uptime_ms", std::to_string((now - started_) / 1ms)}});
    was_ready_ = is_ready;
    return is_ready;
}

void edge_host::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code e, int signal)
        {
            if (e)
                return;
            if (signal == SIGHUP)
                check_settings();
            else if (!draining_)
                drain();
            wait_for_signal();
        });
}

// Reports "not ready" at once and keeps forwarding until the platform's routers have moved the
// flows.
void edge_host::drain()
{
    draining_ = true;
    drain_started_ = boot_time_now();
    log::info("host.leaving", {{"flows", std::to_string(flows_.size())}});
    update_readiness(drain_started_);
    subscriptions_.push_back(timers_.subscribe(
        drain_poll_period,
        [this](time_point now)
        {
            duration const since = now - drain_started_;
            bool const quiet = since > min_drain_time && now - last_packet_ > drain_idle_time;
            if (!quiet && since < settings_.grace - log_flush_reserve)
                return;
            log::info("host.stopped", {{"quiet", quiet ? "yes" : "no"}});
            stopping_ = true;
            // Datagrams that have arrived are forwarded, not lost with the process.
            packet_socket_->drain();
            announce();
            log::flush();
            io_.stop();
        }));
}

void edge_host::check_settings()
{
    std::string text = file_contents(settings_file_);
    if (text.empty() || text == settings_text_)
        return;
    settings_text_ = std::move(text);
    reload(settings_text_);
}

// Applies the settings that can change at run time. Changed listen addresses need a restart.
void edge_host::reload(std::string const& text)
{
    findings problems;
    auto const fresh = parse_edge_settings(text, settings_file_, problems);
    for (finding const& f : problems)
        log::error("settings.refused", {{"finding", to_string(f)}});
    if (!fresh)
        return;
    bool const same_addresses = fresh->packets == settings_.packets &&
                                fresh->ready == settings_.ready && fresh->ip == settings_.ip;
    store_.set_server(fresh->store);
    settings_.store = fresh->store;
    settings_.grace = fresh->grace;
    for (std::uint32_t const ip : fresh->seeds)
        peers_.add({ip, ""}, boot_time_now());
    log::info("settings.reloaded",
              {{"store", to_string(fresh->store)},
               {"addresses", same_addresses ? "same" : "changed; restart required"}});
}

} // namespace chivelever
