// Admission and execution for one pool on its holder.
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

// Counters since the start, and the present state.
struct pool_stats
{
    std::uint64_t opened{};          // flows issued
    std::uint64_t opens_refused{};   // no upstream, no lease or no connection left
    std::uint64_t offered{};         // requests, repeats not counted
    std::uint64_t repeats{};         // answered from the ledger, or already running
    std::uint64_t attempts{};        // requests sent to upstreams
    std::uint64_t retries{};         // of these, after an earlier attempt
    std::uint64_t probes{};          // of these, at an upstream after a failure
    std::uint64_t sheds{};           // shed answers
    std::uint64_t time_outs{};       // attempts without an answer in time
    std::uint64_t answered{};        // requests answered by an upstream
    std::uint64_t not_run{};         // requests refused, nothing ran
    std::uint64_t outcome_unknown{}; // non-idempotent requests that may have run
    std::uint64_t deadline_exceeded{};
    std::uint64_t cancelled{};
    std::uint64_t late_answers{};    // for an attempt that is over
    std::uint64_t crossed_answers{}; // from another source, service or flow than the attempt's
    std::uint64_t misrouted{};       // packets of another pool
    std::size_t queued{};
    std::size_t outstanding{}; // attempts in progress, adopted ones included
    std::size_t flows{};       // open streams and uploads
    std::size_t ledger_entries{};
    std::size_t ledger_bytes{};
    std::size_t limit{}; // sum over upstreams that take new work
};

// Issues flows to the upstreams of its pool and runs request flows in one queue. Acts only under a
// lease. Packets in `out` point into the pool or the packet handled, and are valid until the next
// call. All flow ids that are handed in have been verified, and are of this pool.
class pool
{
public:
    // first_serial and attempt_seed are random, so that ids of an earlier run do not recur.
    pool(pool_id id, host_instance self, std::uint32_t first_serial, std::uint32_t attempt_seed,
         ledger_limits limits = {});
    pool(pool const&) = delete;
    pool& operator=(pool const&) = delete;

    void update(table_ptr table, time_point now);
    // The lease ends at valid_until unless renewed; nothing means that it was lost or given back.
    void set_lease(std::optional<time_point> valid_until);

    // Issues a flow id to the caller, or refuses.
    void on_open(packet_view const& p, time_point now, std::vector<send_packet>& out);
    void on_request(packet_view const& p, flow_id const& flow, time_point now,
                    std::vector<send_packet>& out);
    void on_cancel(packet_view const& p, flow_id const& flow, time_point now,
                   std::vector<send_packet>& out);
    void on_close(flow_id const& flow);
    void on_answer(packet_view const& p, endpoint source, time_point now,
                   std::vector<send_packet>& out);
    // Expiry, time-outs, retries and probes; to be called at least every 10 ms.
    void tick(time_point now, std::vector<send_packet>& out);

    // The outstanding work for the successor. Nothing is dispatched from here on, until set_lease
    // gives a lease again.
    pool_handover hand_over(time_point now);
    // Counts the previous holder's work as occupied until it has ended.
    void accept(pool_handover const& h, time_point now);
    // Refuses new flows and requests; those that are queued or running still finish.
    void begin_shutdown() { shutting_down_ = true; }

    // Tells the callers of the request flows issued here to open others, before this host stops.
    // Without this, a caller learns of it from an outcome_unknown.
    void notify_callers(time_point now, std::vector<send_packet>& out);

    // No request is queued or in progress.
    bool idle() const { return queue_.empty() && attempts_.empty(); }
    // Idle, and every request flow id that was issued here has expired. A pool may be destroyed
    // only then, or with its process: the ledger is what keeps repeats from running.
    bool forgettable(time_point now) const { return idle() && now >= last_expiry_; }
    bool holds_lease(time_point now) const { return lease_ && now < *lease_; }
    pool_id id() const { return id_; }
    pool_stats stats() const;

private:
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    struct upstream
    {
        upstream_config config;
        upstream_limit limit;
        bool takes_work{};
        double weight{1};
        std::uint32_t outstanding{}; // own attempts
        std::uint32_t adopted{};     // attempts of the previous holder
        time_point adopted_until;
        std::uint32_t flows{};
        std::uint32_t adopted_flows{}; // opened by the previous holder
        time_point last_sent{time_point::min()};
        time_point answered_sent{time_point::min()}; // when the latest answered attempt was sent
        time_point joined;
        std::uint32_t opens_since_pick{}; // opens in the pool since the last one here
        std::uint32_t occupied() const { return outstanding + adopted; }
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
        bool cancel{};
        bool attempted{};
        // Attempts sent that were not explicitly refused; one more if another executor may have
        // sent any before it died.
        std::uint32_t unshed{};
        duration offered{}; // time to the deadline at arrival
        std::string payload;
    };
    struct attempt
    {
        std::uint32_t request{none}; // none once its request has gone on without it
        std::uint32_t upstream{};    // index
        endpoint address;
        encoded_flow_id encoded{};
        time_point sent;
        time_point patience; // idempotent requests are retried elsewhere after this
        time_point deadline; // as the upstream was told
        bool judged{};       // the upstream's limit has taken the time-out into account
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

