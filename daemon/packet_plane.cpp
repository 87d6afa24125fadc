#include "daemon/packet_plane.hpp"

#include <functional>

namespace chivelever
{

namespace
{

constexpr std::array<std::string_view, 11> action_names{
    "drop",           "to_upstream",   "to_host",      "to_caller",    "reply",      "local_open",
    "local_fallback", "local_request", "local_cancel", "local_answer", "local_close"};

} // namespace

packet_plane::worker::worker(daemon_context& c) : table(c.table), view(c.view), ramp(c.ramp) {}

packet_plane::packet_plane(daemon_context& context)
    : context_(context), socket_(context.settings.packet_listen), issuer_(context.self),
      tick_worker_(context), random_(std::random_device{}()),
      malformed_counter_(context.metric_registry.count(
          "packets_dropped_total", "Packets dropped, by reason.", "reason=\"malformed\"")),
      oversized_counter_(context.metric_registry.count(
          "packets_dropped_total", "Packets dropped, by reason.", "reason=\"oversized\""))
{
    register_metrics();
}

void packet_plane::register_metrics()
{
    metrics& m = context_.metric_registry;
    for (std::size_t i = 1; i < drop_counters_.size(); ++i)
        drop_counters_[i] =
            &m.count("packets_dropped_total", "Packets dropped, by reason.",
                     "reason=\"" + std::string(to_string(static_cast<drop_reason>(i))) + "\"");
    for (std::size_t i = 0; i < action_names.size(); ++i)
        action_counters_[i] = &m.count("packets_total", "Packets handled, by decision.",
                                       "decision=\"" + std::string(action_names[i]) + "\"");
    m.gauge("packets_received_total", "Packets received.",
            [this] { return static_cast<double>(socket_.received()); });
    m.gauge("packets_sent_total", "Packets sent.",
            [this] { return static_cast<double>(socket_.sent()); });
    m.gauge("packets_send_failures_total", "Packets that the kernel did not take.",
            [this] { return static_cast<double>(socket_.send_failures()); });
    auto const total = [&](char const* name, char const* help, auto pool_stats::*member)
    { m.gauge(name, help, [this, member] { return static_cast<double>(totals().*member); }); };
    total("flows_opened_total", "Flows issued by the pools held here.", &pool_stats::opened);
    total("flows_refused_total", "Opens refused.", &pool_stats::opens_refused);
    total("flows_open", "Open streams and uploads of the pools held here.", &pool_stats::flows);
    total("requests_offered_total", "Requests, repeats not counted.", &pool_stats::offered);
    total("requests_answered_total", "Requests answered by an upstream.", &pool_stats::answered);
    total("requests_not_run_total", "Requests refused, nothing ran.", &pool_stats::not_run);
    total("requests_outcome_unknown_total", "Non-idempotent requests that may have run.",
          &pool_stats::outcome_unknown);
    total("requests_queued", "Requests waiting for a slot.", &pool_stats::queued);
    total("requests_outstanding", "Attempts in progress.", &pool_stats::outstanding);
    total("attempts_total", "Requests sent to upstreams.", &pool_stats::attempts);
    total("retries_total", "Attempts after an earlier one.", &pool_stats::retries);
    total("upstream_sheds_total", "Shed answers of upstreams.", &pool_stats::shed_attempts);
    total("upstream_time_outs_total", "Attempts without an answer in time.", &pool_stats::timeouts);
    total("answers_dropped_late_total", "Answers to attempts that were over.",
          &pool_stats::late_answers);
    total("answers_dropped_crossed_total", "Answers that did not match their attempt.",
          &pool_stats::mismatched_answers);
    total("ledger_bytes", "Memory of recorded outcomes.", &pool_stats::ledger_bytes);
}

void packet_plane::start()
{
    std::vector<datagram_handler> handlers;
    for (unsigned i = 0; i < context_.settings.packet_threads; ++i)
    {
        workers_.push_back(std::make_unique<worker>(context_));
        handlers.emplace_back(
            [this, w = workers_.back().get()](std::string_view bytes, endpoint source)
            { handle(*w, bytes, source); });
    }
    socket_.start(std::move(handlers));
}

void packet_plane::stop()
{
    socket_.stop();
}

template<class F>
void packet_plane::with_pool(pool_id id, F&& f)
{
    pools_.with_shard(std::hash<pool_id>{}(id),
                      [&](pool_map& map)
                      {
                          std::unique_ptr<pool>& p = map[id];
                          if (!p)
                          {
                              std::uint32_t serial = 0;
                              std::uint32_t seed = 0;
                              {
                                  std::lock_guard const lock(random_mutex_);
                                  serial = static_cast<std::uint32_t>(random_());
                                  seed = static_cast<std::uint32_t>(random_());
                              }
                              p = std::make_unique<pool>(id, context_.self, serial, seed);
                              p->update(context_.table.get(), monotonic_now());
                              if (shutting_down_)
                                  p->begin_shutdown();
                          }
                          f(*p);
                      });
}

void packet_plane::handle(worker& w, std::string_view bytes, endpoint source)
{
    auto decoded = w.codec.decode(bytes);
    if (!decoded)
    {
        (bytes.size() > max_packet_bytes ? oversized_counter_ : malformed_counter_)
            .fetch_add(1, std::memory_order_relaxed);
        return;
    }
    time_point const now = monotonic_now();
    w.table.refresh();
    w.view.refresh();
    w.ramp.refresh();
    std::uint64_t const key = hash_pair(decoded->caller.packed(), decoded->request.value);
    route const r = router_.decide(*decoded, source, *w.table, *w.view, *w.ramp, key, now);
    action_counters_[static_cast<std::size_t>(r.action)]->fetch_add(1, std::memory_order_relaxed);
    execute(w, r, *decoded, source, key, now);
}

void packet_plane::execute(worker& w, route const& r, packet_view& p, endpoint source,
                           std::uint64_t key, time_point now)
{
    w.outgoing.clear();
    switch (r.action)
    {
    case route_action::drop:
        drop_counters_[static_cast<std::size_t>(r.reason)]->fetch_add(1, std::memory_order_relaxed);
        return;
    case route_action::to_host:
        ++p.hops;
        return forward(w, p, r.to);
    case route_action::to_upstream:
    case route_action::to_caller:
        return forward(w, p, r.to);
    case route_action::reply:
        p.kind = r.reply;
        p.status = r.status;
        p.payload = {};
        return forward(w, p, r.to);
    case route_action::local_fallback_open:
        return open_without_holder(w, p, r);
    case route_action::local_open:
    {
        // Without the lease, streams and uploads are opened by open_without_holder(). The pool
        // itself refuses new request flows then.
        bool held = true;
        with_pool(r.pool,
                  [&](pool& target)
                  {
                      held = p.flow == flow_kind::request || target.holds_lease(now);
                      if (held)
                          target.on_open(p, now, w.outgoing);
                      send_pool_output(w);
                  });
        if (!held)
            open_without_holder(w, p, router::fallback_open(p, *w.table, r.pool, key));
        return;
    }
    case route_action::local_request:
        return with_pool(r.pool,
                         [&](pool& target)
                         {
                             target.on_request(p, r.id, now, w.outgoing);
                             send_pool_output(w);
                         });
    case route_action::local_cancel:
        return with_pool(r.pool,
                         [&](pool& target)
                         {
                             target.on_cancel(p, r.id, now, w.outgoing);
                             send_pool_output(w);
                         });
    case route_action::local_answer:
        return with_pool(r.pool,
                         [&](pool& target)
                         {
                             target.on_answer(p, source, now, w.outgoing);
                             send_pool_output(w);
                         });
    case route_action::local_close:
        with_pool(r.pool, [&](pool& target) { target.on_close(r.id); });
        if (r.to.is_set())
            forward(w, p, r.to);
        return;
    }
}

// Opens a stream or upload while no host holds the pool's lease, or refuses it if `r` has no
// upstream. The flow id identifies the upstream, so the flow can be opened without the lease.
void packet_plane::open_without_holder(worker& w, packet_view const& p, route const& r)
{
    packet_view answer = p;
    answer.payload = {};
    upstream_config const* const u =
        r.action == route_action::local_fallback_open ? w.table->find(r.upstream) : nullptr;
    if (u == nullptr)
    {
        answer.kind = packet_kind::refused;
        answer.status =
            r.action == route_action::reply ? r.status : packet_status::not_run_no_upstream;
        return forward(w, answer, p.caller);
    }
    encoded_flow_id const id = issuer_.stream(p.flow, *u, *w.table);
    answer.kind = packet_kind::opened;
    answer.status = packet_status::ok;
    answer.flow_id = as_view(id);
    forward(w, answer, p.caller);
}

void packet_plane::forward(worker& w, packet_view const& p, endpoint to)
{
    std::string_view const bytes = w.codec.encode(p);
    if (bytes.empty())
    {
        oversized_counter_.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    socket_.send(to, bytes);
}

// Must be called with the pool's shard locked, because the packets reference memory of the pool.
void packet_plane::send_pool_output(worker& w)
{
    for (send_packet const& s : w.outgoing)
        forward(w, s.packet, s.to);
}

void packet_plane::tick(time_point now)
{
    pools_.for_each(
        [&](pool_map& map)
        {
            for (auto it = map.begin(); it != map.end();)
            {
                tick_worker_.outgoing.clear();
                it->second->tick(now, tick_worker_.outgoing);
                send_pool_output(tick_worker_);
                ++it;
            }
        });
}

void packet_plane::table_changed(time_point now)
{
    routing_table_ptr const table = context_.table.get();
    pools_.for_each(
        [&](pool_map& map)
        {
            for (auto& [id, p] : map)
                p->update(table, now);
        });
}

void packet_plane::set_lease(pool_id id, std::optional<time_point> valid_until)
{
    with_pool(id, [&](pool& p) { p.set_lease(valid_until); });
}

void packet_plane::accept(pool_handover const& h, time_point now)
{
    with_pool(h.pool, [&](pool& p) { p.accept_handover(h, now); });
}

pool_handover packet_plane::hand_over(pool_id id, time_point now)
{
    pool_handover h;
    with_pool(id, [&](pool& p) { h = p.hand_over(now); });
    return h;
}

void packet_plane::begin_shutdown()
{
    shutting_down_ = true;
    pools_.for_each(
        [](pool_map& map)
        {
            for (auto& [id, p] : map)
                p->begin_shutdown();
        });
}

void packet_plane::notify_callers(time_point now)
{
    worker w(context_);
    pools_.for_each(
        [&](pool_map& map)
        {
            for (auto& [id, p] : map)
            {
                w.outgoing.clear();
                p->notify_callers(now, w.outgoing);
                send_pool_output(w);
            }
        });
}

bool packet_plane::idle()
{
    bool idle = true;
    pools_.for_each(
        [&](pool_map& map)
        {
            for (auto& [id, p] : map)
                idle = idle && p->idle();
        });
    return idle;
}

std::vector<std::pair<pool_id, pool_stats>> packet_plane::pools()
{
    std::vector<std::pair<pool_id, pool_stats>> all;
    pools_.for_each(
        [&](pool_map& map)
        {
            for (auto& [id, p] : map)
                all.emplace_back(id, p->stats());
        });
    return all;
}

pool_stats packet_plane::totals()
{
    pool_stats sum;
    for (auto const& [id, s] : pools())
    {
        sum.opened += s.opened;
        sum.opens_refused += s.opens_refused;
        sum.offered += s.offered;
        sum.duplicate_requests += s.duplicate_requests;
        sum.attempts += s.attempts;
        sum.retries += s.retries;
        sum.probes += s.probes;
        sum.shed_attempts += s.shed_attempts;
        sum.timeouts += s.timeouts;
        sum.answered += s.answered;
        sum.not_run += s.not_run;
        sum.outcome_unknown += s.outcome_unknown;
        sum.deadline_exceeded += s.deadline_exceeded;
        sum.cancelled += s.cancelled;
        sum.late_answers += s.late_answers;
        sum.mismatched_answers += s.mismatched_answers;
        sum.misrouted += s.misrouted;
        sum.queued += s.queued;
        sum.outstanding += s.outstanding;
        sum.flows += s.flows;
        sum.ledger_entries += s.ledger_entries;
        sum.ledger_bytes += s.ledger_bytes;
        sum.limit += s.limit;
    }
    return sum;
}

} // namespace chivelever
