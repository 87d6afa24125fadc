// Request queue, dispatch to upstreams, answers, timeouts and retries.
#include "coordination/pool.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{
using std::chrono::milliseconds;

// Attempts end this long before the lease expires, to allow for the network delay to the upstream
// and for clocks that run at different rates.
constexpr duration lease_margin = milliseconds(100);
// No attempt starts later than this after the arrival of the request, even if its deadline is
// later.
constexpr duration max_dispatch_age = std::chrono::seconds(2);
// An attempt is not started with less time left than this.
constexpr duration min_attempt_time = milliseconds(5);
// An upstream measures the deadline from the arrival of the request, so its answer may come this
// long after the deadline here. The upstream's slot counts as occupied until then.
constexpr duration answer_grace = milliseconds(20);
// An attempt times out after this multiple of the expected latency.
constexpr int attempt_timeout_factor = 8;
constexpr duration min_attempt_timeout = milliseconds(50);
// A timeout does not count against the upstream if the attempt had less time than this multiple of
// the expected latency.
constexpr int min_timeout_evidence_factor = 3;
// Until a median is known, the typical latency is a moving mean over about this many answers.
constexpr int latency_mean_answers = 8;
// Probes use idempotent requests, which can be retried if the probe fails. A non-idempotent request
// is used if no other upstream has capacity, or once a probe has been due for this time.
constexpr duration idempotent_probe_wait = std::chrono::seconds(2);
} // namespace

bool pool::may_dispatch(time_point now) const
{
    return lease_ && now + lease_margin + min_attempt_time < *lease_;
}

// Returns true if the request arrived too long ago or can no longer be answered in time. The time
// needed is taken as at most half of the time allowed, so that a high latency estimate from a
// slow period does not reject requests with short deadlines on arrival.
bool pool::should_drop(request const& r, time_point now) const
{
    duration const needed =
        std::min(std::max(typical_latency_, min_attempt_time), r.time_allowed / 2);
    return now + needed > r.deadline || now - (r.deadline - r.time_allowed) > max_dispatch_age;
}

// If the queue exceeds its limit, refuses the request with the earliest deadline.
void pool::refuse_overflow(std::vector<send_packet>& out)
{
    if (queue_.size() <= static_cast<std::size_t>(effective_setting(setting::queue_limit)))
        return;
    auto const earliest = std::min_element(queue_.begin(), queue_.end(),
                                           [this](std::uint32_t a, std::uint32_t b) {
                                               return requests_[a].deadline < requests_[b].deadline;
                                           });
    std::uint32_t const refused = *earliest;
    queue_.erase(earliest);
    finish_unanswered(refused, packet_status::not_run_overloaded, out);
}

void pool::dispatch(time_point now, std::vector<send_packet>& out)
{
    while (!queue_.empty() && may_dispatch(now))
    {
        auto const next = next_assignment(now);
        if (!next)
            return;
        std::uint32_t const slot = queue_[next->position];
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(next->position));
        if (should_drop(requests_[slot], now))
            finish_unanswered(slot, packet_status::not_run_overloaded, out);
        else
            send_attempt(slot, next->upstream, now, out);
    }
}

std::optional<pool::assignment> pool::next_assignment(time_point now) const
{
    std::uint32_t const regular = pick_for_request(false, now);
    std::uint32_t const probe = pick_for_request(true, now);
    if (probe != no_index)
    {
        auto const idempotent =
            std::find_if(queue_.begin(), queue_.end(),
                         [this](std::uint32_t s) { return requests_[s].idempotent; });
        if (idempotent != queue_.end())
            return assignment{static_cast<std::size_t>(idempotent - queue_.begin()), probe};
        if (regular == no_index ||
            now >= upstreams_[probe].limit.next_probe() + idempotent_probe_wait)
            return assignment{0, probe};
    }
    if (regular != no_index)
        return assignment{0, regular};
    return {};
}

// Returns the upstream with the lowest utilization of its limit. Ties go to the least recently used
// one, which spreads requests evenly at low load.
std::uint32_t pool::pick_for_request(bool probing, time_point now) const
{
    std::uint32_t best = no_index;
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        upstream const& u = upstreams_[i];
        if (!u.takes_work || u.limit.probing() != probing || !u.limit.may_send(u.occupied(), now))
            continue;
        if (best != no_index)
        {
            upstream const& b = upstreams_[best];
            auto const load = u.occupied() * b.limit.limit();
            auto const best_load = b.occupied() * u.limit.limit();
            if (load > best_load || (load == best_load && u.last_sent >= b.last_sent))
                continue;
        }
        best = static_cast<std::uint32_t>(i);
    }
    return best;
}

