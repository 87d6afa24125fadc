// The queue, attempts at upstreams, their answers, time-outs and retries.
#include "coordination/pool.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{
using std::chrono::milliseconds;

// No work may outlive the lease; covers the way to the upstream and differences of clock rate.
constexpr duration lease_margin = milliseconds(100);
// A request waits no longer than this, whatever its deadline.
constexpr duration max_queue_time = std::chrono::seconds(2);
// Less time than this is not worth an attempt.
constexpr duration min_attempt_time = milliseconds(5);
// An upstream counts its deadline from the arrival of the request, so that its last answer may
// come this much later; the slot stays occupied until then.
constexpr duration answer_grace = milliseconds(20);
// An attempt that takes longer than this many medians is taken for lost.
constexpr int patience_medians = 8;
constexpr duration min_patience = milliseconds(50);
// With fewer medians of time than this, a time-out says nothing about the upstream.
constexpr int judged_medians = 3;
// While no upstream is warm, a moving mean over this many answers stands in for the median.
constexpr int mean_of_answers = 8;
// A probe may fail, which an idempotent request survives. Others are used if no other upstream has
// room, or if no idempotent request came along for this time.
constexpr duration wait_for_idempotent_probe = std::chrono::seconds(2);
} // namespace

bool pool::may_dispatch(time_point now) const
{
    return lease_ && now + lease_margin + min_attempt_time < *lease_;
}

// Whether a queued request can no longer be answered in time. One that has just arrived is always
// tried, so that a median from a slow period cannot lock out short deadlines.
bool pool::hopeless(request const& r, time_point now) const
{
    duration const needed = std::min(std::max(recent_median_, min_attempt_time), r.offered / 2);
    return now + needed > r.deadline || now - (r.deadline - r.offered) > max_queue_time;
}

// When the queue is too long, the request with the least time left is refused.
void pool::refuse_overflow(std::vector<send_packet>& out)
{
    if (queue_.size() <= static_cast<std::size_t>(effective_setting(setting::queue_limit)))
        return;
    auto const victim = std::min_element(queue_.begin(), queue_.end(),
                                         [this](std::uint32_t a, std::uint32_t b)
                                         { return requests_[a].deadline < requests_[b].deadline; });
    std::uint32_t const refused = *victim;
    queue_.erase(victim);
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
        if (hopeless(requests_[slot], now))
            finish_unanswered(slot, packet_status::not_run_overloaded, out);
        else
            send_attempt(slot, next->upstream, now, out);
    }
}

std::optional<pool::assignment> pool::next_assignment(time_point now) const
{
    std::uint32_t const healthy = pick_for_request(false, now);
    std::uint32_t const probe = pick_for_request(true, now);
    if (probe != none)
    {
        auto const idempotent =
            std::find_if(queue_.begin(), queue_.end(),
                         [this](std::uint32_t s) { return requests_[s].idempotent; });
        if (idempotent != queue_.end())
            return assignment{static_cast<std::size_t>(idempotent - queue_.begin()), probe};
        if (healthy == none ||
            now >= upstreams_[probe].limit.next_probe() + wait_for_idempotent_probe)
            return assignment{0, probe};
    }
    if (healthy != none)
        return assignment{0, healthy};
    return {};
}

// The upstream with the smallest used share of its limit; among equals the one that has waited
// longest, which spreads work evenly at low load.
std::uint32_t pool::pick_for_request(bool probing, time_point now) const
{
    std::uint32_t best = none;
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        upstream const& u = upstreams_[i];
        if (!u.takes_work || u.limit.probing() != probing || !u.limit.may_send(u.occupied(), now))
            continue;
        if (best != none)
        {
            upstream const& b = upstreams_[best];
            auto const mine = u.occupied() * b.limit.limit();
            auto const least = b.occupied() * u.limit.limit();
            if (mine > least || (mine == least && u.last_sent >= b.last_sent))
                continue;
        }
        best = static_cast<std::uint32_t>(i);
    }
    return best;
}

std::optional<duration> pool::median_of(upstream const& u) const
{
    if (auto const own = u.limit.warm_median())
        return own;
    if (recent_median_ != duration{})
        return recent_median_;
    return {};
}

void pool::send_attempt(std::uint32_t slot, std::uint32_t index, time_point now,
                        std::vector<send_packet>& out)
{
    request& r = requests_[slot];
    upstream& u = upstreams_[index];
    invariants::check(lease_ && now < *lease_, "dispatch under a lease");
    invariants::check(r.idempotent || r.unshed == 0, "at most once",
                      "second attempt of a non-idempotent request that may have run");
    invariants::check(u.config.service == id_.service && u.takes_work, "upstream of the pool",
                      "request sent to an upstream that takes no work of the pool");
    attempt a;
    a.request = slot;
    a.upstream = index;
    a.address = u.config.address;
    a.encoded = r.encoded;
    a.sent = now;
    a.deadline = std::min(r.deadline, *lease_ - lease_margin);
    a.patience = a.deadline;
    if (auto const median = median_of(u))
        a.patience = std::min(a.deadline, now + std::max(*median * patience_medians, min_patience));
    std::uint64_t const id = next_attempt_++;
    ++u.outstanding;
    u.last_sent = now;
    invariants::check(u.occupied() <= std::min<std::uint32_t>(u.limit.limit(), u.config.slots),
                      "no overload", "more outstanding than the upstream's limit");
    ++stats_.attempts;
    stats_.retries += r.attempted ? 1 : 0;
    stats_.probes += u.limit.probing() ? 1 : 0;
    r.attempted = true;
    r.attempt = id;
    ++r.unshed;
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
        ++stats_.crossed_answers;
        return;
    }
    attempts_.erase(it);
    upstream& u = upstreams_[a.upstream];
    --u.outstanding;
    if (p.status == packet_status::shed)
    {
        ++stats_.sheds;
        u.limit.on_failure(a.sent, now, climb_);
    }
    else if (p.status == packet_status::ok && !a.judged)
    {
        take_answer(u, a.sent, now);
    }
    else if (p.status == packet_status::deadline_exceeded)
    {
        attempt over = a;
        judge_time_out(over, now);
    }
    if (a.request == none)
        ++stats_.late_answers;
    else
        handle_answer(a.request, p, now, out);
    dispatch(now, out);
}

