// Load of long-lived flows: streams sent by an upstream and uploads that it acknowledges.
#ifndef CHIVELEVER_STANDINS_COMMON_FLOWS_HPP
#define CHIVELEVER_STANDINS_COMMON_FLOWS_HPP

#include "standins/common_caller.hpp"

#include <memory>
#include <optional>
#include <set>

namespace chivelever::standins
{

struct flow_settings
{
    std::vector<service_id> stream_services;
    std::vector<service_id> upload_services;
    std::size_t streams{};
    std::uint32_t stream_rate{}; // packets per second in each stream
    std::size_t uploads{};       // concurrent
    std::size_t upload_total{};
    std::uint32_t upload_packets{};
    std::size_t upload_bytes{}; // of one packet
    double open_rate{};         // opens per second
};

class flow_load
{
public:
    flow_load(caller_port& port, flow_settings settings);

    void start();
    bool uploads_done() const
    {
        return uploads_started_ == settings_.upload_total && active_uploads_ == 0;
    }
    void finish(); // closes the streams
    json::object report() const;
    std::uint64_t broken() const { return count("streams_broken") + count("uploads_broken"); }
    std::uint64_t refused() const { return count("streams_refused") + count("uploads_refused"); }
    std::uint64_t count(std::string const& name) const;

private:
    struct long_lived_flow
    {
        service_id service;
        flow_kind kind{};
        std::size_t socket{};
        std::string id;
        bool ended{};
        steady::time_point last_received;
        std::optional<upstream_id> upstream;
        // Stream: next expected sequence number, later numbers received out of order, and the start
        // of the gap.
        std::uint32_t next_expected{};
        std::set<std::uint32_t> out_of_order;
        steady::time_point gap_since;
        steady::time_point gap_reported_at;
        // Upload: first unacknowledged sequence number, next to send, and time of the last
        // acknowledgement.
        std::uint32_t base{};
        std::uint32_t next{};
        steady::time_point last_progress;
        steady::time_point last_resend;
        std::uint64_t digest{};
        timer_queue::handle timer;
    };
    using flow_ptr = std::shared_ptr<long_lived_flow>;

    void open_streams(std::size_t left);
    void open_uploads();
    void open(service_id service, flow_kind kind);
    void on_open(flow_ptr const& f);
    void end(flow_ptr const& f, std::string const& reason); // empty if the flow completed
    void on_packet(flow_ptr const& f, packet_view const& p);
    void keep_alive(flow_ptr const& f);
    void send_acknowledgement(long_lived_flow const& f);
    void on_stream(flow_ptr const& f, packet_view const& p);
    void continue_upload(flow_ptr const& f);
    void fill_window(long_lived_flow& f);
    void send_upload_packet(long_lived_flow const& f, std::uint32_t sequence);
    void on_upload(flow_ptr const& f, packet_view const& p);

    caller_port& port_;
    flow_settings settings_;
    std::set<flow_ptr> flows_;
    std::size_t uploads_started_{};
    std::size_t active_uploads_{};
    bool finishing_{};
    counter_map counts_;
    counter_map reasons_;
    std::map<std::uint32_t, std::uint64_t> per_upstream_;
};

} // namespace chivelever::standins

#endif
