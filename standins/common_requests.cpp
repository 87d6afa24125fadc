#include "standins/common_requests.hpp"

#include "standins/common_payload.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <algorithm>

namespace chivelever::standins
{

namespace acc = boost::accumulators;

namespace
{

constexpr auto tick_interval = milliseconds(1);
constexpr auto retransmit_interval = milliseconds(200);
constexpr auto flow_lifetime = std::chrono::seconds(20);
constexpr auto open_timeout = std::chrono::seconds(5);
constexpr auto repeat_delay = milliseconds(20);
// Time after the deadline during which a caller still retransmits a request to learn its outcome.
constexpr auto late_answer_timeout = milliseconds(1500);

} // namespace

// Keeps every sample for exact quantiles: the P-square estimators of Boost.Accumulators reported a
// p99 above the p99.9 after a burst at the start.
struct request_load::latency
{
    using sample_set = acc::accumulator_set<
        double, acc::stats<acc::tag::tail_quantile<acc::right>, acc::tag::mean, acc::tag::max>>;

    explicit latency(std::uint64_t count)
        : ms(acc::tag::tail<acc::right>::cache_size = static_cast<std::size_t>(count) + 1)
    {
    }
    sample_set ms;
};

request_load::request_load(caller_port& port, request_settings settings, std::uint64_t seed)
    : port_(port), settings_(std::move(settings)), random_(seed),
      latency_(std::make_shared<latency>(settings_.count))
{
    for (std::size_t i = 0; i < settings_.flows; ++i)
        for (service_id const service : settings_.services)
            flows_.push_back({.service = service, .socket = port_.next_socket()});
}

void request_load::start()
{
    for (std::size_t i = 0; i < flows_.size(); ++i)
        open_flow(i);
    started_at_ = steady::now();
    if (settings_.count > 0)
        tick();
}

void request_load::open_flow(std::size_t index)
{
    request_flow& f = flows_[index];
    f.open_attempt = true;
    port_.open(f.service, flow_kind::request, f.socket, open_timeout,
               [this, index](std::string const& id, packet_status)
               {
                   request_flow& flow = flows_[index];
                   flow.open_attempt = false;
                   if (id.empty())
                   {
                       ++counts_["flow_opens_failed"];
                       return open_flow(index);
                   }
                   if (flow.id.empty())
                       ++open_flows_;
                   else
                       port_.close(flow.socket, flow.service, flow_kind::request, flow.id);
                   port_.forget_flow(flow.id);
                   flow.id = id;
                   port_.on_flow(id, [this, index, id](packet_view const& p)
                                 { on_flow_packet(index, id, p); });
                   flow.opened_at = steady::now();
                   ++counts_["flows_opened"];
               });
}

// An executor that shuts down tells its callers to open another flow.
void request_load::on_flow_packet(std::size_t index, std::string const& id, packet_view const& p)
{
    if (p.kind != packet_kind::given_up)
        return;
    ++counts_["flows_moved"];
    renew_flow(index, id);
}

// Replaces the flow with this id after it became unusable.
void request_load::renew_flow(std::size_t index, std::string const& old_id)
{
    request_flow& f = flows_[index];
    if (f.id != old_id || f.open_attempt)
        return;
    f.id.clear();
    --open_flows_;
    open_flow(index);
}

void request_load::tick()
{
    auto const elapsed = std::chrono::duration<double>(steady::now() - started_at_).count();
    auto const due =
        std::min(settings_.count, static_cast<std::uint64_t>(elapsed * settings_.rate));
    while (started_ < due)
        start_request();
    if (started_ < settings_.count)
        port_.timers().after(tick_interval, [this] { tick(); });
}

void request_load::start_request()
{
    auto const r = std::make_shared<request>();
    ++started_;
    ++outstanding_;
    r->operation_id = port_.next_id();
    r->flow = next_flow_++ % flows_.size();
    r->idempotent = std::bernoulli_distribution(settings_.idempotent)(random_);
    r->payload = request_payload(flows_[r->flow].service, r->operation_id, settings_.filler_bytes);
    r->started = steady::now();
    r->deadline = r->started + milliseconds(settings_.deadline_ms);
    if (std::bernoulli_distribution(settings_.cancelled)(random_))
        port_.timers().after(milliseconds(settings_.deadline_ms / 4),
                             [this, r] { send_cancel(r); });
    assign(r);
}

// Assigns the request to an open flow of its service, or retries later.
void request_load::assign(request_ptr const& r)
{
    auto const now = steady::now();
    if (now >= r->deadline)
        return finish(r, "refused");
    service_id const service = flows_[r->flow].service;
    for (std::size_t i = 0; i < flows_.size(); ++i)
    {
        std::size_t const index = (r->flow + i) % flows_.size();
        request_flow& f = flows_[index];
        if (f.service != service || f.id.empty())
            continue;
        if (now - f.opened_at > flow_lifetime && !f.open_attempt)
            open_flow(index); // the old id stays in use until the new flow is open
        r->flow = index;
        r->flow_id = f.id;
        r->id = port_.next_id();
        port_.on_request(r->id, [this, r](packet_view const& p) { on_answer(r, p); });
        return transmit(r);
    }
    ++counts_["waits_for_flow"];
    r->retransmit = port_.timers().after(repeat_delay, [this, r] { assign(r); });
}

void request_load::transmit(request_ptr const& r)
{
    auto const now = steady::now();
    if (now > r->deadline + late_answer_timeout)
        return finish(r, "silent");
    if (r->sent)
        ++counts_["retransmitted"];
    r->sent = true;
    auto const time_left = std::chrono::duration_cast<milliseconds>(r->deadline - now).count();
    packet_view p;
    p.kind = packet_kind::request;
    p.flow = flow_kind::request;
    p.service = flows_[r->flow].service;
    p.flow_id = r->flow_id;
    p.request = {r->id};
    p.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(time_left, 1));
    p.idempotent = r->idempotent;
    p.payload = r->payload;
    port_.send(flows_[r->flow].socket, p);
    r->retransmit = port_.timers().after(retransmit_interval, [this, r] { transmit(r); });
}