    // Table and flows (pool.cpp).
    std::uint32_t index_of(upstream_id id) const;
    void refresh(upstream_config const& u, time_point now);
    std::uint32_t pick_for_flow(time_point now) const;
    encoded_flow_id issue(flow_kind kind, upstream const* u, time_point now);
    void send_opened(packet_view const& p, encoded_flow_id const& id,
                     std::vector<send_packet>& out);
    void expire_flows(time_point now);
    std::int64_t effective_setting(setting key) const;

    // Requests (pool_requests.cpp).
    bool is_mine(packet_view const& p, flow_id const& flow);
    bool own_and_valid(flow_id const& flow, time_point now) const;
    time_point expiry_of(flow_id const& flow, time_point now) const;
    std::optional<packet_status> refusal(packet_view const& p, time_point now) const;
    bool any_takes_work() const;
    std::uint32_t store(packet_view const& p, flow_key const& flow, time_point now);
    void reply(packet_view const& to, packet_status status, std::string_view payload,
               std::vector<send_packet>& out);
    void finish(std::uint32_t slot, packet_status status, std::string_view payload,
                std::vector<send_packet>& out);
    void finish_unanswered(std::uint32_t slot, packet_status not_run,
                           std::vector<send_packet>& out);

    // Queue and attempts (pool_dispatch.cpp).
    struct assignment
    {
        std::size_t position{}; // in the queue
        std::uint32_t upstream{};
    };
    void refuse_overflow(std::vector<send_packet>& out);
    void end_tenure(time_point now);
    void dispatch(time_point now, std::vector<send_packet>& out);
    std::optional<assignment> next_assignment(time_point now) const;
    std::uint32_t pick_for_request(bool probing, time_point now) const;
    bool hopeless(request const& r, time_point now) const;
    bool may_dispatch(time_point now) const;
    void send_attempt(std::uint32_t slot, std::uint32_t upstream, time_point now,
                      std::vector<send_packet>& out);
    void send_cancel(std::uint64_t id, attempt const& a, std::vector<send_packet>& out) const;
    bool retry(std::uint32_t slot, time_point now);
    void handle_answer(std::uint32_t slot, packet_view const& p, time_point now,
                       std::vector<send_packet>& out);
    void check_attempts(time_point now, std::vector<send_packet>& out);
    void check_attempt(std::uint64_t id, attempt& a, time_point now, std::vector<send_packet>& out);
    void judge_time_out(attempt& a, time_point now);
    void take_answer(upstream& u, time_point sent, time_point now);
    void clean_queue(time_point now, std::vector<send_packet>& out);
    std::optional<duration> median_of(upstream const& u) const;

    pool_id id_;
    host_instance self_;
    std::uint32_t first_serial_;
    std::uint32_t next_serial_;
    std::uint32_t oldest_counted_; // serial number of the oldest counted flow
    std::uint64_t next_attempt_;
    table_ptr table_;
    std::optional<time_point> lease_;
    bool tenure_{}; // the lease has been held since the limits were last reset
    bool shutting_down_{};
    time_point last_expiry_{time_point::min()};
    time_point last_flow_expiry_{};
    duration recent_median_{}; // latest median of any upstream; until one is known, a mean
    bool median_known_{};

    std::vector<upstream> upstreams_; // an index stays in use while attempts or flows name it
    std::unordered_map<std::uint32_t, counted_flow> flows_; // by serial number
    std::unordered_map<std::uint64_t, recent_open> recent_opens_;
    std::deque<issued_request_flow> request_flows_; // in order of issue, expired ones dropped
    climb_guard climb_;
    ledger ledger_;
    retry_budget budget_;
    std::deque<request> requests_; // stable addresses; slots are reused
    std::vector<std::uint32_t> free_requests_;
    std::deque<std::uint32_t> queue_;
    std::unordered_map<std::uint64_t, attempt> attempts_; // by attempt id
    std::vector<std::uint64_t> due_;                      // reused by check_attempts
    encoded_flow_id issued_{};                            // the id that the last `opened` carries
    pool_stats stats_;
};

} // namespace chivelever

#endif
