#include "daemon/store_agent.hpp"

#include <chrono>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Interval at which a host checks whether it has become a watcher.
constexpr duration watcher_check_period = 200ms;
constexpr duration host_list_period = 2s;
// Maximum time to wait for a newer revision known to another host before a change is submitted.
constexpr duration catch_up_limit = 600ms;
constexpr duration catch_up_poll_period = 20ms;
constexpr char const* host_list_key = "hosts";

std::variant<http_store, memory_store> make_store(host_settings const& s)
{
    if (s.in_process)
        return std::variant<http_store, memory_store>(std::in_place_type<memory_store>);
    return std::variant<http_store, memory_store>(std::in_place_type<http_store>, s.store);
}

} // namespace

daemon_store::daemon_store(host_settings const& settings) : store_(make_store(settings)) {}

store_value daemon_store::get(std::string const& key)
{
    return std::visit([&](auto& s) { return s.get(key); }, store_);
}

store_value daemon_store::compare_and_swap(std::string const& key, std::string const& value,
                                           std::uint64_t expected)
{
    return std::visit([&](auto& s) { return s.compare_and_swap(key, value, expected); }, store_);
}

store_value daemon_store::watch(std::string const& key, std::uint64_t index, duration wait)
{
    return std::visit([&](auto& s) { return s.watch(key, index, wait); }, store_);
}

std::uint64_t daemon_store::calls() const
{
    return std::visit([](auto const& s) { return s.calls(); }, store_);
}

void daemon_store::cancel()
{
    std::visit([](auto& s) { s.cancel(); }, store_);
}

store_agent::store_agent(daemon_context& context, control_plane& control, config_agent& config)
    : context_(context), control_plane_(control), config_agent_(config), store_(context.settings),
      submitter_(store_, config.log(), json_store_codec(), {context.settings.deployment}),
      watcher_(store_, config.log(), json_store_codec(), {context.settings.deployment}),
      random_(std::random_device{}())
{
    context.metric_registry.gauge("store_calls_total", "Calls to the platform's store.",
                                  [this] { return static_cast<double>(store_.calls()); });
}

store_agent::~store_agent()
{
    stop();
}

void store_agent::start()
{
    if (context_.settings.in_process)
        log::warning(
            "store.in_process",
            {{"note",
              "the configuration is kept in memory only and is lost when this process exits"}});
    watch_thread_ = std::thread([this] { keep_running("store watch", &store_agent::watch_store); });
    host_list_thread_ =
        std::thread([this] { keep_running("host list", &store_agent::poll_host_list); });
}

void store_agent::keep_running(std::string const& name, void (store_agent::*loop)())
{
    for (bool ended = false; !ended;)
    {
        try
        {
            (this->*loop)();
            ended = true;
        }
        catch (...)
        {
            log_failed_task(name, std::current_exception());
            sleep(watcher_check_period);
        }
    }
}

void store_agent::stop()
{
    {
        std::lock_guard const lock(stop_mutex_);
        stopping_ = true;
    }
    stop_condition_.notify_all();
    store_.cancel();
    if (watch_thread_.joinable())
        watch_thread_.join();
    if (host_list_thread_.joinable())
        host_list_thread_.join();
}

void store_agent::sleep(duration d)
{
    std::unique_lock lock(stop_mutex_);
    stop_condition_.wait_for(lock, d, [this] { return stopping_; });
}

void store_agent::watch_store()
{
    for (;;)
    {
        {
            std::lock_guard const lock(stop_mutex_);
            if (stopping_)
                return;
        }
        if (!control_plane_.is_watcher())
        {
            unreachable_since_ = 0;
            sleep(watcher_check_period);
            continue;
        }
        watch_result const r = watcher_.step(random_);
        report_watch_result(r);
        if (r.pause.count() > 0)
            sleep(r.pause);
    }
}

void store_agent::report_watch_result(watch_result const& r)
{
    if (r.applied > 0 || config_agent_.log().rev() > context_.table.get()->rev())
        config_agent_.publish();
    if (r.repaired > 0)
    {
        context_.record("store.repaired", "store", std::to_string(r.repaired) + " changes");
        log::warning("store.repaired", {{"changes", std::to_string(r.repaired)}});
    }
    for (finding const& f : r.problems)
        log::error("store.unusable", {{"finding", to_string(f)}});
    if (r.reachable)
    {
        if (unreachable_since_.exchange(0) != 0)
        {
            context_.record("store.reachable", "store", "");
            log::info("store.reachable");
        }
    }
    else if (unreachable_since_ == 0)
    {
        unreachable_since_ = monotonic_now().time_since_epoch().count();
        context_.record("store.unreachable", "store", "");
        log::warning("store.unreachable");
    }
}

void store_agent::poll_host_list()
{
    jitter_backoff backoff;
    std::mt19937_64 random(std::random_device{}());
    duration pause = watcher_check_period;
    for (;;)
    {
        sleep(pause);
        {
            std::lock_guard const lock(stop_mutex_);
            if (stopping_)
                return;
        }
        pause = watcher_check_period;
        if (!control_plane_.is_watcher())
            continue;
        store_value const v = store_.get(host_list_key);
        if (v.status == store_status::done)
            config_agent_.apply_host_list(v.value);
        bool const failed = v.status == store_status::unreachable;
        if (!failed)
            backoff.reset();
        pause = failed ? std::max(backoff.next(random()), watcher_check_period) : host_list_period;
    }
}

submit_result store_agent::submit(proposed_change const& proposal, revision in_force_everywhere)
{
    submit_options options;
    options.in_force_everywhere = in_force_everywhere;
    options.base = proposal.base;
    for (member const& m : control_plane_.members())
        options.highest_seen = std::max(options.highest_seen, m.config);
    // A conflicting change may be known from a heartbeat but not yet pulled. Without it the
    // response could only ask to retry, and not name the change that won the race.
    for (duration waited{};
         waited < catch_up_limit && options.highest_seen > config_agent_.log().rev();
         waited += catch_up_poll_period)
    {
        config_agent_.pull();
        sleep(catch_up_poll_period);
    }
    submit_result result = submitter_.submit(proposal.change, options);
    config_agent_.publish();
    context_.record("change.submitted", "change/" + proposal.change.change_id, result.message);
    log::info("change.submitted", {{"change", proposal.change.change_id},
                                   {"author", proposal.change.author},
                                   {"result", result.message}});
    return result;
}

submit_result store_agent::ask(std::string const& change_id)
{
    submit_result result = submitter_.query_outcome(change_id);
    config_agent_.publish();
    return result;
}

std::optional<time_point> store_agent::unreachable_since() const
{
    std::int64_t const since = unreachable_since_;
    if (since == 0)
        return {};
    return time_point{duration{since}};
}

} // namespace chivelever
