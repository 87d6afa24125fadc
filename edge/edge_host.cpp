#include "edge/edge_host.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

// Often enough that three lost beats are noticed within a second.
constexpr duration beat_period = 200ms;
constexpr duration probe_period = 20ms; // how late a probe may start
constexpr duration expire_period = 500ms;
constexpr duration log_flush_period = 100ms;
// The settings file may change without a signal.
constexpr duration settings_period = 1s;
// Routers take a host out of rotation after two missed probes, half a second apart.
constexpr duration leave_at_least = 1500ms;
// The host has left when no packet came for this long.
constexpr duration leave_quiet = 700ms;
// Kept back from the time until the process is killed, for the last lines of the log.
constexpr duration leave_reserve = 1s;

std::uint64_t seed_of(edge_settings const& s)
{
    return hash_pair(s.ip, static_cast<std::uint64_t>(boot_time_now().time_since_epoch().count()));
}

std::string text_of_file(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

edge_host::edge_host(asio::io_context& io, edge_settings settings, std::string settings_file,
                     std::uint16_t metrics_port)
    : io_(io), settings_(std::move(settings)), settings_file_(std::move(settings_file)),
      settings_text_(text_of_file(settings_file_)), metrics_port_(metrics_port),
      started_(boot_time_now()), timers_(io),
      placement_({settings_.zone, settings_.cold_overage, settings_.cold_slack},
                 seed_of(settings_)),
      peers_({settings_.ip, settings_.zone}, seed_of(settings_) + 1),
      directory_(seed_of(settings_) + 2),
      router_(view_, flows_, health_, placement_, overload_, fleet_), store_(io, settings_.store),
      signals_(io, SIGTERM, SIGINT, SIGHUP), offer_timer_(io)
{
    fleet_.other_load = [this](flow_token t) { return peers_.other_load(t, boot_time_now()); };
    fleet_.zone_reachable = [this](std::string const& z)
    { return peers_.zone_reachable(z, boot_time_now()); };
}

void edge_host::start()
{
    auto const handler = [this](http_request const& call) { return answer(call); };
    packets_ = std::make_unique<loop_udp>(
        io_, settings_.packets, [this](std::string_view bytes, endpoint) { on_packet(bytes); });
    beats_ = std::make_unique<loop_udp>(io_, endpoint{settings_.ip, settings_.peer_port},
                                        [this](std::string_view bytes, endpoint from)
                                        { on_beat(bytes, from); });
    listeners_.push_back(std::make_unique<http_listener>(io_, settings_.ready, handler));
    listeners_.push_back(
        std::make_unique<http_listener>(io_, endpoint{settings_.ip, settings_.peer_port}, handler));
    if (metrics_port_ != 0)
        listeners_.push_back(
            std::make_unique<http_listener>(io_, endpoint{settings_.ip, metrics_port_}, handler));
    for (std::uint32_t const seed : settings_.seeds)
        peers_.add({seed, ""}, started_);
    add_gauges();
    start_timers();
    wait_for_signal();
    log::info("host.started", {{"zone", settings_.zone},
                               {"packets", to_string(settings_.packets)},
                               {"ready", to_string(settings_.ready)},
                               {"peers", std::to_string(settings_.peer_port)},
                               {"store", to_string(settings_.store)}});
    send_beats(true);
    asio::co_spawn(io_, read_store_forever(), asio::detached);
    asio::co_spawn(io_, keep_directory(), asio::detached);
}

void edge_host::start_timers()
{
    auto const each = [this](duration period, std::function<void(time_point)> f)
    { subscriptions_.push_back(timers_.subscribe(period, std::move(f))); };
    each(beat_period,
         [this](time_point now)
         {
             send_beats(false);
             if (!view_.loaded())
                 asio::co_spawn(io_, fetch_view(), asio::detached);
             fleet_.hosts_in_zone = peers_.hosts_in_zone(now);
             ready(now);
         });
    each(expire_period,
         [this](time_point now)
         {
             router_.expire(now);
             peers_.expire(now);
             report_overload();
         });
    each(probe_period, [this](time_point) { start_probes(); });
    each(log_flush_period, [](time_point) { log::flush(); });
    each(settings_period, [this](time_point) { check_settings(); });
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
    metrics_.gauge("flows", "flows in the table",
                   [this] { return static_cast<double>(flows_.size()); });
    metrics_.gauge("upstreams", "upstreams that are known",
                   [this] { return static_cast<double>(view_.upstream_count()); });
    metrics_.gauge("peers_heard", "other hosts that are heard",
                   [this] { return static_cast<double>(peers_.heard(boot_time_now())); });
    metrics_.gauge("log_lines_dropped", "log lines that nobody read in time",
                   [] { return static_cast<double>(log::dropped_lines()); });
    metrics_.gauge("log_lines_suppressed", "log lines above the limit of their event",
                   [] { return static_cast<double>(log::suppressed_lines()); });
}

http_response edge_host::answer(http_request const& call)
{
    time_point const now = boot_time_now();
    std::string const plain = "text/plain";
    if (call.method != "GET")
        return {http_not_found, plain, "no such call\n"};
    if (call.path == platform::ready_target)
        return ready(now) ? http_response{http_ok, plain, "ready\n"}
                          : http_response{http_unavailable, plain, "not ready\n"};
    if (call.path == "/metrics")
        return {http_ok, plain, metrics_.render()};
    if (call.path == view_path && view_.loaded())
    {
        view_base const base = decode_view_query(call.query);
        return {http_ok, "application/json",
                encode_view(view_.changes_since(base.as_of, base.config_version, now))};
    }
    return {http_not_found, plain, "no such page\n"};
}

bool edge_host::ready(time_point now)
{
    bool const isolated = health_.isolated(now) && peers_.heard(now) == 0;
    bool const is = view_.loaded() && !leaving_ && !isolated;
    if (was_ready_ != is)
        log::info("host.ready", {{"ready", is ? "yes" : "no"},
                                 {"loaded", view_.loaded() ? "yes" : "no"},
                                 {"leaving", leaving_ ? "yes" : "no"},
                                 {"isolated", isolated ? "yes" : "no"},
                                 {"uptime_ms", std::to_string((now - started_) / 1ms)}});
    was_ready_ = is;
    return is;
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
            else if (!leaving_)
                leave();
            wait_for_signal();
        });
}

// Not ready at once, then forwarding goes on until the routers have moved the flows.
void edge_host::leave()
{
    leaving_ = true;
    leaving_since_ = boot_time_now();
    log::info("host.leaving", {{"flows", std::to_string(flows_.size())}});
    ready(leaving_since_);
    subscriptions_.push_back(timers_.subscribe(
        log_flush_period,
        [this](time_point now)
        {
            duration const since = now - leaving_since_;
            bool const quiet = since > leave_at_least && now - last_packet_ > leave_quiet;
            if (!quiet && since < settings_.grace - leave_reserve)
                return;
            log::info("host.stopped", {{"quiet", quiet ? "yes" : "no"}});
            stopping_ = true;
            send_beats(true);
            log::flush();
            io_.stop();
        }));
}

void edge_host::check_settings()
{
    std::string text = text_of_file(settings_file_);
    if (text.empty() || text == settings_text_)
        return;
    settings_text_ = std::move(text);
    reload(settings_text_);
}

// Takes over what can change in a running process. Addresses to listen on stay until a restart.
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
    for (std::uint32_t const seed : fresh->seeds)
        peers_.add({seed, ""}, boot_time_now());
    log::info("settings.reloaded", {{"store", to_string(fresh->store)},
                                    {"addresses", same_addresses ? "same" : "after a restart"}});
}

} // namespace chivelever