std::optional<duration> pool::expected_latency(upstream const& u) const
{
    if (auto const own = u.limit.warm_median())
        return own;
    if (typical_latency_ != duration{})
        return typical_latency_;
    return {};
}

void pool::send_attempt(std::uint32_t slot, std::uint32_t index, time_point now,
                        std::vector<send_packet>& out)
{
    request& r = requests_[slot];
    upstream& u = upstreams_[index];
    invariants::check(lease_ && now < *lease_, "dispatch under a lease");
    invariants::check(r.idempotent || r.possible_executions == 0, "at most once",
                      "retry of a non-idempotent request that may have run");
    invariants::check(u.config.service == id_.service && u.takes_work, "upstream of the pool",
                      "request sent to an upstream that does not accept work of this pool");
    attempt a;
    a.request = slot;
    a.upstream = index;
    a.address = u.config.address;
    a.encoded = r.encoded;
    a.sent = now;
    a.deadline = std::min(r.deadline, *lease_ - lease_margin);
    a.timeout_at = a.deadline;
    if (auto const latency = expected_latency(u))
        a.timeout_at = std::min(
            a.deadline, now + std::max(*latency * attempt_timeout_factor, min_attempt_timeout));
    std::uint64_t const id = next_attempt_++;
    ++u.outstanding;
    u.last_sent = now;
    invariants::check(u.occupied() <= std::min<std::uint32_t>(u.limit.limit(), u.config.slots),
                      "no overload", "outstanding requests exceed the limit of the upstream");
    ++stats_.attempts;
    stats_.retries += r.attempted ? 1 : 0;
    stats_.probes += u.limit.probing() ? 1 : 0;
    r.attempted = true;
    r.attempt = id;
    ++r.possible_executions;
    packet_view p;
    p.kind = packet_kind::request;
    p.flow = flow_kind::request;
    p.service = id_.service;
    p.request = {id};
    p.flow_id = as_view(r.encoded);
    p.caller = r.caller;
    p.idempotent = r.idempotent;
    p.deadline_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(a.deadline - now).count());
    p.payload = r.payload;
    attempts_.emplace(id, a);
    out.push_back({a.address, p});
}

void pool::send_cancel(std::uint64_t id, attempt const& a, std::vector<send_packet>& out) const
{
    packet_view p;
    p.kind = packet_kind::cancel;
    p.flow = flow_kind::request;
    p.service = id_.service;
    p.request = {id};
    p.flow_id = as_view(a.encoded);
    out.push_back({a.address, p});
}

void pool::on_answer(packet_view const& p, endpoint source, time_point now,
                     std::vector<send_packet>& out)
{
    auto const it = attempts_.find(p.request.value);
    if (it == attempts_.end())
    {
        ++stats_.late_answers;
        return;
    }
    attempt const a = it->second;
    if (source != a.address || p.service != id_.service || p.flow_id != as_view(a.encoded))
    {
        ++stats_.mismatched_answers;
        return;
    }
    attempts_.erase(it);
    upstream& u = upstreams_[a.upstream];
    --u.outstanding;
    if (p.status == packet_status::shed)
    {
        ++stats_.shed_attempts;
        u.limit.on_failure(a.sent, now, raise_guard_);
    }
    else if (p.status == packet_status::ok && !a.timeout_recorded)
    {
        record_answer(u, a.sent, now);
    }
    else if (p.status == packet_status::deadline_exceeded)
    {
        attempt expired = a;
        record_timeout(expired, now);
    }
    if (a.request == no_index)
        ++stats_.late_answers;
    else
        handle_answer(a.request, p, now, out);
    dispatch(now, out);
}

// Finishes the request with the answer to its attempt, or retries it if the upstream shed it.
void pool::handle_answer(std::uint32_t slot, packet_view const& p, time_point now,
                         std::vector<send_packet>& out)
{
    request& r = requests_[slot];
    r.attempt = 0;
    invariants::check(p.service == id_.service && p.flow_id == as_view(r.encoded),
                      "answer belongs to the request");
    switch (p.status)
    {
    case packet_status::ok:
    case packet_status::cancelled:
        finish(slot, p.status, p.payload, out);
        break;
    case packet_status::shed:
        --r.possible_executions;
        if (!retry(slot, now))
            finish_unanswered(slot, packet_status::not_run_overloaded, out);
        break;
    default:
        finish_unanswered(slot, packet_status::not_run_overloaded, out);
        break;
    }
}

// Requeues the request at the front if a retry is allowed. Returns false if it is not.
bool pool::retry(std::uint32_t slot, time_point now)
{
    request& r = requests_[slot];
    bool const allowed = !r.cancel_requested && (r.idempotent || r.possible_executions == 0) &&
                         !should_drop(r, now) && may_dispatch(now) && budget_.try_take();
    if (!allowed)
        return false;
    r.attempt = 0;
    queue_.push_front(slot);
    return true;
}