void request_load::send_cancel(request_ptr const& r)
{
    if (r->id == 0)
        return;
    ++counts_["cancels_sent"];
    packet_view p;
    p.kind = packet_kind::cancel;
    p.flow = flow_kind::request;
    p.service = flows_[r->flow].service;
    p.flow_id = r->flow_id;
    p.request = {r->id};
    port_.send(flows_[r->flow].socket, p);
}

void request_load::on_answer(request_ptr const& r, packet_view const& p)
{
    bool const given_up = p.kind == packet_kind::given_up;
    if (!given_up && p.kind != packet_kind::answer && p.kind != packet_kind::refused)
        return;
    ++statuses_[std::string(given_up ? "given_up_" : "") + std::string(to_text(p.status))];
    if (given_up)
    {
        renew_flow(r->flow, r->flow_id);
        return r->idempotent ? repeat(r, "refused") : finish(r, "unknown");
    }
    switch (p.status)
    {
    case packet_status::ok:
        return on_ok(r, p);
    case packet_status::not_run_moved:
    case packet_status::not_run_no_upstream:
    case packet_status::not_run_shutting_down:
        renew_flow(r->flow, r->flow_id);
        return repeat(r, "refused");
    case packet_status::outcome_unknown:
        renew_flow(r->flow, r->flow_id);
        return r->idempotent ? repeat(r, "unknown") : finish(r, "unknown");
    case packet_status::deadline_exceeded:
        return finish(r, "expired");
    case packet_status::cancelled:
        return finish(r, "cancelled");
    default:
        return finish(r, "refused");
    }
}

void request_load::on_ok(request_ptr const& r, packet_view const& p)
{
    auto const upstream = check_answer(p.payload, flows_[r->flow].service, r->payload);
    if (!upstream)
        return finish(r, "wrong");
    ++per_upstream_[upstream->value];
    auto const now = steady::now();
    latency_->ms(std::chrono::duration<double, std::milli>(now - r->started).count());
    auto const second =
        static_cast<std::size_t>(std::chrono::duration<double>(now - started_at_).count());
    if (per_second_.size() <= second)
        per_second_.resize(second + 1);
    ++per_second_[second];
    finish(r, now <= r->deadline ? "answered" : "late");
}

// Repeats the request with a new id after an answer that permits it.
void request_load::repeat(request_ptr const& r, char const* outcome_if_expired)
{
    port_.timers().cancel(r->retransmit);
    port_.forget_request(r->id);
    if (steady::now() + repeat_delay >= r->deadline)
        return finish(r, outcome_if_expired);
    ++counts_["repeated"];
    r->id = 0;
    r->sent = false;
    r->retransmit = port_.timers().after(repeat_delay, [this, r] { assign(r); });
}

void request_load::finish(request_ptr const& r, std::string const& outcome)
{
    port_.timers().cancel(r->retransmit);
    port_.forget_request(r->id);
    r->id = 0;
    ++counts_[outcome];
    --outstanding_;
    last_finish_ = steady::now();
}

std::uint64_t request_load::count(std::string const& name) const
{
    auto const it = counts_.find(name);
    return it == counts_.end() ? 0 : it->second;
}

double request_load::quantile_ms(double probability) const
{
    if (count("answered") + count("late") == 0)
        return 0;
    return acc::quantile(latency_->ms, acc::quantile_probability = probability);
}

double request_load::throughput() const
{
    double const seconds = std::chrono::duration<double>(last_finish_ - started_at_).count();
    return seconds > 0 ? static_cast<double>(count("answered")) / seconds : 0;
}

json::object request_load::report() const
{
    json::object upstreams;
    for (auto const& [id, answers] : per_upstream_)
        upstreams[std::to_string(id)] = answers;
    json::object ms;
    if (count("answered") + count("late") != 0)
        ms = {{"mean", acc::mean(latency_->ms)}, {"p50", quantile_ms(0.5)},
              {"p90", quantile_ms(0.9)},         {"p99", quantile_ms(0.99)},
              {"p999", quantile_ms(0.999)},      {"max", acc::max(latency_->ms)}};
    return {{"offered", started_},
            {"counts", to_json(counts_)},
            {"statuses", to_json(statuses_)},
            {"latency_ms", ms},
            {"throughput", throughput()},
            {"answers_per_second", json::value_from(per_second_)},
            {"answers_per_upstream", upstreams}};
}

} // namespace chivelever::standins
