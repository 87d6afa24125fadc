#include "coordination/upstream_health.hpp"

#include <algorithm>
#include <bit>
#include <functional>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// A failure (an unanswered SYN or a retransmitted request) makes an upstream suspected for this
// long; each further one doubles the time up to the maximum. Lost datagrams are rare, and an answer
// on any flow ends the suspicion.
constexpr duration suspicion_base = 400ms;
constexpr duration suspicion_maximum = 3200ms;
// How long a report from another host is valid.
constexpr duration peer_report_lifetime = 600ms;
// Consecutive failed probes after which an upstream is silent. A probe does not count if a working
// upstream fails it as well, or if any host of the zone got an answer since the first of them. Two
// would leave the other hosts only 70 ms for an answer that refutes.
constexpr std::uint32_t silent_after_probes = 3;
// Other upstreams must have answered this recently; otherwise the fault may be on this host's side.
constexpr duration others_answer_window = 300ms;
// Callers give up a SYN after this time, so that a closed probe counts for all of its copies.
constexpr duration closed_probe_lifetime = 1400ms;
// Time from the end of a probe to the next one: short after the first failures to detect a silent
// upstream soon; long if it works, the result was inconclusive or several probes failed.
constexpr duration probe_retry_delay = 10ms;
constexpr duration probe_interval = 600ms;
// An upstream that accepts connections but answers no request is slow; each further probe that it
// answers doubles the interval, up to this many times.
constexpr std::uint32_t max_interval_doublings = 3;
constexpr std::uint32_t max_fast_probes = 3;
// A probe request expires after this time; by then the store entry has expired too.
constexpr duration probe_request_lifetime = 6s;
// Reports of the same return differ by the time on the way, which adds up when they are relayed. A
// report counts as another return only if it is later by this much.
constexpr duration same_return_margin = 2s;
// The host itself is isolated if at least two upstreams fail and none answers for this long.
constexpr int isolation_min_upstreams = 2;
constexpr duration isolation_timeout = 700ms;
constexpr duration record_retention = 90s;
// While the view is stale, an upstream that stays suspected is probed at this interval, as it gets
// no flows that could show its return.
constexpr duration stale_probe_interval = 3s;
// Bounds the connection attempts that start together when a whole zone stops responding.
constexpr std::size_t max_stale_probes_per_check = 4;
// An upstream in use answers several times a second; one that died is avoided after this time.
constexpr duration recent_answer_window = 2s;

std::uint64_t hash_bit(std::uint64_t hash)
{
    return std::uint64_t{1} << (hash >> 58);
}

} // namespace

bool upstream_health::other_upstreams_answer(time_point now) const
{
    return now - last_answer_ < others_answer_window;
}

bool upstream_health::answered_since(record const& r, time_point t)
{
    return std::max(r.last_answer, r.peer_answer) >= t;
}

bool upstream_health::reported_by_peer(record const& r, time_point now)
{
    return r.peer_report != time_point{} && now - r.peer_report < peer_report_lifetime &&
           !answered_since(r, r.peer_report);
}

bool upstream_health::is_silent(record const& r, time_point now) const
{
    // A suspicion of another host counts as one failed probe.
    return r.failed_probes + (reported_by_peer(r, now) ? 1 : 0) >= silent_after_probes &&
           !answered_since(r, r.failing_since) && other_upstreams_answer(now);
}

void upstream_health::record_answer(flow_token upstream, time_point now, time_point flow_opened)
{
    record& r = records_[upstream.value];
    if (r.unreachable && flow_opened >= r.failing_since)
        r.returned_at = now;
    r.unreachable = false;
    r.last_answer = now;
    r.failures = 0;
    r.failed_probes = 0;
    r.answered_probes = 0;
    r.reported_silent = false;
    r.probe_requested_at = {};
    last_answer_ = now;
    failed_upstreams_ = 0;
}

bool upstream_health::record_failure(flow_token upstream, time_point now)
{
    bool const was_suspected = status(upstream, now) != health_status::healthy;
    record& r = records_[upstream.value];
    ++r.failures;
    r.last_failure = now;
    r.probe_requested_at = now;
    if (failed_upstreams_ == 0)
        first_failure_ = now;
    failed_upstreams_ |= hash_bit(hash_pair(upstream.value, 0));
    return !was_suspected;
}

