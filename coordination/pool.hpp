// Admission, queueing and dispatch of requests for one pool, on the host that holds its lease.
#ifndef CHIVELEVER_COORDINATION_POOL_HPP
#define CHIVELEVER_COORDINATION_POOL_HPP

#include "coordination/ledger.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/upstream_limit.hpp"
#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelever
{

// Cumulative counters since start, followed by current gauges.
struct pool_stats
{
    std::uint64_t opened{};             // flow ids issued
    std::uint64_t opens_refused{};      // no upstream, lease or free connection, or shutting down
    std::uint64_t offered{};            // requests, excluding repeats
    std::uint64_t duplicate_requests{}; // duplicates of requests in the ledger, finished or running
    std::uint64_t attempts{};           // requests sent to upstreams
    std::uint64_t retries{};       // attempts that follow an earlier attempt of the same request
    std::uint64_t probes{};        // attempts sent to an upstream in probing state after a failure
    std::uint64_t shed_attempts{}; // attempts that the upstream rejected with status shed
    std::uint64_t timeouts{};      // attempts that timed out
    std::uint64_t answered{};      // requests answered by an upstream
    std::uint64_t not_run{};       // requests refused without having run
    std::uint64_t outcome_unknown{}; // non-idempotent requests that may have run
    std::uint64_t deadline_exceeded{};
    std::uint64_t cancelled{};
    std::uint64_t late_answers{};       // answers to attempts that have already ended
    std::uint64_t mismatched_answers{}; // source, service or flow does not match the attempt
    std::uint64_t misrouted{};          // packets that belong to another pool
    std::size_t queued{};
    std::size_t outstanding{}; // attempts in progress, including inherited ones
    std::size_t flows{};       // open streams and uploads
    std::size_t ledger_entries{};
    std::size_t ledger_bytes{};
    std::size_t limit{}; // sum of the limits of upstreams that take new work
};

// Assigns flows to the upstreams of one pool and dispatches the requests of request flows from a
// single queue. Acts only while it holds the lease. Packets in `out` refer to memory of the pool or
// of the handled packet and stay valid until the next call. The caller has verified the flow ids
// that it passes in, and that they belong to this pool.
class pool
{
public:
    // first_serial and attempt_seed are random, so that ids of an earlier run are not reused.
    pool(pool_id id, host_instance self, std::uint32_t first_serial, std::uint32_t attempt_seed,
         ledger_limits limits = {});
    pool(pool const&) = delete;
    pool& operator=(pool const&) = delete;

    void update(routing_table_ptr table, time_point now);
    // The lease expires at valid_until unless renewed; nullopt means it was lost or released.
    void set_lease(std::optional<time_point> valid_until);

    // Sends a flow id or a refusal to the caller.
    void on_open(packet_view const& p, time_point now, std::vector<send_packet>& out);
    void on_request(packet_view const& p, flow_id const& flow, time_point now,
                    std::vector<send_packet>& out);
    void on_cancel(packet_view const& p, flow_id const& flow, time_point now,
                   std::vector<send_packet>& out);
    void on_close(flow_id const& flow);
    void on_answer(packet_view const& p, endpoint source, time_point now,
                   std::vector<send_packet>& out);
    // Handles expiry, timeouts, retries and probes. Must be called at least every 10 ms.
    void tick(time_point now, std::vector<send_packet>& out);

    // Describes the outstanding work for the next holder and gives up the lease. Nothing is
    // dispatched until set_lease provides a new one.
    pool_handover hand_over(time_point now);
    // Counts the previous holder's outstanding attempts as occupied upstream slots until they have
    // ended.
    void accept_handover(pool_handover const& h, time_point now);
    // Refuses new flows and requests; queued and running ones still finish.
    void begin_shutdown() { shutting_down_ = true; }

    // Tells the callers of request flows issued here to open new ones, before this host stops.
    // Without the notice, callers would learn of the stop from an outcome_unknown.
    void notify_callers(time_point now, std::vector<send_packet>& out);

    // Returns true if no request is queued or in progress.
    bool idle() const { return queue_.empty() && attempts_.empty(); }
    // Returns true if the pool is idle and all request flow ids issued here have expired.
    // Destroying it earlier, other than at process exit, would lose the ledger and let repeats run
    // again.
    bool safe_to_destroy(time_point now) const
    {
        return idle() && now >= last_request_flow_expiry_;
    }
    bool holds_lease(time_point now) const { return lease_ && now < *lease_; }
    pool_id id() const { return id_; }
    pool_stats stats() const;

private:
    static constexpr std::uint32_t no_index = std::numeric_limits<std::uint32_t>::max();

    struct upstream
    {
        upstream_config config;
        upstream_limit limit;
        bool takes_work{};
        double weight{1};
        std::uint32_t outstanding{}; // attempts sent by this host
        std::uint32_t inherited{};   // attempts sent by the previous holder
        time_point inherited_until;
        std::uint32_t flows{};
        std::uint32_t inherited_flows{}; // opened by the previous holder
        time_point last_sent{time_point::min()};
        // Sending time of the newest answered attempt.
        time_point last_answered_sent{time_point::min()};
        time_point joined_at;
        std::uint32_t opens_since_pick{}; // opens in the pool since this upstream was last picked
        std::uint32_t occupied() const { return outstanding + inherited; }
    };
    struct request
    {
        flow_key flow;
        encoded_flow_id encoded{};
        request_id id;
        endpoint caller;
        time_point deadline;
        std::uint64_t attempt{}; // 0 while queued
        bool idempotent{};
        bool cancel_requested{};
        bool attempted{};
        // Attempts sent and not shed by the upstream, plus one if a previous executor may have sent
        // any before it stopped.
        std::uint32_t possible_executions{};
        duration time_allowed{}; // time from arrival to the deadline
        std::string payload;
    };
    struct attempt
    {
        // Index into requests_; no_index once the request has ended or been requeued for a retry.
        std::uint32_t request{no_index};
        std::uint32_t upstream{}; // index into upstreams_
        endpoint address;
        encoded_flow_id encoded{};
        time_point sent;
        time_point timeout_at;   // from here on, an idempotent request may be retried
        time_point deadline;     // the deadline sent to the upstream
        bool timeout_recorded{}; // the timeout has been counted against the upstream
    };
    struct counted_flow
    {
        std::uint32_t upstream{};
        time_point opened;
    };
    struct issued_request_flow
    {
        time_point expires;
        endpoint caller;
        encoded_flow_id id{};
    };
    struct recent_open
    {
        encoded_flow_id id{};
        time_point opened;
    };

    // Routing table and flows (pool.cpp).
    std::uint32_t index_of(upstream_id id) const;
    void update_upstream(upstream_config const& u, time_point now);
    std::uint32_t pick_for_flow(time_point now) const;
    encoded_flow_id issue_flow_id(flow_kind kind, upstream const* u, time_point now);
    void send_opened(packet_view const& p, encoded_flow_id const& id,
                     std::vector<send_packet>& out);
    void expire_flows(time_point now);
    std::int64_t effective_setting(setting key) const;

    // Requests (pool_requests.cpp).
    bool matches_pool(packet_view const& p, flow_id const& flow);
    bool issued_here_and_valid(flow_id const& flow, time_point now) const;
    time_point expiry_of(flow_id const& flow, time_point now) const;
    std::optional<packet_status> refusal_reason(packet_view const& p, time_point now) const;
    bool any_upstream_takes_work() const;
    std::uint32_t store_request(packet_view const& p, flow_key const& flow, time_point now);
    void reply(packet_view const& to, packet_status status, std::string_view payload,
               std::vector<send_packet>& out);
    void finish(std::uint32_t slot, packet_status status, std::string_view payload,
                std::vector<send_packet>& out);
    void finish_unanswered(std::uint32_t slot, packet_status status_if_not_run,
                           std::vector<send_packet>& out);

    // Queue and attempts (pool_dispatch.cpp).
    struct assignment
    {
        std::size_t position{}; // index into queue_
        std::uint32_t upstream{};
    };
    void refuse_overflow(std::vector<send_packet>& out);
    void reset_after_lease_loss(time_point now);
    void dispatch(time_point now, std::vector<send_packet>& out);
    std::optional<assignment> next_assignment(time_point now) const;
    std::uint32_t pick_for_request(bool probing, time_point now) const;
    bool should_drop(request const& r, time_point now) const;
    bool may_dispatch(time_point now) const;
    void send_attempt(std::uint32_t slot, std::uint32_t upstream, time_point now,
                      std::vector<send_packet>& out);
    void send_cancel(std::uint64_t id, attempt const& a, std::vector<send_packet>& out) const;
    bool retry(std::uint32_t slot, time_point now);
    void handle_answer(std::uint32_t slot, packet_view const& p, time_point now,
                       std::vector<send_packet>& out);
    void check_attempts(time_point now, std::vector<send_packet>& out);
    void check_attempt(std::uint64_t id, attempt& a, time_point now, std::vector<send_packet>& out);
    void record_timeout(attempt& a, time_point now);
    void record_answer(upstream& u, time_point sent, time_point now);
    void purge_queue(time_point now, std::vector<send_packet>& out);
    std::optional<duration> expected_latency(upstream const& u) const;

    pool_id id_;
    host_instance self_;
    std::uint32_t first_serial_;
    std::uint32_t next_serial_;
    std::uint32_t oldest_counted_; // serial number of the oldest counted flow
    std::uint64_t next_attempt_;
    routing_table_ptr table_;
    std::optional<time_point> lease_;
    bool leased_since_reset_{}; // a lease was held since the limits were last reset
    bool shutting_down_{};
    time_point last_request_flow_expiry_{time_point::min()};
    time_point last_expire_flows_{};
    duration typical_latency_{}; // latest median of any upstream, or a moving mean until then
    bool typical_latency_is_median_{};

    std::vector<upstream>
        upstreams_; // an entry is reused only once no attempt or flow refers to it
    std::unordered_map<std::uint32_t, counted_flow> flows_; // by serial number
    std::unordered_map<std::uint64_t, recent_open> recent_opens_;
    std::deque<issued_request_flow> request_flows_; // in order of issue; expired ones are removed
    limit_raise_guard raise_guard_;
    ledger ledger_;
    retry_budget budget_;
    std::deque<request> requests_; // a deque keeps addresses stable; slots are reused
    std::vector<std::uint32_t> free_slots_;
    std::deque<std::uint32_t> queue_;
    std::unordered_map<std::uint64_t, attempt> attempts_; // by attempt id
    std::vector<std::uint64_t> timed_out_;                // scratch buffer of check_attempts
    encoded_flow_id last_issued_id_{}; // backs the flow id in the last `opened` packet
    pool_stats stats_;
};

} // namespace chivelever

#endif
