// One host on the platform: connects the decisions to sockets, the store, other hosts, logs and
// metrics. It runs on one thread; see docs/notes/platform.md.
#ifndef CHIVELEVER_EDGE_EDGE_HOST_HPP
#define CHIVELEVER_EDGE_EDGE_HOST_HPP

#include "platform/platform.hpp"
#include "transport/transport.hpp"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chivelever
{

// Where a host serves its view to other hosts.
inline constexpr std::string_view view_path = "/view";

class edge_host
{
public:
    edge_host(boost::asio::io_context& io, edge_settings settings, std::string settings_file,
              std::uint16_t metrics_port);
    edge_host(edge_host const&) = delete;
    edge_host& operator=(edge_host const&) = delete;

    void start();

private:
    // Packets (edge_packets.cpp).
    void on_packet(std::string_view bytes);
    void carry_out(packet_decision const& d, std::string_view packet, time_point now);
    metrics::counter& packet_counter(packet_action action, packet_reason reason);
    void log_decision(packet_decision const& d, std::string_view packet, time_point now);
    void log_suspicion(packet_decision const& d);
    void offer_again();
    void arm_offers();
    void report_overload();
    void start_probes();
    boost::asio::awaitable<void> probe(flow_token upstream);

    // Knowledge (edge_knowledge.cpp).
    boost::asio::awaitable<void> read_store_forever();
    boost::asio::awaitable<bool> read_store();
    // All items of a section, or why they could not be read.
    struct section_reading
    {
        std::vector<platform::stored_item> items;
        std::uint64_t as_of{};
        std::string failure;
    };
    boost::asio::awaitable<section_reading> read_section(http_connection& connection,
                                                         platform::section s, bool may_be_stale);
    boost::asio::awaitable<void> keep_directory();
    boost::asio::awaitable<bool> take_directory_step(directory_step step,
                                                     http_connection& connection);
    boost::asio::awaitable<bool> read_directory(http_connection& connection);
    boost::asio::awaitable<void> fetch_view();
    void report_changes(bool applied, std::vector<belief_change> const& changes,
                        std::string const& source, std::uint64_t as_of);
    boost::asio::awaitable<bool> fetch_from(endpoint source, std::uint64_t as_of);
    void on_beat(std::string_view bytes, endpoint source);
    void send_beats(bool all);
    void note_store(bool reachable, std::string const& detail);
    void log_findings(findings const& problems);

    // Life (edge_host.cpp).
    http_response answer(http_request const& call);
    bool ready(time_point now);
    void start_timers();
    void add_gauges();
    void wait_for_signal();
    void leave();
    void check_settings();
    void reload(std::string const& text);

    boost::asio::io_context& io_;
    edge_settings settings_;
    std::string settings_file_;
    std::string settings_text_;
    std::uint16_t metrics_port_;
    time_point started_;

    metrics metrics_;
    std::array<std::array<metrics::counter*, packet_reason_count>, packet_action_count>
        packet_counters_{};
    loop_timers timers_;
    deployment_view view_;
    flow_table flows_;
    upstream_health health_;
    placement placement_;
    peer_exchange peers_;
    host_directory directory_;
    fleet_picture fleet_;
    overload_control overload_;
    edge_router router_;

    http_connection store_;
    std::unique_ptr<loop_udp> packets_;
    std::unique_ptr<loop_udp> beats_;
    std::vector<std::unique_ptr<http_listener>> listeners_;
    std::vector<loop_timers::subscription> subscriptions_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer offer_timer_;
    time_point offers_armed_for_{};
    bool fetching_{};
    bool leaving_{};  // not ready any more, but forwards on
    bool stopping_{}; // the last beat is due
    time_point leaving_since_{};
    time_point last_packet_{};
    std::map<std::string, double> overloaded_; // services, as reported
    std::optional<bool> store_reachable_;
    std::optional<bool> was_ready_;
    std::map<std::string, std::uint64_t> logged_findings_; // kind of finding -> times seen
};

} // namespace chivelever

#endif
