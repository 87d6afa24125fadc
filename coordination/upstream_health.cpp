#include "coordination/upstream_health.hpp"

#include <algorithm>
#include <bit>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// One opening without an answer makes an upstream suspected for this long; each further one doubles
// it up to the maximum. Lost datagrams are rare, and progress of any flow ends the suspicion.
constexpr duration suspicion_base = 400ms;
constexpr duration suspicion_maximum = 3200ms;
// How long the report of another host counts.
constexpr duration peer_report_life = 600ms;
// An upstream is silent when at least this many flows failed over at least this span, with no
// progress of any of its flows in between and progress of others.
constexpr int silent_flows = 3;
constexpr duration silent_span = 250ms;
constexpr duration others_progress = 300ms;
// The host itself is cut off when at least two upstreams fail and none answers for this long.
constexpr int isolated_upstreams = 2;
constexpr duration isolated_span = 700ms;

std::uint64_t bit_of(std::uint64_t hash)
{
    return std::uint64_t{1} << (hash >> 58);
}

} // namespace

void upstream_health::progress(flow_token upstream, time_point now)
{
    record& r = records_[upstream.value];
    r.last_progress = now;
    r.failures = 0;
    r.failed_flows = 0;
    last_progress_ = now;
    failed_upstreams_ = 0;
}

bool upstream_health::failure(flow_token upstream, flow_ends const& flow, time_point now)
{
    bool const was = verdict(upstream, now) != upstream_verdict::working;
    record& r = records_[upstream.value];
    if (r.failures == 0)
        r.first_failure = now;
    ++r.failures;
    r.last_failure = now;
    r.failed_flows |= bit_of(hash_value(flow));
    if (failed_upstreams_ == 0)
        first_failure_ = now;
    failed_upstreams_ |= bit_of(hash_pair(upstream.value, 0));
    return !was;
}

void upstream_health::peer_suspects(flow_token upstream, time_point now)
{
    records_[upstream.value].peer_report = now;
}

upstream_verdict upstream_health::verdict(flow_token upstream, time_point now) const
{
    auto const it = records_.find(upstream.value);
    if (it == records_.end())
        return upstream_verdict::working;
    record const& r = it->second;
    if (r.failures > 0)
    {
        bool const others_answer = now - last_progress_ < others_progress;
        if (others_answer && std::popcount(r.failed_flows) >= silent_flows &&
            r.last_failure - r.first_failure >= silent_span)
            return upstream_verdict::silent;
        duration const span = std::min<duration>(
            suspicion_maximum, suspicion_base * (1 << std::min<std::uint32_t>(r.failures - 1, 4)));
        if (now - r.last_failure < span)
            return upstream_verdict::suspected;
    }
    bool const reported = r.peer_report != time_point{} && now - r.peer_report < peer_report_life;
    bool const answered_since = r.last_progress > r.peer_report;
    return reported && !answered_since ? upstream_verdict::suspected : upstream_verdict::working;
}

std::vector<flow_token> upstream_health::suspects(time_point now) const
{
    std::vector<flow_token> out;
    for (auto const& [token, r] : records_)
        if (r.failures > 0 && verdict({token}, now) != upstream_verdict::working)
            out.push_back({token});
    return out;
}

bool upstream_health::isolated(time_point now) const
{
    return std::popcount(failed_upstreams_) >= isolated_upstreams &&
           now - first_failure_ >= isolated_span && now - last_progress_ >= isolated_span;
}

} // namespace chivelever
