#include "coordination/flow_table.hpp"

#include <algorithm>
#include <cmath>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Callers send bytes again after 200 ms; packets on the way overtake each other by a few ms.
constexpr duration repetition_after = 150ms;

// Time constant of the mean load: several beats between hosts, and many requests.
constexpr double mean_span_s = 1.0;
// Flows of a destination are long when they carry this many requests each on average. The counts
// are halved when they reach the limit, so that a change of habit shows.
constexpr double many_requests = 1.5;
constexpr double habit_limit = 512;
constexpr duration mean_life = 5s;

// Takes the time since the last change into the mean.
void settle(upstream_load& load, time_point now)
{
    double const span = std::chrono::duration<double>(now - load.mean_at).count();
    double const kept = std::exp(-std::max(0.0, span) / mean_span_s);
    load.mean_waiting = load.mean_waiting * kept + load.waiting * (1 - kept);
    load.mean_at = now;
}

// Whether sequence a is later than b, modulo 2^32.
bool later(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

flow_record* flow_table::find(flow_ends const& key)
{
    auto const it = flows_.find(key);
    return it == flows_.end() ? nullptr : &it->second;
}

void flow_table::start_waiting(flow_record& flow, time_point now)
{
    if (flow.request_at != time_point{})
        return;
    flow.request_at = now;
    upstream_load& load = loads_[flow.upstream.value];
    settle(load, now);
    if (load.waiting++ == 0)
        load.quiet_since = now;
}

void flow_table::stop_waiting(flow_record& flow, time_point now)
{
    if (flow.request_at == time_point{})
        return;
    flow.request_at = {};
    upstream_load& load = loads_[flow.upstream.value];
    settle(load, now);
    --load.waiting;
}

void flow_table::release(flow_record& flow, time_point now)
{
    stop_waiting(flow, now);
    --loads_[flow.upstream.value].flows;
}

flow_record& flow_table::open(flow_ends const& key, flow_token upstream, std::uint32_t sequence,
                              time_point now)
{
    erase(key, now);
    flow_record& f = flows_[key];
    f.upstream = upstream;
    f.first_sequence = sequence;
    f.sent_end = sequence + 1;
    f.opened = f.last_seen = now;
    f.offers = 1;
    ++loads_[upstream.value].flows;
    start_waiting(f, now);
    flow_habit& habit = habits_[key.destination.packed()];
    if (++habit.openings > habit_limit)
        habit = {habit.openings / 2, habit.requests / 2};
    return f;
}

flow_record& flow_table::adopt(caller_packet const& p, time_point now)
{
    flow_record& f = open(p.flow, p.token, p.sequence - 1, now);
    stop_waiting(f, now);
    f.phase = flow_phase::open;
    f.acknowledged = p.acknowledged;
    f.sent_end = p.sequence;
    return f;
}

void flow_table::offer(flow_record& flow, flow_token upstream, time_point now)
{
    if (flow.offers <= flow.tried.size() && flow.offers > 0)
        flow.tried[flow.offers - 1U] = flow.upstream;
    ++flow.offers;
    time_point const since = flow.request_at;
    release(flow, now);
    flow.upstream = upstream;
    ++loads_[upstream.value].flows;
    if (since != time_point{})
        start_waiting(flow, since);
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
        seen.opening_time = now - flow.opened;
        loads_[flow.upstream.value].quiet_since = now;
        // The request counts from its own first packet on.
        stop_waiting(flow, now);
    }
    else if (p.ack && later(p.acknowledged, flow.acknowledged))
    {
        flow.acknowledged = p.acknowledged;
        seen.answered = true;
        loads_[flow.upstream.value].quiet_since = now;
        if (flow.request_at != time_point{})
            seen.answer_time = now - flow.request_at;
        stop_waiting(flow, now);
    }
    if (p.data_bytes > 0)
    {
        std::uint32_t const end = p.sequence + p.data_bytes;
        if (later(end, flow.sent_end))
        {
            seen.request = flow.request_at == time_point{};
            if (seen.request)
                ++habits_[p.flow.destination.packed()].requests;
            flow.sent_end = end;
            flow.data_at = now;
            start_waiting(flow, now);
        }
        else
            // Packets that overtook each other are no repetition.
            seen.repeated = now - flow.data_at > repetition_after;
    }
    if (p.fin)
    {
        flow.phase = flow_phase::closing;
        stop_waiting(flow, now);
    }
    return seen;
}

void flow_table::erase(flow_ends const& key, time_point now)
{
    auto const it = flows_.find(key);
    if (it == flows_.end())
        return;
    release(it->second, now);
    flows_.erase(it);
}

void flow_table::expire(time_point now, duration idle)
{
    // A closed flow may still repeat its last packets, and an opening is given up after 1.4 s.
    constexpr duration closing_life = 2s;
    constexpr duration opening_life = 2s;
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        flow_record& f = it->second;
        duration const life = f.phase == flow_phase::open      ? idle
                              : f.phase == flow_phase::closing ? closing_life
                                                               : opening_life;
        if (now - f.last_seen < life)
        {
            ++it;
            continue;
        }
        release(f, now);
        it = flows_.erase(it);
    }
    // An upstream without flows keeps its mean until that has faded.
    std::erase_if(loads_, [&](auto const& item)
                  { return item.second.flows == 0 && now - item.second.mean_at > mean_life; });
}

double flow_table::mean_waiting(flow_token upstream, time_point now) const
{
    upstream_load l = load(upstream);
    settle(l, now);
    return l.mean_waiting;
}

bool flow_table::carries_many(endpoint destination) const
{
    auto const it = habits_.find(destination.packed());
    return it != habits_.end() && it->second.requests > many_requests * it->second.openings;
}

std::vector<flow_token> flow_table::stalled(time_point now, duration limit) const
{
    std::vector<flow_token> out;
    for (auto const& [token, load] : loads_)
        if (load.waiting > 0 && now - load.quiet_since > limit)
            out.push_back({token});
    return out;
}

std::vector<std::pair<flow_ends, std::uint32_t>> flow_table::flows_of(flow_token upstream) const
{
    std::vector<std::pair<flow_ends, std::uint32_t>> out;
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
