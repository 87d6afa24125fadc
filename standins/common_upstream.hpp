// A simulated upstream: request slots, streams, uploads, cold start and faults on command.
#ifndef CHIVELEVER_STANDINS_COMMON_UPSTREAM_HPP
#define CHIVELEVER_STANDINS_COMMON_UPSTREAM_HPP

#include "protocol/protocol.hpp"
#include "standins/common.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace chivelever::standins
{

struct upstream_settings
{
    upstream_id id;
    service_id service;
    endpoint address;
    std::size_t slots{};
    std::size_t connections{};
    std::uint64_t warm_answers{}; // answers until warm
    double service_ms{};
    std::string distribution;
};

// Counts the runs of each operation over all upstreams, to detect a duplicate at another upstream.
struct execution_register
{
    std::unordered_map<std::uint64_t, std::uint32_t>
        runs; // by operation id; non-idempotent operations only
    std::uint64_t duplicates{};
};

class upstream
{
public:
    upstream(asio::io_context& io, timer_queue& timers, execution_register& executions,
             upstream_settings settings, std::uint64_t seed);

    // cold, drain, die, return, mislead, honest, slow. Returns false if the command is unknown.
    bool command(std::string_view name, double value);
    json::object report() const;
    // Health as reported by the upstream; false after "mislead".
    json::object health() const;
    upstream_settings const& settings() const { return settings_; }

private:
    struct counters
    {
        std::uint64_t requests{}, runs{}, answers{}, shed{}, overloads{}, cancelled{}, expired{},
            misrouted{}, undecodable{}, repeated_attempts{}, streams{}, uploads{},
            connection_overloads{}, stream_packets_sent{}, resent{}, cold_excess{},
            max_outstanding{};
    };
    struct attempt_key
    {
        std::uint64_t source{};
        std::uint64_t request{};
        auto operator<=>(attempt_key const&) const = default;
    };
    struct attempt
    {
        timer_queue::handle end;
        std::string flow_id;
        std::string payload;
        endpoint caller;
    };
    struct flow
    {
        flow_kind kind{};
        endpoint source; // of the latest packet
        endpoint caller;
        steady::time_point last_received;
        // Stream: numbers below `base` are acknowledged, `sent` holds the send times of those from
        // base on.
        std::uint32_t base{};
        std::deque<steady::time_point> sent;
        std::uint32_t count{}; // 0: unlimited
        steady::duration interval{};
        // Upload: the digest covers the packets below `base` in order; later packets are buffered.
        std::uint64_t digest{};
        std::map<std::uint32_t, std::string> out_of_order;
        std::optional<std::uint32_t> last;
        bool complete{};
    };

    void open_socket();
    void handle(endpoint from, std::string_view bytes);
    void on_request(endpoint from, packet_view const& p);
    bool admit(endpoint from, packet_view const& p);
    void start(endpoint from, packet_view const& p);
    void finish(attempt_key const& key, packet_status status);
    void on_cancel(endpoint from, packet_view const& p);
    void on_data(endpoint from, packet_view const& p);
    void on_stream(std::string const& id, flow& f, packet_view const& p);
    void on_upload(std::string const& id, flow& f, packet_view const& p);
    void send_next_stream_packet(std::string const& id, std::uint64_t generation);
    void send_stream_packet(std::string const& id, flow const& f, std::uint32_t sequence);
    void reply(endpoint to, packet_view const& p);
    void check_service(packet_view const& p);
    void restart_cold(bool unannounced);
    void crash();
    void drop_work();
    steady::duration service_time();

    asio::io_context& io_;
    timer_queue& timers_;
    execution_register& executions_;
    upstream_settings settings_;
    std::mt19937_64 random_;
    packet_codec codec_;
    packet_codec reply_codec_;
    std::unique_ptr<udp_socket> socket_;
    std::map<attempt_key, attempt> running_;
    std::unordered_map<std::string, flow> flows_;
    counters count_;
    std::uint64_t generation_{}; // incremented when work is dropped, to invalidate old timers
    bool cold_{true};
    bool draining_{};
    bool reports_false_health_{};
    double slow_factor_{1};
    std::uint64_t cold_answers_{};
    std::optional<steady::time_point> excess_grace_end_; // until then excess requests are shed
    bool unannounced_restart_{};
    steady::time_point unresponsive_until_{};
};

} // namespace chivelever::standins

#endif
