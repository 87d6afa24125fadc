// Processes the packets of callers: decoding, routing, forwarding, logging and metrics.
#include "edge/edge_host.hpp"

#include <array>
#include <charconv>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Connecting within the region takes at most two round trips of 3 ms and needs no free request
// slot.
constexpr duration probe_timeout = 60ms;

std::string to_text(flow_endpoints const& k)
{
    return to_string(k.caller) + ">" + to_string(k.destination);
}

std::string format_fixed(double share)
{
    std::array<char, 16> out{};
    auto const end =
        std::to_chars(out.data(), out.data() + out.size(), share, std::chars_format::fixed, 2).ptr;
    return {out.data(), end};
}

std::int64_t ms(duration d)
{
    return d / std::chrono::milliseconds(1);
}

std::string_view to_text(packet_action a)
{
    constexpr std::array<std::string_view, packet_action_count> names{"drop", "forward", "reset"};
    return names[static_cast<std::size_t>(a)];
}

// An upstream above its connection limit accepts and closes the connection. An attempt that fails
// also at the reference says nothing.
probe_result to_probe_result(connection_outcome upstream, connection_outcome reference)
{
    auto const answers = [](connection_outcome o)
    { return o == connection_outcome::established || o == connection_outcome::closed; };
    if (upstream == connection_outcome::closed)
        return probe_result::closed;
    if (answers(upstream))
        return probe_result::answered;
    bool const tried = upstream != connection_outcome::not_tried;
    return tried && answers(reference) ? probe_result::unanswered : probe_result::inconclusive;
}

} // namespace

