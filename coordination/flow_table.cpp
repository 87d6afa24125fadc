#include "coordination/flow_table.hpp"

#include <algorithm>
#include <cmath>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Callers retransmit after 200 ms; reordering delays packets by only a few ms.
constexpr duration min_retransmission_delay = 150ms;

// Covers several heartbeats between hosts and many requests.
constexpr double mean_time_constant_s = 1.0;
// A destination has long flows if they carry more than this many requests each on average. Both
// counts are halved at the limit so that the ratio follows changes in traffic.
constexpr double long_flow_requests = 1.5;
constexpr double max_counted_flows = 512;
constexpr duration idle_load_retention = 5s;
// Callers retransmit within 200 ms, and most requests are answered in less time than this.
constexpr duration silent_request_timeout = 1s;
// Each answer counts one part in this many of the mean answer time.
constexpr int answer_time_weight = 16;
// Bounds the effect of single requests that hung.
constexpr duration max_counted_answer_time = 500ms;

// Updates the exponential mean with the time since the last change.
void update_mean(upstream_load& load, time_point now)
{
    double const elapsed_s = std::chrono::duration<double>(now - load.mean_at).count();
    double const decay = std::exp(-std::max(0.0, elapsed_s) / mean_time_constant_s);
    load.mean_pending_requests =
        load.mean_pending_requests * decay + load.pending_requests * (1 - decay);
    load.mean_at = now;
}

// Whether sequence number a is after b, modulo 2^32.
bool sequence_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

flow_record* flow_table::find(flow_endpoints const& key)
{
    auto const it = flows_.find(key);
    return it == flows_.end() ? nullptr : &it->second;
}

void flow_table::start_request(flow_record& flow, time_point now)
{
    if (flow.request_sent_at != time_point{})
        return;
    flow.request_sent_at = now;
    upstream_load& load = loads_[flow.upstream.value];
    update_mean(load, now);
    if (load.pending_requests++ == 0)
    {
        load.unanswered_since = now;
        busy_.insert(flow.upstream.value);
    }
}

void flow_table::finish_request(flow_record& flow, time_point now)
{
    if (flow.request_sent_at == time_point{})
        return;
    flow.request_sent_at = {};
    upstream_load& load = loads_[flow.upstream.value];
    update_mean(load, now);
    if (--load.pending_requests == 0)
        busy_.erase(flow.upstream.value);
}

void flow_table::detach(flow_record& flow, time_point now)
{
    finish_request(flow, now);
    --loads_[flow.upstream.value].flows;
}

flow_record& flow_table::open(flow_endpoints const& key, flow_token upstream,
                              std::uint32_t sequence, time_point now)
{
    erase(key, now);
    flow_record& f = flows_[key];
    f.upstream = upstream;
    f.first_sequence = sequence;
    f.next_sequence = sequence + 1;
    f.opened = f.offered_at = f.last_seen = now;
    f.open_attempts = 1;
    ++loads_[upstream.value].flows;
    start_request(f, now);
    destination_usage& usage = usage_[key.destination.packed()];
    if (++usage.opened_flows > max_counted_flows)
        usage = {usage.opened_flows / 2, usage.requests / 2};
    return f;
}

flow_record& flow_table::add_existing(caller_packet const& p, flow_token upstream, time_point now)
{
    flow_record& f = open(p.flow, upstream, p.sequence - 1, now);
    finish_request(f, now);
    f.phase = flow_phase::open;
    f.acknowledged = p.acknowledged;
    f.next_sequence = p.sequence;
    return f;
}

void flow_table::reassign(flow_record& flow, flow_token upstream, time_point now)
{
    if (flow.open_attempts <= flow.tried.size() && flow.open_attempts > 0)
        flow.tried[flow.open_attempts - 1U] = flow.upstream;
    ++flow.open_attempts;
    time_point const since = flow.request_sent_at;
    detach(flow, now);
    flow.upstream = upstream;
    flow.offered_at = now;
    ++loads_[upstream.value].flows;
    if (since != time_point{})
        start_request(flow, since);
}

