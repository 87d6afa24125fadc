#include "daemon/operations.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <chrono>
#include <future>
#include <thread>

namespace chivelever
{

namespace json = boost::json;

namespace
{

using namespace std::chrono_literals;

// A change is usually in force everywhere within a second; the answer waits a little for that.
constexpr auto progress_wait = 1500ms;
constexpr auto progress_poll = 50ms;
constexpr std::size_t max_why_events = 50;

double seconds_since(time_point t, time_point now)
{
    return std::chrono::duration<double>(now - t).count();
}

json::object pool_json(pool_stats const& s)
{
    return {{"opened", s.opened},
            {"offered", s.offered},
            {"answered", s.answered},
            {"not_run", s.not_run},
            {"outcome_unknown", s.outcome_unknown},
            {"retries", s.retries},
            {"sheds", s.sheds},
            {"time_outs", s.time_outs},
            {"queued", s.queued},
            {"outstanding", s.outstanding},
            {"flows", s.flows},
            {"limit", s.limit}};
}

} // namespace

operations::operations(context& shared, packet_plane& packets, control_plane& control,
                       config_agent& config, store_agent& store, peer_client& calls)
    : shared_(shared), packets_(packets), control_(control), config_(config), store_(store),
      calls_(calls), api_(backend(), shared.settings.operator_token)
{
    shared_.counters.gauge("invariant_violations_total", "Invariants found violated.",
                           [] { return static_cast<double>(invariants::violations()); });
}

api_backend operations::backend()
{
    api_backend b;
    b.status = [this] { return fleet_status(); };
    b.config = [this] { return config_.log().current(); };
    b.changes = [this](revision since) { return config_.log().changes_since(since); };
    b.timeline = [this](hybrid_time since, std::string const& subject)
    { return timeline(since, subject); };
    b.why = [this](std::string const& subject) { return why(subject); };
    b.submit = [this](proposed_change const& p) { return store_.submit(p, in_force_everywhere()); };
    b.ask = [this](std::string const& id) { return store_.ask(id); };
    b.progress = [this] { return progress(); };
    b.in_force_everywhere = [this] { return in_force_everywhere(); };
    b.set_log_level = [](std::string const& name)
    {
        log::severity s{};
        if (!log::parse_severity(name, s))
            return false;
        log::set_severity(s);
        return true;
    };
    return b;
}

// The fabric hands packets to ready hosts only: not before this host has caught up with the newest
// revision that it has heard of (an older one may name a zone that is out), not while it is
// leaving, and not while operators have its zone out.
bool operations::ready()
{
    table_ptr const table = shared_.table.get();
    if (!caught_up_)
    {
        auto const members = control_.members();
        bool const behind = std::any_of(members.begin(), members.end(),
                                        [&](member const& m) { return m.config > table->rev(); });
        caught_up_ = table->rev().value > 0 && !behind;
    }
    return caught_up_ && !shared_.leaving && !table->zone_is_out(shared_.settings.zone);
}

host_status operations::status()
{
    table_ptr const table = shared_.table.get();
    return {shared_.self,
            shared_.settings.zone,
            table->rev(),
            table->hosts().version,
            shared_.leaving ? host_state::leaving : host_state::live,
            invariants::violations(),
            "{}",
            shared_.clock.now(unix_now_ms())};
}

std::string operations::host_name(host_id id) const
{
    if (id == shared_.self.host)
        return shared_.settings.name;
    for (peer_settings const& p : shared_.settings.peers)
        if (p.id == id)
            return p.name;
    return "host-" + std::to_string(id.value);
}

json::object operations::fleet_status()
{
    table_ptr const table = shared_.table.get();
    time_point const now = monotonic_now();
    json::array hosts;
    json::array degraded;
    for (member const& m : control_.members())
    {
        bool const self = m.who.host == shared_.self.host;
        bool const alive = self || m.alive;
        hosts.push_back(json::object{{"name", host_name(m.who.host)},
                                     {"id", m.who.host.value},
                                     {"zone", m.zone.value},
                                     {"incarnation", m.who.run.value},
                                     {"alive", alive},
                                     {"state", m.state == host_state::leaving ? "leaving" : "live"},
                                     {"revision", self ? table->rev().value : m.config.value}});
        if (!alive)
            degraded.push_back(
                json::object{{"what", "host " + host_name(m.who.host) + " is not heard"},
                             {"since_s", seconds_since(m.last_progress, now)}});
    }
    if (auto const since = store_.unreachable_since())
        degraded.push_back(json::object{{"what", "the store is unreachable; no change is accepted"},
                                        {"since_s", seconds_since(*since, now)}});
    json::array zones;
    for (zone_config const& z : table->config().zones)
        zones.push_back(json::object{{"name", z.name},
                                     {"state", name_of(z.state)},
                                     {"share", shared_.ramp.get()->share(z.id, now)}});
    json::array pools;
    auto const held = control_.held(now);
    for (auto const& [id, stats] : packets_.pools())
    {
        json::object p = pool_json(stats);
        p["pool"] = control_.pool_name(id);
        p["held"] = std::find(held.begin(), held.end(), id) != held.end();
        pools.push_back(std::move(p));
    }
    json::array upstreams;
    for (upstream_config const& u : table->config().upstreams)
        upstreams.push_back(json::object{{"name", u.name},
                                         {"state", name_of(u.state)},
                                         {"address", to_string(u.address)},
                                         {"takes_new_work", table->takes_new_work(u)}});
    return {{"host", shared_.settings.name},
            {"deployment", shared_.settings.deployment},
            {"ready", ready()},
            {"uptime_s", seconds_since(shared_.started, now)},
            {"revision", table->rev().value},
            {"host_list_version", table->hosts().version},
            {"violations", invariants::violations()},
            {"hosts", std::move(hosts)},
            {"zones", std::move(zones)},
            {"pools_here", std::move(pools)},
            {"upstreams", std::move(upstreams)},
            {"degraded", std::move(degraded)}};
}

// The events of every host that answers, asked at the same time.
std::vector<event> operations::timeline(hybrid_time since, std::string const& subject)
{
    std::vector<std::future<std::optional<std::vector<event>>>> asked;
    for (member const& m : control_.members())
    {
        auto const address = control_.grpc_of(m.who.host);
        if (m.who.host == shared_.self.host || !m.alive || !address)
            continue;
        asked.push_back(std::async(std::launch::async, [this, since, subject, a = *address]
                                   { return calls_.timeline(a, since, subject); }));
    }
    std::vector<event> all = shared_.ring.select(since, subject);
    for (auto& f : asked)
        if (auto const events = f.get())
            all.insert(all.end(), events->begin(), events->end());
    std::sort(all.begin(), all.end());
    return all;
}

// The state and the latest events that concern the subject, by name: pool/..., host/..., flow/...
json::object operations::why(std::string const& subject)
{
    std::string const name = subject.substr(subject.find('/') + 1);
    json::object result{{"subject", subject}};
    table_ptr const table = shared_.table.get();
    for (upstream_config const& u : table->config().upstreams)
    {
        if (u.name != name)
            continue;
        zone_config const* const z = table->find(u.zone);
        result["upstream"] =
            json::object{{"state", name_of(u.state)},
                         {"takes_new_work", table->takes_new_work(u)},
                         {"rule", u.state != upstream_state::active ? "operators set its state"
                                  : table->zone_is_out(u.zone)      ? "its zone is out"
                                  : table->takes_new_work(u)
                                      ? "takes new work up to the limit of its pool's holder"
                                      : "the platform's list says that it is leaving"},
                         {"pool", control_.pool_name({u.service, u.zone})},
                         {"zone", z == nullptr ? "" : z->name}};
    }
    json::array exceptions;
    for (exception_entry const& e : table->config().exceptions)
        if (e.scope == subject || e.scope.ends_with("/" + name))
            exceptions.push_back(json::object{
                {"scope", e.scope},
                {"key", std::string(setting_keys[static_cast<std::size_t>(e.key)].name)},
                {"value", e.value},
                {"reason", e.reason},
                {"author", e.author}});
    result["exceptions"] = std::move(exceptions);
    std::vector<event> const events = timeline(0, name);
    json::array list;
    std::size_t const first = events.size() > max_why_events ? events.size() - max_why_events : 0;
    for (std::size_t i = first; i < events.size(); ++i)
        list.push_back(to_json(events[i]));
    result["events"] = std::move(list);
    return result;
}

// Asks every listed host for its revision, all at the same time.
std::vector<host_progress> operations::ask_progress()
{
    std::vector<std::future<host_progress>> asked;
    for (member const& m : control_.members())
        asked.push_back(
            std::async(std::launch::async,
                       [this, m]
                       {
                           host_progress p{host_name(m.who.host), config_.log().rev(), true};
                           if (m.who.host == shared_.self.host)
                               return p;
                           auto const address = control_.grpc_of(m.who.host);
                           auto const answer = address ? calls_.status(*address) : std::nullopt;
                           p.reached = answer.has_value();
                           p.rev = answer ? answer->rev : revision{};
                           return p;
                       }));
    std::vector<host_progress> all;
    all.reserve(asked.size());
    for (auto& f : asked)
        all.push_back(f.get());
    return all;
}

// How far every listed host is, once all have the present revision or the wait is over.
std::vector<host_progress> operations::progress()
{
    revision const wanted = config_.log().rev();
    auto const until = std::chrono::steady_clock::now() + progress_wait;
    for (;;)
    {
        std::vector<host_progress> all = ask_progress();
        bool const done =
            std::all_of(all.begin(), all.end(),
                        [&](host_progress const& p) { return p.reached && p.rev >= wanted; });
        if (done || std::chrono::steady_clock::now() >= until)
            return all;
        std::this_thread::sleep_for(progress_poll);
    }
}

// The revision that every listed host has applied; 0 if one of them does not answer.
revision operations::in_force_everywhere()
{
    revision lowest = config_.log().rev();
    for (host_progress const& p : ask_progress())
        lowest = std::min(lowest, p.rev);
    return lowest;
}

http_response operations::handle(http_request const& r)
{
    if (r.path == "/healthz")
        return {200, "text/plain", "ok\n"};
    if (r.path == "/readyz")
        return ready() ? http_response{200, "text/plain", "ready\n"}
                       : http_response{503, "text/plain", "not ready\n"};
    if (r.path == "/metrics")
        return {200, "text/plain", shared_.counters.render()};
    api_response answer = api_.handle({r.method, r.path, parse_query(r.query), r.body, r.token});
    return {answer.status, std::move(answer.content_type), std::move(answer.body)};
}

} // namespace chivelever
