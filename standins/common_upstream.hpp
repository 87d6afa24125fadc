// One upstream of the upstream stand-in: slots for requests, pushed streams, uploads, cold start
// and faults on command.
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
    std::uint64_t warm_answers{}; // answers that end a cold start
    double service_ms{};
    std::string distribution;
};

// Runs of each order over all upstreams, so that a repetition at another upstream is seen too.
struct run_register
{
    std::unordered_map<std::uint64_t, std::uint32_t> runs; // orders that must not be repeated
    std::uint64_t doubled{};
};

class upstream
{
public:
    upstream(asio::io_context& io, alarms& timers, run_register& orders, upstream_settings settings,
             std::uint64_t seed);

    // cold, drain, die, return, mislead, honest, slow. False if the command is unknown.
    bool command(std::string_view name, double value);
    json::object report() const;
    // What the upstream says about itself; wrong after "mislead".
    json::object health() const;
    upstream_settings const& settings() const { return settings_; }

private:
    struct counters
    {
        std::uint64_t requests{}, runs{}, answers{}, shed{}, overloads{}, cancelled{}, expired{},
            misrouted{}, undecodable{}, repeated_attempts{}, streams{}, uploads{},
            connection_overloads{}, pushed{}, resent{}, cold_surplus{}, max_outstanding{};
    };
    struct attempt_key
    {
        std::uint64_t source{};
        std::uint64_t request{};
        auto operator<=>(attempt_key const&) const = default;
    };
    struct attempt
    {
        alarms::handle end;
        std::string flow_id;
        std::string payload;
        endpoint caller;
    };
    struct flow
    {
        flow_kind kind{};
        endpoint source; // of the latest packet
        endpoint caller;
        steady::time_point heard;
        // Stream: numbers below `base` are acknowledged, `sent` has the times of those from base
        // on.
        std::uint32_t base{};
        std::deque<steady::time_point> sent;
        std::uint32_t count{}; // 0: without end
        steady::duration interval{};
        // Upload: the digest covers the packets below `base` in order; those above it wait.
        std::uint64_t digest{};
        std::map<std::uint32_t, std::string> ahead;
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
    void push_next(std::string const& id, std::uint64_t life);
    void push(std::string const& id, flow const& f, std::uint32_t sequence);
    void reply(endpoint to, packet_view const& p);
    void check_service(packet_view const& p);
    void turn_cold(bool without_warning);
    void fall_over();
    void drop_work();
    steady::duration service_time();

    asio::io_context& io_;
    alarms& alarms_;
    run_register& orders_;
    upstream_settings settings_;
    std::mt19937_64 random_;
    packet_codec codec_;
    packet_codec reply_codec_;
    std::unique_ptr<udp_socket> socket_;
    std::map<attempt_key, attempt> running_;
    std::unordered_map<std::string, flow> flows_;
    counters count_;
    std::uint64_t life_{}; // raised when work is dropped, so that old alarms do nothing
    bool cold_{true};
    bool draining_{};
    bool misleading_{};
    double slow_factor_{1};
    std::uint64_t cold_answers_{};
    std::optional<steady::time_point> surplus_until_; // sheds instead of falling over
    bool unannounced_{};
    steady::time_point silent_until_{};
};

} // namespace chivelever::standins

#endif
