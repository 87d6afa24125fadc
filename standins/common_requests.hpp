// Request load: renews request flows, and sends requests at a fixed rate with retransmission,
// deadlines and a check of each answer.
#ifndef CHIVELEVER_STANDINS_COMMON_REQUESTS_HPP
#define CHIVELEVER_STANDINS_COMMON_REQUESTS_HPP

#include "standins/common_caller.hpp"

#include <memory>
#include <random>

namespace chivelever::standins
{

struct request_settings
{
    std::vector<service_id> services;
    std::uint64_t count{};
    double rate{};               // requests per second
    std::size_t flows{};         // request flows for each service
    std::uint32_t deadline_ms{}; // sent to the balancers
    double idempotent{};         // share
    double cancelled{};          // share
    std::size_t filler_bytes{};
};

class request_load
{
public:
    request_load(caller_port& port, request_settings settings, std::uint64_t seed);

    void start(); // opens the flows and starts to send
    bool done() const { return started_ == settings_.count && outstanding_ == 0; }
    bool ready() const { return open_flows_ == flows_.size(); }
    void stop() { settings_.count = started_; }
    json::object report() const;
    std::uint64_t count(std::string const& name) const;
    std::uint64_t refused() const { return count("refused"); }
    double quantile_ms(double probability) const;
    double throughput() const;

private:
    struct request_flow
    {
        service_id service;
        std::size_t socket{};
        std::string id; // empty while it is being opened
        steady::time_point opened_at;
        bool open_attempt{};
    };
    struct request
    {
        std::uint64_t operation_id{};
        std::uint64_t id{}; // new for each repetition after a not_run
        std::string flow_id;
        std::size_t flow{};
        bool idempotent{};
        bool sent{};
        std::string payload;
        steady::time_point started;
        steady::time_point deadline;
        timer_queue::handle retransmit;
    };
    using request_ptr = std::shared_ptr<request>;

    void open_flow(std::size_t index);
    void on_flow_packet(std::size_t index, std::string const& id, packet_view const& p);
    void renew_flow(std::size_t index, std::string const& old_id);
    void tick();
    void start_request();
    void assign(request_ptr const& r);
    void transmit(request_ptr const& r);
    void send_cancel(request_ptr const& r);
    void on_answer(request_ptr const& r, packet_view const& p);
    void on_ok(request_ptr const& r, packet_view const& p);
    void repeat(request_ptr const& r, char const* outcome_if_expired);
    void finish(request_ptr const& r, std::string const& outcome);

    caller_port& port_;
    request_settings settings_;
    std::mt19937_64 random_;
    std::vector<request_flow> flows_;
    std::size_t open_flows_{};
    std::size_t next_flow_{};
    std::uint64_t started_{};
    std::uint64_t outstanding_{};
    steady::time_point started_at_{};
    steady::time_point last_finish_{};
    counter_map counts_;
    counter_map statuses_;
    std::vector<std::uint64_t> per_second_;
    std::map<std::uint32_t, std::uint64_t> per_upstream_;

    struct latency;
    std::shared_ptr<latency> latency_;
};

} // namespace chivelever::standins

#endif