// Gives the answer to the request that the attempt belongs to, or tries again after a shed one.
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
        --r.unshed;
        if (!retry(slot, now))
            finish_unanswered(slot, packet_status::not_run_overloaded, out);
        break;
    default:
        finish_unanswered(slot, packet_status::not_run_overloaded, out);
        break;
    }
}

// Puts the request back at the head of the queue if it may be tried again.
bool pool::retry(std::uint32_t slot, time_point now)
{
    request& r = requests_[slot];
    bool const allowed = !r.cancel && (r.idempotent || r.unshed == 0) && !hopeless(r, now) &&
                         may_dispatch(now) && budget_.take();
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
    if (tenure_ && !holds_lease(now))
        end_tenure(now);
    ledger_.expire(now);
    if (now - last_flow_expiry_ >= std::chrono::seconds(1))
    {
        last_flow_expiry_ = now;
        expire_flows(now);
    }
    for (upstream& u : upstreams_)
        if (u.adopted > 0 && now >= u.adopted_until + answer_grace)
            u.adopted = 0;
    check_attempts(now, out);
    clean_queue(now, out);
    dispatch(now, out);
}

void pool::check_attempts(time_point now, std::vector<send_packet>& out)
{
    due_.clear();
    for (auto const& [id, a] : attempts_)
        if (now >= a.patience)
            due_.push_back(id);
    std::sort(due_.begin(), due_.end()); // the order of a hash table is no part of a decision
    for (std::uint64_t const id : due_)
    {
        auto const it = attempts_.find(id);
        check_attempt(id, it->second, now, out);
        if (now < it->second.deadline + answer_grace)
            continue;
        --upstreams_[it->second.upstream].outstanding;
        attempts_.erase(it);
    }
}

// Handles an attempt past its patience: the upstream is taken for failing, an idempotent request
// goes elsewhere, and at the deadline the request ends.
void pool::check_attempt(std::uint64_t id, attempt& a, time_point now,
                         std::vector<send_packet>& out)
{
    judge_time_out(a, now);
    if (a.request == none)
        return;
    std::uint32_t const slot = a.request;
    bool const over = now >= a.deadline;
    if (requests_[slot].idempotent && retry(slot, now))
    {
        a.request = none;
        if (!over)
            send_cancel(id, a, out);
        return;
    }
    if (!over)
        return;
    a.request = none;
    finish_unanswered(slot, packet_status::not_run_overloaded, out);
}

// Learns from an answer. The end of one upstream's failure may be that of an outage of all.
void pool::take_answer(upstream& u, time_point sent, time_point now)
{
    bool const was_probing = u.limit.probing();
    u.answered_sent = std::max(u.answered_sent, sent);
    u.limit.on_answer(sent, now, climb_);
    if (auto const median = u.limit.warm_median())
    {
        recent_median_ = *median;
        median_known_ = true;
    }
    else if (!median_known_)
    {
        duration const latency = std::max(now - sent, duration{1});
        recent_median_ = recent_median_ == duration{}
                             ? latency
                             : recent_median_ + (latency - recent_median_) / mean_of_answers;
    }
    if (was_probing && !u.limit.probing())
        for (upstream& other : upstreams_)
            other.limit.hasten_probe(now);
}

// An upstream that has answered a later attempt is alive, and the late one is merely slow. With
// exponential service times 0.4% of the answers exceed the patience.
void pool::judge_time_out(attempt& a, time_point now)
{
    upstream& u = upstreams_[a.upstream];
    bool const alive = u.answered_sent >= a.sent;
    if (a.judged || (alive && now < a.deadline))
        return;
    a.judged = true;
    ++stats_.time_outs;
    auto const median = median_of(u);
    if (median && a.deadline - a.sent < *median * judged_medians)
        return;
    if (alive)
        u.limit.on_late(a.sent, now, climb_);
    else
        u.limit.on_failure(a.sent, now, climb_);
}

// Ends queued requests that can no longer run in time or here.
void pool::clean_queue(time_point now, std::vector<send_packet>& out)
{
    std::optional<packet_status> all;
    if (!holds_lease(now))
        all = packet_status::not_run_moved;
    else if (!any_takes_work())
        all = packet_status::not_run_no_upstream;
    std::erase_if(queue_,
                  [&](std::uint32_t slot)
                  {
                      if (!all && !hopeless(requests_[slot], now))
                          return false;
                      finish_unanswered(slot, all.value_or(packet_status::not_run_overloaded), out);
                      return true;
                  });
}

} // namespace chivelever
