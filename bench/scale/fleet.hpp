// A fleet of hosts in one process and in virtual time: the real membership, leases and peer codec
// over in-memory channels, and the rule by which configuration changes spread. Counts bytes,
// messages and processor time of each host.
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
    double loss = 0.001;            // of datagrams
    std::size_t change_bytes = 350; // one configuration change as JSON
    membership_settings member;
    lease_settings lease;
};

// What one host sent, received and computed since the last reset.
struct node_counts
{
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
    std::uint64_t messages_sent{};
    std::uint64_t messages_received{};
    std::uint64_t lease_bytes{}; // sent and received, part of the above
    std::uint64_t pull_bytes{};  // likewise
    std::uint64_t store_calls{};
    std::int64_t busy_ns{};
};

// Mean, 99th percentile and maximum.
struct spread
{
    double mean{};
    double p50{};
    double p99{};
    double max{};
    static spread of(std::vector<double> values);
};

class fleet
{
public:
    explicit fleet(fleet_options options);
    ~fleet();

    void run_for(duration d);
    void reset_counters();
    duration since_reset() const { return now_ - reset_at_; }
    std::vector<node_counts> counts() const;

    // Accepts a configuration change at the store; returns the seconds until each running host has
    // it.
    std::vector<double> change();
    // Crashes a host and returns the seconds until each running host of the same zone, or of the
    // other zones, takes it for dead; -1 if it does not within the time given.
    std::vector<double> crash(std::size_t index, bool same_zone, duration limit);
    void start(std::size_t index);
    // Drains and restarts the hosts in turn at this interval from now on; zero stops it.
    void restart_every(duration interval)
    {
        restart_interval_ = interval;
        next_restart_ = now_ + interval / 2;
    }

    std::size_t nodes() const { return nodes_.size(); }
    std::size_t running() const;
    // Share of pools with a holder, sampled every 250 ms since the reset.
    double pools_held() const;
    double smallest_pools_held() const { return smallest_held_; }
    std::uint64_t restarts() const { return restarts_; }
    std::uint64_t false_suspicions() const { return false_suspicions_; }

private:
    struct node;
    struct event;
    void at(duration when, std::function<void()> what);
    void step(std::size_t index, std::uint32_t life);
    void send(node& from, host_id to, peer_message const& m);
    void deliver(std::size_t to, std::string const& bytes);
    void handle(node& n, peer_message const& m);
    void send_beats(node& n, outgoing_heartbeats const& beats);
    void consider_pull(node& n);
    void finish_pull(std::size_t index, std::uint32_t life, std::size_t from);
    void apply(node& n, revision r);
    void watch(node& n);
    void begin_restart();
    void sample();
    time_point local(node const& n) const;

    fleet_options options_;
    std::mt19937_64 random_;
    peer_codec codec_;
    host_list list_;
    std::vector<std::vector<pool_id>> zone_pools_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::priority_queue<event, std::vector<event>, std::greater<>> queue_;
    duration now_{};
    duration reset_at_{};
    std::uint64_t order_{};
    revision store_revision_{1};
    duration restart_interval_{};
    duration next_restart_{};
    std::size_t next_to_restart_{};
    std::uint64_t restarts_{};
    std::uint64_t false_suspicions_{};
    double held_sum_{};
    std::uint64_t held_samples_{};
    double smallest_held_{1};
};

} // namespace chivelever::scale

#endif