void upstream_health::record_stall(flow_token upstream, time_point now)
{
    records_[upstream.value].probe_requested_at = now;
}

void upstream_health::record_peer_suspicion(flow_token upstream, time_point now)
{
    records_[upstream.value].peer_report = now;
}

void upstream_health::record_peer_answer(flow_token upstream, time_point answered_at)
{
    record& r = records_[upstream.value];
    r.peer_answer = std::max(r.peer_answer, answered_at);
}

void upstream_health::record_peer_return(flow_token upstream, time_point returned_at)
{
    record& r = records_[upstream.value];
    if (returned_at > r.returned_at + same_return_margin)
        r.returned_at = returned_at;
}

time_point upstream_health::returned_at(flow_token upstream) const
{
    auto const it = records_.find(upstream.value);
    return it == records_.end() ? time_point{} : it->second.returned_at;
}

std::vector<std::pair<flow_token, time_point>>
upstream_health::returns_since(time_point since) const
{
    std::vector<std::pair<flow_token, time_point>> out;
    for (auto const& [token, r] : records_)
        if (r.returned_at != time_point{} && r.returned_at >= since)
            out.emplace_back(flow_token{token}, r.returned_at);
    std::ranges::sort(out, [](auto const& a, auto const& b)
                      { return std::pair(a.second, a.first) > std::pair(b.second, b.first); });
    return out;
}

time_point upstream_health::last_answer(flow_token upstream) const
{
    auto const it = records_.find(upstream.value);
    return it == records_.end() ? time_point{} : it->second.last_answer;
}

bool upstream_health::lacks_recent_answer(flow_token upstream, time_point now) const
{
    if (stale_since_ == time_point{})
        return false;
    auto const it = records_.find(upstream.value);
    return it == records_.end() || !answered_since(it->second, now - recent_answer_window);
}

std::vector<std::pair<flow_token, time_point>> upstream_health::recent_answers(std::size_t limit,
                                                                               time_point now) const
{
    std::vector<std::pair<flow_token, time_point>> out;
    if (stale_since_ == time_point{})
        return out;
    for (auto const& [token, r] : records_)
        if (r.last_answer >= now - recent_answer_window)
            out.emplace_back(flow_token{token}, r.last_answer);
    std::ranges::sort(out, std::greater{}, &std::pair<flow_token, time_point>::second);
    out.resize(std::min(out.size(), limit));
    return out;
}

bool upstream_health::is_kept(record const& r, time_point t, duration span) const
{
    return stale_since_ != time_point{} && t != time_point{} && t + span >= stale_since_ &&
           !answered_since(r, t) && r.probe_answered_at < t;
}

// A host that only knows of the failure from others leaves the probes to them while they report it.
bool upstream_health::stale_probe_due(record const& r, time_point now) const
{
    bool const own = is_suspected_here(r, now);
    time_point const last =
        std::max({r.probed_at, r.last_failure, own ? time_point{} : r.peer_report});
    return stale_since_ != time_point{} && now - last >= stale_probe_interval &&
           (own || is_reported(r, now));
}