void pool::tick(time_point now, std::vector<send_packet>& out)
{
    if (!table_)
        return;
    if (leased_since_reset_ && !holds_lease(now))
        reset_after_lease_loss(now);
    ledger_.expire(now);
    if (now - last_expire_flows_ >= std::chrono::seconds(1))
    {
        last_expire_flows_ = now;
        expire_flows(now);
    }
    for (upstream& u : upstreams_)
        if (u.inherited > 0 && now >= u.inherited_until + answer_grace)
            u.inherited = 0;
    check_attempts(now, out);
    purge_queue(now, out);
    dispatch(now, out);
}

void pool::check_attempts(time_point now, std::vector<send_packet>& out)
{
    timed_out_.clear();
    for (auto const& [id, a] : attempts_)
        if (now >= a.timeout_at)
            timed_out_.push_back(id);
    // Makes the order independent of the iteration order of the hash table.
    std::sort(timed_out_.begin(), timed_out_.end());
    for (std::uint64_t const id : timed_out_)
    {
        auto const it = attempts_.find(id);
        check_attempt(id, it->second, now, out);
        if (now < it->second.deadline + answer_grace)
            continue;
        --upstreams_[it->second.upstream].outstanding;
        attempts_.erase(it);
    }
}

// Handles an attempt that has timed out: records the timeout, requeues an idempotent request
// if a retry is allowed, and otherwise ends the request once the deadline has passed.
void pool::check_attempt(std::uint64_t id, attempt& a, time_point now,
                         std::vector<send_packet>& out)
{
    record_timeout(a, now);
    if (a.request == no_index)
        return;
    std::uint32_t const slot = a.request;
    bool const past_deadline = now >= a.deadline;
    if (requests_[slot].idempotent && retry(slot, now))
    {
        a.request = no_index;
        if (!past_deadline)
            send_cancel(id, a, out);
        return;
    }
    if (!past_deadline)
        return;
    a.request = no_index;
    finish_unanswered(slot, packet_status::not_run_overloaded, out);
}

// Updates the limit and the typical latency from an answer. When one upstream recovers, the others
// are probed soon, since a common outage may have ended.
void pool::record_answer(upstream& u, time_point sent, time_point now)
{
    bool const was_probing = u.limit.probing();
    u.last_answered_sent = std::max(u.last_answered_sent, sent);
    u.limit.on_answer(sent, now, raise_guard_);
    if (auto const median = u.limit.warm_median())
    {
        typical_latency_ = *median;
        typical_latency_is_median_ = true;
    }
    else if (!typical_latency_is_median_)
    {
        duration const latency = std::max(now - sent, duration{1});
        typical_latency_ =
            typical_latency_ == duration{}
                ? latency
                : typical_latency_ + (latency - typical_latency_) / latency_mean_answers;
    }
    if (was_probing && !u.limit.probing())
        for (upstream& other : upstreams_)
            other.limit.advance_next_probe(now);
}

// Counts a timed-out attempt against its upstream. If the upstream has answered an attempt sent at
// the same time or later, it is alive: the attempt then counts only at its deadline, and as a slow
// answer rather than a failure. With exponential service times, 0.4% of the answers take longer
// than attempt_timeout_factor medians.
void pool::record_timeout(attempt& a, time_point now)
{
    upstream& u = upstreams_[a.upstream];
    bool const alive = u.last_answered_sent >= a.sent;
    if (a.timeout_recorded || (alive && now < a.deadline))
        return;
    a.timeout_recorded = true;
    ++stats_.timeouts;
    auto const latency = expected_latency(u);
    if (latency && a.deadline - a.sent < *latency * min_timeout_evidence_factor)
        return;
    if (alive)
        u.limit.on_deadline_missed(a.sent, now, raise_guard_);
    else
        u.limit.on_failure(a.sent, now, raise_guard_);
}

// Ends queued requests that can no longer run in time or on this host.
void pool::purge_queue(time_point now, std::vector<send_packet>& out)
{
    std::optional<packet_status> common_status;
    if (!holds_lease(now))
        common_status = packet_status::not_run_moved;
    else if (!any_upstream_takes_work())
        common_status = packet_status::not_run_no_upstream;
    std::erase_if(queue_,
                  [&](std::uint32_t slot)
                  {
                      if (!common_status && !should_drop(requests_[slot], now))
                          return false;
                      finish_unanswered(
                          slot, common_status.value_or(packet_status::not_run_overloaded), out);
                      return true;
                  });
}

} // namespace chivelever