flow_observation flow_table::observe(flow_record& flow, caller_packet const& p, time_point now)
{
    flow_observation seen;
    flow.last_seen = now;
    if (flow.phase == flow_phase::opening && p.ack)
    {
        flow.phase = flow_phase::open;
        flow.acknowledged = p.acknowledged;
        seen.answered = true;
        seen.open_latency = now - flow.opened;
        loads_[flow.upstream.value].unanswered_since = now;
        // The request is timed from its own first packet, not from the SYN.
        finish_request(flow, now);
    }
    else if (p.ack && sequence_after(p.acknowledged, flow.acknowledged))
    {
        flow.acknowledged = p.acknowledged;
        seen.answered = true;
        loads_[flow.upstream.value].unanswered_since = now;
        if (flow.request_sent_at != time_point{})
        {
            seen.answer_time = now - flow.request_sent_at;
            mean_answer_time_ += (std::min<duration>(*seen.answer_time, max_counted_answer_time) -
                                  mean_answer_time_) /
                                 answer_time_weight;
        }
        finish_request(flow, now);
    }
    if (p.payload_bytes > 0)
    {
        std::uint32_t const end = p.sequence + p.payload_bytes;
        if (sequence_after(end, flow.next_sequence))
        {
            seen.request = flow.request_sent_at == time_point{};
            if (seen.request)
                ++usage_[p.flow.destination.packed()].requests;
            flow.next_sequence = end;
            flow.last_data_at = now;
            start_request(flow, now);
        }
        else
            // Reordered packets are not retransmissions.
            seen.retransmitted = now - flow.last_data_at > min_retransmission_delay;
    }
    if (p.fin)
    {
        flow.phase = flow_phase::closing;
        finish_request(flow, now);
    }
    return seen;
}

void flow_table::erase(flow_endpoints const& key, time_point now)
{
    auto const it = flows_.find(key);
    if (it == flows_.end())
        return;
    detach(it->second, now);
    flows_.erase(it);
}

void flow_table::expire(time_point now, duration idle)
{
    // A closed flow may still retransmit its last packets, and callers abandon a SYN after 1.4 s.
    constexpr duration closing_timeout = 2s;
    constexpr duration opening_timeout = 2s;
    for (auto& [token, load] : loads_)
        load.silent_requests = 0;
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        flow_record& f = it->second;
        duration const timeout = f.phase == flow_phase::open      ? idle
                                 : f.phase == flow_phase::closing ? closing_timeout
                                                                  : opening_timeout;
        if (now - f.last_seen < timeout)
        {
            bool const pending =
                f.phase == flow_phase::opening || f.request_sent_at != time_point{};
            if (pending && now - f.last_seen >= silent_request_timeout)
                ++loads_[f.upstream.value].silent_requests;
            ++it;
            continue;
        }
        detach(f, now);
        it = flows_.erase(it);
    }
    // The load of an upstream without flows is kept until its mean has decayed.
    std::erase_if(
        loads_, [&](auto const& item)
        { return item.second.flows == 0 && now - item.second.mean_at > idle_load_retention; });
}

double flow_table::mean_pending_requests(flow_token upstream, time_point now) const
{
    upstream_load l = load(upstream);
    update_mean(l, now);
    return l.mean_pending_requests;
}

bool flow_table::carries_long_flows(endpoint destination) const
{
    auto const it = usage_.find(destination.packed());
    return it != usage_.end() && it->second.requests > long_flow_requests * it->second.opened_flows;
}

std::vector<flow_token> flow_table::stalled_upstreams(time_point now, duration limit) const
{
    std::vector<flow_token> out;
    for (auto const& [token, load] : loads_)
        if (load.pending_requests > 0 && now - load.unanswered_since > limit)
            out.push_back({token});
    return out;
}

std::vector<std::pair<flow_endpoints, std::uint32_t>>
flow_table::flows_of(flow_token upstream) const
{
    std::vector<std::pair<flow_endpoints, std::uint32_t>> out;
    for (auto const& [ends, flow] : flows_)
        if (flow.upstream == upstream && flow.phase == flow_phase::open)
            out.emplace_back(ends, flow.acknowledged);
    return out;
}

upstream_load flow_table::load(flow_token upstream) const
{
    auto const it = loads_.find(upstream.value);
    return it == loads_.end() ? upstream_load{} : it->second;
}

} // namespace chivelever
