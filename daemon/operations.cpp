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

// A change is usually in force on all hosts within one second; the response is delayed to report
// that.
constexpr auto progress_wait_limit = 1500ms;
constexpr auto progress_poll_period = 50ms;
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
            {"sheds", s.shed_attempts},
            {"time_outs", s.timeouts},
            {"queued", s.queued},
            {"outstanding", s.outstanding},
            {"flows", s.flows},
            {"limit", s.limit}};
}

} // namespace

operations::operations(daemon_context& context, packet_plane& packets, control_plane& control,
                       config_agent& config, store_agent& store, peer_client& client)
    : context_(context), packet_plane_(packets), control_plane_(control), config_agent_(config),
      store_agent_(store), peer_client_(client),
      api_handler_(backend(), context.settings.operator_token)
{
    context_.metric_registry.gauge("invariant_violations_total", "Invariants found violated.",
                                   [] { return static_cast<double>(invariants::violations()); });
}

api_backend operations::backend()
{
    api_backend b;
    b.status = [this] { return fleet_status(); };
    b.config = [this] { return config_agent_.log().current(); };
    b.changes = [this](revision since) { return config_agent_.log().changes_since(since); };
    b.timeline = [this](hybrid_time since, std::string const& subject)
    { return timeline(since, subject); };
    b.why = [this](std::string const& subject) { return why(subject); };
    b.submit = [this](proposed_change const& p)
    { return store_agent_.submit(p, in_force_everywhere()); };
    b.change_status = [this](std::string const& id) { return store_agent_.ask(id); };
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

// Readiness for the fabric, which sends packets to ready hosts only. A host is not ready until it
// has caught up with the newest revision announced by its peers (an older one may route to a zone
// that is out), while it is leaving, or while operators have taken its zone out.
bool operations::ready()
{
    routing_table_ptr const table = context_.table.get();
    if (!caught_up_after_start_)
    {
        auto const members = control_plane_.members();
        bool const behind = std::any_of(members.begin(), members.end(),
                                        [&](member const& m) { return m.config > table->rev(); });
        caught_up_after_start_ = table->rev().value > 0 && !behind;
    }
    return caught_up_after_start_ && !context_.leaving &&
           !table->zone_is_out(context_.settings.zone);
}

host_status operations::status()
{
    routing_table_ptr const table = context_.table.get();
    return {context_.self,
            context_.settings.zone,
            table->rev(),
            table->hosts().version,
            context_.leaving ? host_state::leaving : host_state::live,
            invariants::violations(),
            "{}",
            context_.clock.now(unix_now_ms())};
}

std::string operations::host_name(host_id id) const
{
    if (id == context_.self.host)
        return context_.settings.name;
    for (peer_settings const& p : context_.settings.peers)
        if (p.id == id)
            return p.name;
    return "host-" + std::to_string(id.value);
}

json::object operations::fleet_status()
{
    routing_table_ptr const table = context_.table.get();
    time_point const now = monotonic_now();
    json::array hosts;
    json::array degraded;
    for (member const& m : control_plane_.members())
    {
        bool const self = m.instance.host == context_.self.host;
        bool const alive = self || m.alive;
        hosts.push_back(json::object{{"name", host_name(m.instance.host)},
                                     {"id", m.instance.host.value},
                                     {"zone", m.zone.value},
                                     {"incarnation", m.instance.run.value},
                                     {"alive", alive},
                                     {"state", m.state == host_state::leaving ? "leaving" : "live"},
                                     {"revision", self ? table->rev().value : m.config.value}});
        if (!alive)
            degraded.push_back(
                json::object{{"what", "host " + host_name(m.instance.host) + " is not heard"},
                             {"since_s", seconds_since(m.last_progress, now)}});
    }
    if (auto const since = store_agent_.unreachable_since())
        degraded.push_back(json::object{{"what", "the store is unreachable; no change is accepted"},
                                        {"since_s", seconds_since(*since, now)}});
    json::array zones;
    for (zone_config const& z : table->config().zones)
        zones.push_back(json::object{{"name", z.name},
                                     {"state", name_of(z.state)},
                                     {"share", context_.ramp.get()->share(z.id, now)}});
    json::array pools;
    auto const held_pools = control_plane_.held_pools(now);
    for (auto const& [id, stats] : packet_plane_.pools())
    {
        json::object p = pool_json(stats);
        p["pool"] = control_plane_.pool_name(id);
        p["held"] = std::find(held_pools.begin(), held_pools.end(), id) != held_pools.end();
        pools.push_back(std::move(p));
    }
    json::array upstreams;
    for (upstream_config const& u : table->config().upstreams)
        upstreams.push_back(json::object{{"name", u.name},
                                         {"state", name_of(u.state)},
                                         {"address", to_string(u.address)},
                                         {"takes_new_work", table->takes_new_work(u)}});
    return {{"host", context_.settings.name},
            {"deployment", context_.settings.deployment},
            {"ready", ready()},
            {"uptime_s", seconds_since(context_.started, now)},
            {"revision", table->rev().value},
            {"host_list_version", table->hosts().version},
            {"violations", invariants::violations()},
            {"hosts", std::move(hosts)},
            {"zones", std::move(zones)},
            {"pools_here", std::move(pools)},
            {"upstreams", std::move(upstreams)},
            {"degraded", std::move(degraded)}};
}

// Collects the events of all reachable hosts, which are queried in parallel.
std::vector<event> operations::timeline(hybrid_time since, std::string const& subject)
{
    std::vector<std::future<std::optional<std::vector<event>>>> replies;
    for (member const& m : control_plane_.members())
    {
        auto const address = control_plane_.grpc_endpoint_of(m.instance.host);
        if (m.instance.host == context_.self.host || !m.alive || !address)
            continue;
        replies.push_back(std::async(std::launch::async, [this, since, subject, a = *address]
                                     { return peer_client_.timeline(a, since, subject); }));
    }
    std::vector<event> all = context_.timeline_events.select(since, subject);
    for (auto& f : replies)
        if (auto const events = f.get())
            all.insert(all.end(), events->begin(), events->end());
    std::sort(all.begin(), all.end());
    return all;
}

// Returns the setting overrides (exceptions) and the latest events of a subject, given by name:
// upstream/..., pool/..., host/..., flow/..., and for an upstream also its state. Upstreams and
// events are found by the part after the slash.
json::object operations::why(std::string const& subject)
{
    std::string const name = subject.substr(subject.find('/') + 1);
    json::object result{{"subject", subject}};
    routing_table_ptr const table = context_.table.get();
    for (upstream_config const& u : table->config().upstreams)
    {
        if (u.name != name)
            continue;
        zone_config const* const z = table->find(u.zone);
        result["upstream"] = json::object{
            {"state", name_of(u.state)},
            {"takes_new_work", table->takes_new_work(u)},
            {"rule", u.state != upstream_state::active ? "its state was set by an operator"
                     : table->zone_is_out(u.zone)      ? "its zone is out"
                     : table->takes_new_work(u)
                         ? "takes new work up to the limit set by the pool's lease holder"
                         : "the platform's list marks it as leaving"},
            {"pool", control_plane_.pool_name({u.service, u.zone})},
            {"zone", z == nullptr ? "" : z->name}};
    }
    json::array exceptions;
    for (exception_entry const& e : table->config().exceptions)
        if (e.scope == subject || e.scope.ends_with("/" + name))
            exceptions.push_back(json::object{
                {"scope", e.scope},
                {"key", std::string(fleet_setting_specs[static_cast<std::size_t>(e.key)].name)},
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

// Queries the revision of every listed host in parallel.
std::vector<host_progress> operations::query_progress()
{
    std::vector<std::future<host_progress>> replies;
    for (member const& m : control_plane_.members())
        replies.push_back(std::async(
            std::launch::async,
            [this, m]
            {
                host_progress p{host_name(m.instance.host), config_agent_.log().rev(), true};
                if (m.instance.host == context_.self.host)
                    return p;
                auto const address = control_plane_.grpc_endpoint_of(m.instance.host);
                auto const reply = address ? peer_client_.status(*address) : std::nullopt;
                p.responded = reply.has_value();
                p.rev = reply ? reply->rev : revision{};
                return p;
            }));
    std::vector<host_progress> all;
    all.reserve(replies.size());
    for (auto& f : replies)
        all.push_back(f.get());
    return all;
}

// Returns the progress of every listed host once all have the current revision or the wait has
// timed out.
std::vector<host_progress> operations::progress()
{
    revision const target = config_agent_.log().rev();
    auto const deadline = std::chrono::steady_clock::now() + progress_wait_limit;
    for (;;)
    {
        std::vector<host_progress> all = query_progress();
        bool const done =
            std::all_of(all.begin(), all.end(),
                        [&](host_progress const& p) { return p.responded && p.rev >= target; });
        if (done || std::chrono::steady_clock::now() >= deadline)
            return all;
        std::this_thread::sleep_for(progress_poll_period);
    }
}

// Returns the newest revision that every listed host has applied, or 0 if a host does not respond.
revision operations::in_force_everywhere()
{
    revision lowest = config_agent_.log().rev();
    for (host_progress const& p : query_progress())
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
        return {200, "text/plain", context_.metric_registry.render()};
    api_response response =
        api_handler_.handle({r.method, r.path, parse_query(r.query), r.body, r.token});
    return {response.status, std::move(response.content_type), std::move(response.body)};
}

} // namespace chivelever
