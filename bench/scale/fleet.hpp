// Simulates a fleet of hosts in one process and in virtual time. Runs the production membership,
// leases and peer codec over in-memory channels and models the propagation of configuration
// changes. Counts bytes, messages and CPU time of each host.
#ifndef CHIVELEVER_BENCH_SCALE_FLEET_HPP
#define CHIVELEVER_BENCH_SCALE_FLEET_HPP

#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"

#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace chivelever::scale
{

struct fleet_options
{
    std::size_t nodes = 9;
    std::size_t zones = 3;
    std::size_t pools = 47;
    std::uint64_t seed = 1;
    double loss = 0.001;            // share of datagrams
    std::size_t change_bytes = 350; // size of one configuration change as JSON
    membership_settings member;
    lease_settings lease;
};

// Traffic and CPU time of one host since the last reset.
struct host_counters
{
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
    std::uint64_t messages_sent{};
    std::uint64_t messages_received{};
    std::uint64_t lease_bytes{}; // sent and received, included above
    std::uint64_t pull_bytes{};  // sent and received, included above
    std::uint64_t store_calls{};
    std::int64_t busy_ns{};
};

// Mean, median, 99th percentile and maximum.
struct summary_statistics
{
    double mean{};
    double p50{};
    double p99{};
    double max{};
    static summary_statistics of(std::vector<double> values);
};

class fleet
{
public:
    explicit fleet(fleet_options options);
    ~fleet();

    void run_for(duration d);
    void reset_counters();
    duration since_reset() const { return now_ - reset_at_; }
    std::vector<host_counters> counts() const;

    // Accepts a configuration change at the store and returns the seconds until each running host
    // has applied it, at most 30.
    std::vector<double> measure_change_propagation();
    // Crashes a host and returns the seconds until each running host of the same zone, or of the
    // other zones, considers it dead; -1 if that takes longer than `limit`.
    std::vector<double> crash(std::size_t index, bool same_zone, duration limit);
    void start(std::size_t index);
    // Starts a rolling restart with this interval; zero stops it.
    void restart_every(duration interval)
    {
        restart_interval_ = interval;
        next_restart_ = now_ + interval / 2;
    }

    std::size_t nodes() const { return nodes_.size(); }
    std::size_t running() const;
    // Mean share of pools with a holder since the reset, sampled every 250 ms.
    double pools_held() const;
    double min_pools_held() const { return min_held_; }
    std::uint64_t restarts() const { return restarts_; }
    std::uint64_t false_suspicions() const { return false_suspicions_; }

private:
    struct node;
    struct event;
    void schedule(duration when, std::function<void()> what);
    void run_timer(std::size_t index, std::uint32_t start_count);
    void send(node& from, host_id to, peer_message const& m);
    void deliver(std::size_t to, std::string const& bytes);
    void handle(node& n, peer_message const& m);
    void send_heartbeats(node& n, outgoing_heartbeats const& heartbeats);
    void start_pull_if_behind(node& n);
    void finish_pull(std::size_t index, std::uint32_t start_count, std::size_t from);
    void apply(node& n, revision r);
    void poll_store(node& n);
    void restart_next_host();
    void sample();
    time_point local_time(node const& n) const;

    fleet_options options_;
    std::mt19937_64 random_;
    peer_codec codec_;
    host_list list_;
    std::vector<std::vector<pool_id>> zone_pools_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::priority_queue<event, std::vector<event>, std::greater<>> queue_;
    duration now_{};
    duration reset_at_{};
    std::uint64_t next_event_order_{};
    revision store_revision_{1};
    duration restart_interval_{};
    duration next_restart_{};
    std::size_t next_to_restart_{};
    std::uint64_t restarts_{};
    std::uint64_t false_suspicions_{};
    double held_share_sum_{};
    std::uint64_t held_samples_{};
    double min_held_{1};
};

} // namespace chivelever::scale

#endif