std::vector<flow_token> upstream_health::probes_due(time_point now)
{
    std::vector<flow_token> out;
    std::size_t stale_probes = 0;
    for (auto& [token, r] : records_)
    {
        bool const probe_requested = r.probe_requested_at != time_point{} &&
                                     now - r.probe_requested_at < probe_request_lifetime;
        bool const fast = r.failed_probes > 0 && r.failed_probes < max_fast_probes;
        auto const doublings = std::min(r.answered_probes, max_interval_doublings);
        bool const paused =
            r.probed_at != time_point{} &&
            now - r.probed_at < (fast ? probe_retry_delay : probe_interval * (1 << doublings));
        bool const stale_due =
            !r.probing && stale_probes < max_stale_probes_per_check && stale_probe_due(r, now);
        if ((!probe_requested || paused || r.probing) && !stale_due)
            continue;
        stale_probes += stale_due ? 1 : 0;
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
    bool const answered = result == probe_result::answered || result == probe_result::closed;
    if (r.failed_probes == 0)
        r.failing_since = started;
    if (result == probe_result::inconclusive || (!answered && answered_since(r, r.failing_since)))
    {
        r.probed_at = now;
        r.failed_probes = 0;
        return false;
    }
    r.probed_at = now;
    r.closed_at = result == probe_result::closed ? now : time_point{};
    if (result == probe_result::answered)
        r.probe_answered_at = now;
    if (answered)
    {
        if (r.unreachable)
            r.returned_at = now;
        r.unreachable = false;
        r.failed_probes = 0;
        ++r.answered_probes;
        r.probe_requested_at = {};
        return false;
    }
    ++r.failed_probes;
    r.unreachable = r.unreachable ||
                    r.failed_probes + (reported_by_peer(r, now) ? 1 : 0) >= silent_after_probes;
    bool const newly_silent = is_silent(r, now) && !r.reported_silent;
    r.reported_silent = r.reported_silent || newly_silent;
    return newly_silent;
}

bool upstream_health::fails_probes(flow_token upstream) const
{
    auto const it = records_.find(upstream.value);
    return it != records_.end() && it->second.failed_probes > 0 &&
           !answered_since(it->second, it->second.failing_since);
}

// Missing answers alone show nothing: all of them may be late, or have taken another way.
bool upstream_health::shows_failure(flow_token upstream, time_point now) const
{
    auto const it = records_.find(upstream.value);
    if (it == records_.end())
        return false;
    record const& r = it->second;
    bool const closed = r.closed_at != time_point{} && now - r.closed_at < closed_probe_lifetime;
    return closed || fails_probes(upstream);
}

// The answer may be old: the reference is probed as well, and the result counts only if it answers.
flow_token upstream_health::reference_upstream(std::span<flow_token const> probed) const
{
    flow_token best;
    time_point latest{};
    for (auto const& [token, r] : records_)
    {
        if (r.last_answer <= latest || r.failures > 0 ||
            std::ranges::find(probed, flow_token{token}) != probed.end())
            continue;
        latest = r.last_answer;
        best = {token};
    }
    return best;
}

health_status upstream_health::status(flow_token upstream, time_point now) const
{
    auto const it = records_.find(upstream.value);
    if (it == records_.end())
        return health_status::healthy;
    record const& r = it->second;
    if (is_silent(r, now))
        return health_status::silent;
    return is_suspected_here(r, now) || is_reported(r, now) ? health_status::suspected
                                                            : health_status::healthy;
}

bool upstream_health::is_suspected_here(record const& r, time_point now) const
{
    if (r.failed_probes > 0 && r.last_answer < r.probed_at)
        return true;
    if (r.failures == 0)
        return false;
    duration const span = std::min<duration>(
        suspicion_maximum, suspicion_base * (1 << std::min<std::uint32_t>(r.failures - 1, 4)));
    return now - r.last_failure < span || is_kept(r, r.last_failure, span);
}

bool upstream_health::is_reported(record const& r, time_point now) const
{
    bool const reported =
        r.peer_report != time_point{} && now - r.peer_report < peer_report_lifetime;
    bool const refuted =
        answered_since(r, r.peer_report) || (r.failed_probes == 0 && r.probed_at >= r.peer_report);
    return (reported && !refuted) || is_kept(r, r.peer_report, peer_report_lifetime);
}

// While the view is stale, a report of another host is not passed on: two hosts would keep each
// other's suspicion alive.
std::vector<flow_token> upstream_health::suspects(time_point now) const
{
    // A report of another host is not passed on: two hosts with an old failure of their own would
    // keep each other's report alive, and a healthy upstream without flows would never recover.
    std::vector<flow_token> out;
    for (auto const& [token, r] : records_)
        if (is_suspected_here(r, now) || is_silent(r, now))
            out.push_back({token});
    return out;
}

bool upstream_health::isolated(time_point now) const
{
    return std::popcount(failed_upstreams_) >= isolation_min_upstreams &&
           now - first_failure_ >= isolation_timeout && now - last_answer_ >= isolation_timeout;
}

void upstream_health::expire(time_point now)
{
    std::erase_if(records_,
                  [&](auto const& item)
                  {
                      record const& r = item.second;
                      time_point const last =
                          std::max({r.last_answer, r.peer_answer, r.last_failure, r.peer_report,
                                    r.probe_requested_at, r.probed_at, r.returned_at});
                      return !r.probing && now - last > record_retention;
                  });
}

} // namespace chivelever
