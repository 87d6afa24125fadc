// One edge host on the platform: connects the routing logic to sockets, the store, other hosts,
// logs and metrics. Single-threaded; see docs/notes/platform.md.
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
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chivelever
{

// HTTP path on which a host serves its deployment view to other hosts.
inline constexpr std::string_view view_path = "/view";

class edge_host
{
public:
    edge_host(boost::asio::io_context& io, edge_settings settings, std::string settings_file,
              std::uint16_t metrics_port);
    edge_host(edge_host const&) = delete;
    edge_host& operator=(edge_host const&) = delete;

    void start();
    // Logs and counts an exception that ended a task of this host; the process goes on.
    void record_failed_task(std::string const& name, std::exception_ptr const& error);

private:
    // Packet processing (edge_packets.cpp).
    void on_packet(std::string_view bytes);
    void execute(packet_decision const& d, std::string_view packet, time_point now);
    metrics::counter& packet_counter(packet_action action, packet_reason reason);
    void log_decision(packet_decision const& d, std::string_view packet, time_point now);
    void log_opening(packet_decision const& d, time_point now);
    // Counts the decision of capacity_admission.
    void count_admission(packet_decision const& d);
    void log_suspicion(packet_decision const& d);
    void send_due_retries();
    void arm_retry_timer();
    void report_overload(time_point now);
    void add_capacity_gauges();
    void start_probes();
    boost::asio::awaitable<void> probe(std::vector<flow_token> upstreams);
    void report_probe(flow_token upstream, endpoint address, connection_outcome outcome,
                      probe_result result, time_point started);

    // Agreement with the zone on the upstreams of flows (edge_flows.cpp).
    void schedule_flow_report();
    void send_flow_report();
    void on_flow_report(std::string_view bytes, endpoint source);
    void report_flows_to(endpoint newcomer);

    // State synchronization with the store (edge_store.cpp) and other hosts (edge_sync.cpp).
    boost::asio::awaitable<void> read_store_loop();
    boost::asio::awaitable<bool> read_store();
    // All items of a section, or the reason for the failure to read them.
    struct section_result
    {
        std::vector<platform::stored_item> items;
        store_position as_of;
        std::string failure;
        bool outdated{}; // the response is of an earlier era than an earlier one of the same store
    };
    // Checks the era of a response; nullopt if the response must not be used.
    std::optional<std::uint64_t> check_era(http_reply const& reply, endpoint store);
    // Configuration and upstreams, both of the same era.
    struct store_reading
    {
        section_result operators;
        section_result upstreams;
    };
    boost::asio::awaitable<store_reading> read_listings();
    boost::asio::awaitable<section_result> read_upstreams(section_result const& operators);
    boost::asio::awaitable<section_result> read_section(http_connection& connection,
                                                        platform::section s, bool allow_stale);
    boost::asio::awaitable<platform::listing_state> read_pages(http_connection& connection,
                                                               platform::section s,
                                                               bool allow_stale,
                                                               section_result& out);
    boost::asio::awaitable<void> maintain_directory();
    boost::asio::awaitable<bool> execute_directory_step(directory_step step,
                                                        http_connection& connection);
    boost::asio::awaitable<bool> read_directory(http_connection& connection);
    boost::asio::awaitable<void> fetch_view();
    void report_changes(bool applied, std::vector<view_change> const& changes,
                        std::string const& source, store_position as_of);
    enum class fetch_outcome : std::uint8_t
    {
        done,       // applied, not needed any more, or failed
        incomplete, // the whole view must be fetched
        busy        // the source sends too many views at present
    };
    boost::asio::awaitable<fetch_outcome> fetch_from(endpoint source, store_position as_of);
    void on_peer_message(std::string_view bytes, endpoint source);
    void on_heartbeat(std::string_view bytes, endpoint source);
    void refuse_peer_message(endpoint source);
    peer_heartbeat make_heartbeat(time_point now) const;
    // Slow start: begins it for upstreams that have changed, and processes another host's levels.
    bool slow_start_applies(known_upstream const& u) const;
    void start_recoveries(std::vector<view_change> const& changes, time_point now);
    void record_recovering(peer_heartbeat const& heartbeat, time_point now);
    void report_slow_starts(time_point now);
    std::vector<recovering_upstream> recovering_upstreams(time_point now) const;
    std::string encode_local_heartbeat(peer_heartbeat b, time_point now) const;
    // Loads of this host on services; empty unless the policy is admission by capacity.
    std::vector<service_load> own_service_loads(time_point now);
    void send_heartbeats();
    void announce();
    // Asks the hosts of the zone whether any of the upstreams has answered them.
    void ask_zone(std::vector<flow_token> const& upstreams);
    void answer_peer(peer_heartbeat const& from, time_point now);
    void record_store_state(bool reachable, std::string const& detail);
    void report_findings(findings const& problems);

    void spawn(std::string name, boost::asio::awaitable<void> task);
    // Starts the loop again after a pause when an exception has ended it.
    boost::asio::awaitable<void> keep_running(std::string name,
                                              boost::asio::awaitable<void> (edge_host::*loop)());

    // Lifecycle and HTTP endpoints (edge_host.cpp).
    http_response handle_http(http_request const& call);
    bool update_readiness(time_point now);
    void start_timers();
    void add_gauges();
    void wait_for_signal();
    void drain();
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
    view_transfers transfers_;
    host_directory directory_;
    slow_start recoveries_;
    store_era store_era_;
    fleet_state fleet_;
    overload_control overload_;
    capacity_admission admission_;
    service_capacity capacity_;
    edge_router router_;

    http_connection store_;
    std::unique_ptr<loop_udp> packet_socket_;
    std::unique_ptr<loop_udp> heartbeat_socket_;
    std::vector<std::unique_ptr<http_listener>> listeners_;
    std::vector<loop_timers::subscription> subscriptions_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer retry_timer_;
    time_point retry_armed_for_{};
    bool has_read_{}; // the store has been read, or a read was attempted
    bool fetching_{};
    bool flow_report_scheduled_{};
    bool draining_{}; // no longer ready, but still forwarding packets
    bool stopping_{}; // announced by the last heartbeat before the exit
    time_point drain_started_{};
    time_point last_packet_{};
    std::map<std::string, double> overloaded_; // last reported: service -> refused share
    std::optional<bool> store_reachable_;
    std::optional<bool> was_ready_;
    std::set<std::string> services_with_gauges_;
    std::map<std::string, std::uint64_t> logged_findings_; // finding text -> occurrences
};

} // namespace chivelever

#endif