void edge_host::on_packet(std::string_view bytes)
{
    time_point const now = boot_time_now();
    last_packet_ = now;
    auto const decoded = platform::decode_packet(bytes);
    if (decoded.fault != platform::packet_fault::none)
    {
        std::string const fault(platform::to_string(decoded.fault));
        metrics_.count("packets_refused_total", "packets that could not be decoded",
                       "reason=\"" + fault + "\"")++;
        log::warning("packet.refused",
                     {{"reason", fault}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    duration const waited = decoded.packet.syn ? packet_socket_->waited() : duration{};
    packet_decision const d = router_.handle({decoded.packet, bytes, waited}, now);
    execute(d, bytes, now);
    log_decision(d, bytes, now);
    schedule_flow_report();
    arm_retry_timer();
}

void edge_host::execute(packet_decision const& d, std::string_view packet, time_point)
{
    if (d.action == packet_action::forward)
    {
        static std::array<char, platform::upstream_prefix_bytes + platform::max_packet_bytes> out;
        std::size_t const n =
            platform::encode_for_upstream(packet, d.datagram_address, d.token, out);
        packet_socket_->send(d.to, {out.data(), n});
    }
    else if (d.action == packet_action::reset)
    {
        auto const reset = platform::encode_reset(d.flow, d.reset_sequence);
        packet_socket_->send({d.flow.caller.address, settings_.packets.port},
                             {reset.data(), reset.size()});
    }
}

// Caches the counters, to avoid a lookup by name for each packet.
metrics::counter& edge_host::packet_counter(packet_action action, packet_reason reason)
{
    metrics::counter*& counter =
        packet_counters_[static_cast<std::size_t>(action)][static_cast<std::size_t>(reason)];
    if (counter == nullptr)
        counter = &metrics_.count("packets_total", "packets of callers by decision",
                                  "action=\"" + std::string(to_text(action)) + "\",reason=\"" +
                                      std::string(to_string(reason)) + "\"");
    return *counter;
}

// Logs every opening packet, every request and every packet that was dropped or reset. Other
// forwarded packets are only counted.
void edge_host::log_decision(packet_decision const& d, std::string_view packet, time_point now)
{
    ++packet_counter(d.action, d.reason);
    if (d.newly_suspected)
        log_suspicion(d);
    if (d.seen.answer_time)
        metrics_.observe("answer_seconds", "from a request to the caller's first acknowledgement",
                         std::chrono::duration<double>(*d.seen.answer_time).count());
    if (d.seen.open_latency)
        metrics_.observe("opening_seconds", "from an opening to the caller's confirmation",
                         std::chrono::duration<double>(*d.seen.open_latency).count());
    std::string_view const request =
        d.seen.request ? platform::find_request_id(packet) : std::string_view{};
    bool const usual = d.action == packet_action::forward && !d.is_syn;
    if (usual && request.empty())
        return;
    if (d.is_syn)
        return log_opening(d, now);
    view_version const v = view_.version();
    known_upstream const* const u = view_.find(d.token);
    log::info(usual ? "request.forwarded" : "packet.decided",
              {{"flow", to_text(d.flow)},
               {"request", std::string(request)},
               {"action", std::string(to_text(d.action))},
               {"reason", std::string(to_string(d.reason))},
               {"upstream", u != nullptr ? u->entry.name : ""},
               {"offers", std::to_string(d.open_attempts)},
               {"refused_share", format_fixed(d.refused_share)},
               {"config", std::to_string(v.config_version)},
               {"as_of", std::to_string(v.as_of.revision)},
               {"era", std::to_string(v.as_of.era)},
               {"view_age_ms", std::to_string(ms(now - v.confirmed_at))}});
}

// The fields on admission are empty unless capacity_admission decided.
void edge_host::log_opening(packet_decision const& d, time_point now)
{
    if (d.admission)
        count_admission(d);
    auto const text = [&](std::string value) { return d.admission ? std::move(value) : ""; };
    admission_result const a = d.admission.value_or(admission_result{});
    view_version const v = view_.version();
    known_upstream const* const u = view_.find(d.token);
    log::info("flow.opening", {{"flow", to_text(d.flow)},
                               {"request", ""},
                               {"action", std::string(to_text(d.action))},
                               {"reason", std::string(to_string(d.reason))},
                               {"upstream", u != nullptr ? u->entry.name : ""},
                               {"offers", std::to_string(d.open_attempts)},
                               {"refused_share", format_fixed(d.refused_share)},
                               {"admission", text(std::string(to_string(a.reason)))},
                               {"pending", text(format_fixed(a.pending))},
                               {"limit", text(format_fixed(a.limit))},
                               {"report_age_ms", text(std::to_string(ms(a.age)))},
                               {"config", std::to_string(v.config_version)},
                               {"as_of", std::to_string(v.as_of.revision)},
                               {"era", std::to_string(v.as_of.era)},
                               {"view_age_ms", std::to_string(ms(now - v.confirmed_at))}});
}

void edge_host::count_admission(packet_decision const& d)
{
    route_entry const* const route = view_.route(d.flow.destination);
    if (route == nullptr)
        return;
    metrics_.count("admissions_total", "decisions of admission by capacity",
                   "service=\"" + placement_.pick_service(*route, d.flow) + "\",priority=\"" +
                       std::to_string(route->priority) + "\",outcome=\"" +
                       (d.admission->admitted ? "admitted" : "refused") + "\",reason=\"" +
                       std::string(to_string(d.admission->reason)) + "\"")++;
}

void edge_host::log_suspicion(packet_decision const& d)
{
    known_upstream const* const u = view_.find(d.suspect);
    metrics_.count("suspicions_total", "upstreams that became suspected")++;
    log::info("upstream.suspected",
              {{"upstream", u != nullptr ? u->entry.name : ""},
               {"flow", to_text(d.flow)},
               {"cause", d.is_syn ? "SYN unanswered" : "request retransmitted"}});
}

void edge_host::report_overload(time_point now)
{
    add_capacity_gauges();
    auto now_overloaded = overload_.overloaded();
    now_overloaded.merge(capacity_.overloaded(now));
    for (auto const& [service, share] : now_overloaded)
        if (!overloaded_.contains(service))
            log::warning("service.overloaded",
                         {{"service", service}, {"refused_share", format_fixed(share)}});
    for (auto const& [service, share] : overloaded_)
        if (!now_overloaded.contains(service))
            log::info("service.recovered", {{"service", service}});
    overloaded_ = std::move(now_overloaded);
}

// Gauges of the services to which admission by capacity applies, from when it first does.
void edge_host::add_capacity_gauges()
{
    for (std::string const& service : capacity_.services())
    {
        if (!services_with_gauges_.insert(service).second)
            continue;
        auto const add =
            [&](std::string const& name, std::string const& help, double capacity_status::*value)
        {
            metrics_.gauge(
                name, help,
                [this, service, value]
                { return capacity_.status(service, boot_time_now()).*value; },
                "service=\"" + service + "\"");
        };
        add("admission_pending", "unanswered requests of this host", &capacity_status::pending);
        add("admission_limit", "limit of the lowest priority in use", &capacity_status::limit);
        add("admission_demand_slots", "slots that the arrivals at this host need",
            &capacity_status::demand);
    }
}

void edge_host::start_probes()
{
    packet_socket_->drain();
    auto due = router_.probes_due(boot_time_now());
    if (!due.empty())
        spawn("probe", probe(std::move(due)));
}

// Connects to the suspected upstreams and to a working one for reference: if none of them answers,
// the fault may be on this host's side, and the result is inconclusive.
boost::asio::awaitable<void> edge_host::probe(std::vector<flow_token> upstreams)
{
    time_point const started = boot_time_now();
    known_upstream const* const reference =
        view_.find(router_.reference_upstream(upstreams, started));
    std::vector<flow_token> probed;
    std::vector<endpoint> addresses;
    for (flow_token const t : upstreams)
    {
        known_upstream const* const u = view_.find(t);
        if (u != nullptr && reference != nullptr)
        {
            probed.push_back(t);
            addresses.push_back(u->entry.address);
        }
        else
            router_.probed(t, probe_result::inconclusive, started, started);
    }
    if (probed.empty() || reference == nullptr)
        co_return;
    addresses.push_back(reference->entry.address);
    // Without a result, the upstreams would never be probed again.
    std::vector<connection_outcome> outcomes(addresses.size(), connection_outcome::not_tried);
    try
    {
        outcomes = co_await probe_connections(io_, addresses, probe_timeout);
    }
    catch (...)
    {
        record_failed_task("probe", std::current_exception());
    }
    // Datagrams that arrived during the probe may answer it.
    packet_socket_->drain();
    heartbeat_socket_->drain();
    std::vector<flow_token> failed;
    for (std::size_t i = 0; i < probed.size(); ++i)
    {
        probe_result const result = to_probe_result(outcomes[i], outcomes.back());
        report_probe(probed[i], addresses[i], outcomes[i], result, started);
        if (result == probe_result::unanswered)
            failed.push_back(probed[i]);
    }
    if (!failed.empty())
        ask_zone(failed);
}

void edge_host::report_probe(flow_token upstream, endpoint address, connection_outcome outcome,
                             probe_result result, time_point started)
{
    time_point const now = boot_time_now();
    constexpr std::array<std::string_view, 4> names{"answered", "unanswered", "inconclusive",
                                                    "closed"};
    std::string const connection(to_string(outcome));
    metrics_.count("probes_total", "connection attempts to doubtful upstreams",
                   "result=\"" + std::string(names[static_cast<std::size_t>(result)]) +
                       "\",connection=\"" + connection + "\"")++;
    known_upstream const* const u = view_.find(upstream);
    auto const resets = router_.probed(upstream, result, started, now);
    if (result == probe_result::answered)
        start_recoveries({}, now);
    if (!resets.empty())
        log::info("upstream.unreachable", {{"upstream", u != nullptr ? u->entry.name : ""},
                                           {"connection", connection},
                                           {"address", to_string(address)},
                                           {"flows_reset", std::to_string(resets.size())}});
    for (packet_decision const& d : resets)
    {
        execute(d, {}, now);
        log_decision(d, {}, now);
    }
}

// Reads all queued datagrams first, so that a late event loop does not treat an answer that has
// already arrived as missing.
void edge_host::send_due_retries()
{
    packet_socket_->drain();
    time_point const now = boot_time_now();
    for (syn_retry const& r : router_.retries_due(now))
    {
        execute(r.decision, r.packet, now);
        log_decision(r.decision, r.packet, now);
    }
    schedule_flow_report();
    arm_retry_timer();
}

void edge_host::arm_retry_timer()
{
    time_point const due = router_.next_retry_at();
    if (due == time_point{} || due == retry_armed_for_)
        return;
    retry_armed_for_ = due;
    retry_timer_.expires_after(std::max(duration{}, due - boot_time_now()));
    retry_timer_.async_wait(
        [this](boost::system::error_code e)
        {
            if (e)
                return;
            retry_armed_for_ = {};
            send_due_retries();
        });
}

} // namespace chivelever
