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
// Failed attempts in a row after which an upstream counts as silent. Where an upstream that works
// fails as well, an attempt does not count at all.
constexpr std::uint32_t silent_probes = 2;
// Others must have answered this recently, or the fault may be on this host's side.
constexpr duration others_progress = 300ms;
// From the end of a probe to the next one: at once after a first failure, so that a silent upstream
// is found soon; later when it works, when nothing can be told, or when it has failed several.
constexpr duration probe_again = 10ms;
constexpr duration probe_later = 600ms;
constexpr std::uint32_t early_probes = 3;
// A doubt without anything new is dropped after this time; by then the entry has lapsed.
constexpr duration doubt_life = 6s;
// The host itself is cut off when at least two upstreams fail and none answers for this long.
constexpr int isolated_upstreams = 2;
constexpr duration isolated_span = 700ms;
constexpr duration forget_after = 90s;

std::uint64_t bit_of(std::uint64_t hash)
{
    return std::uint64_t{1} << (hash >> 58);
}

} // namespace

bool upstream_health::others_answer(time_point now) const
{
    return now - last_progress_ < others_progress;
}

bool upstream_health::is_silent(record const& r, time_point now) const
{
    return r.failed_probes >= silent_probes && r.last_progress <= r.probed_at && others_answer(now);
}

void upstream_health::progress(flow_token upstream, time_point now)
{
    record& r = records_[upstream.value];
    r.last_progress = now;
    r.failures = 0;
    r.failed_probes = 0;
    r.reported_silent = false;
    r.doubted = {};
    last_progress_ = now;
    failed_upstreams_ = 0;
}

bool upstream_health::failure(flow_token upstream, time_point now)
{
    bool const was = verdict(upstream, now) != upstream_verdict::working;
    record& r = records_[upstream.value];
    ++r.failures;
    r.last_failure = now;
    r.doubted = now;
    if (failed_upstreams_ == 0)
        first_failure_ = now;
    failed_upstreams_ |= bit_of(hash_pair(upstream.value, 0));
    return !was;
}

void upstream_health::stalled(flow_token upstream, time_point now)
{
    records_[upstream.value].doubted = now;
}

void upstream_health::peer_suspects(flow_token upstream, time_point now)
{
    record& r = records_[upstream.value];
    r.peer_report = now;
    r.doubted = now;
}

std::vector<flow_token> upstream_health::probes_due(time_point now)
{
    std::vector<flow_token> out;
    for (auto& [token, r] : records_)
    {
        bool const doubted = r.doubted != time_point{} && now - r.doubted < doubt_life;
        bool const early = r.failed_probes > 0 && r.failed_probes < early_probes;
        bool const paused =
            r.probed_at != time_point{} && now - r.probed_at < (early ? probe_again : probe_later);
        if (!doubted || paused || r.probing)
            continue;
        r.probing = true;
        out.push_back({token});
    }
    return out;
}

bool upstream_health::probed(flow_token upstream, probe_result result, time_point started,
                             time_point now)
{
    record& r = records_[upstream.value];
    r.probing = false;
    bool const answered = result == probe_result::answered;
    if (result == probe_result::inconclusive || (!answered && r.last_progress >= started))
    {
        r.probed_at = now;
        r.failed_probes = 0;
        return false;
    }
    r.probed_at = now;
    if (answered)
    {
        r.failed_probes = 0;
        r.doubted = {};
        return false;
    }
    ++r.failed_probes;
    bool const found = is_silent(r, now) && !r.reported_silent;
    r.reported_silent = r.reported_silent || found;
    return found;
}

bool upstream_health::fails_probes(flow_token upstream) const
{
    auto const it = records_.find(upstream.value);
    return it != records_.end() && it->second.failed_probes > 0 &&
           it->second.last_progress <= it->second.probed_at;
}

flow_token upstream_health::control_for(flow_token upstream, time_point now) const
{
    flow_token best;
    time_point latest = now - others_progress;
    for (auto const& [token, r] : records_)
    {
        if (token == upstream.value || r.last_progress <= latest || r.failures > 0)
            continue;
        latest = r.last_progress;
        best = {token};
    }
    return best;
}

upstream_verdict upstream_health::verdict(flow_token upstream, time_point now) const
{
    auto const it = records_.find(upstream.value);
    if (it == records_.end())
        return upstream_verdict::working;
    record const& r = it->second;
    if (is_silent(r, now))
        return upstream_verdict::silent;
    if (r.failed_probes > 0 && r.last_progress < r.probed_at)
        return upstream_verdict::suspected;
    if (r.failures > 0)
    {
        duration const span = std::min<duration>(
            suspicion_maximum, suspicion_base * (1 << std::min<std::uint32_t>(r.failures - 1, 4)));
        if (now - r.last_failure < span)
            return upstream_verdict::suspected;
    }
    bool const reported = r.peer_report != time_point{} && now - r.peer_report < peer_report_life;
    bool const answered_since =
        std::max(r.last_progress, r.failed_probes == 0 ? r.probed_at : time_point{}) >
        r.peer_report;
    return reported && !answered_since ? upstream_verdict::suspected : upstream_verdict::working;
}

std::vector<flow_token> upstream_health::suspects(time_point now) const
{
    std::vector<flow_token> out;
    for (auto const& [token, r] : records_)
        if ((r.failures > 0 || r.failed_probes > 0) &&
            verdict({token}, now) != upstream_verdict::working)
            out.push_back({token});
    return out;
}

bool upstream_health::isolated(time_point now) const
{
    return std::popcount(failed_upstreams_) >= isolated_upstreams &&
           now - first_failure_ >= isolated_span && now - last_progress_ >= isolated_span;
}

void upstream_health::expire(time_point now)
{
    std::erase_if(records_,
                  [&](auto const& item)
                  {
                      record const& r = item.second;
                      time_point const last = std::max(
                          {r.last_progress, r.last_failure, r.peer_report, r.doubted, r.probed_at});
                      return !r.probing && now - last > forget_after;
                  });
}

} // namespace chivelever
