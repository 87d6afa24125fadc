// The packet plane: receives packets, processes them through the router and the pools, and sends
// the resulting packets.
#ifndef CHIVELEVER_DAEMON_PACKET_PLANE_HPP
#define CHIVELEVER_DAEMON_PACKET_PLANE_HPP

#include "daemon/context.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace chivelever
{

class packet_plane
{
public:
    explicit packet_plane(daemon_context& context);
    packet_plane(packet_plane const&) = delete;
    packet_plane& operator=(packet_plane const&) = delete;

    void start();
    void stop();

    // Processes expiry, timeouts and retries in all pools.
    void tick(time_point now);
    // Updates every pool to the current routing table.
    void table_changed(time_point now);
    void set_lease(pool_id pool, std::optional<time_point> valid_until);
    // Adds the previous holder's outstanding requests to the pool's accounting.
    void accept(pool_handover const& h, time_point now);
    // Stops dispatching in the pool and returns its outstanding requests.
    pool_handover hand_over(pool_id pool, time_point now);
    void begin_shutdown();
    // Notifies callers to reopen their request flows on another host.
    void notify_callers(time_point now);
    bool idle();
    pool_stats totals();
    // Statistics of each pool on this host.
    std::vector<std::pair<pool_id, pool_stats>> pools();

    std::uint64_t received() const { return socket_.received(); }
    std::uint64_t sent() const { return socket_.sent(); }

private:
    using pool_map = std::unordered_map<pool_id, std::unique_ptr<pool>>;

    // Per-thread state for packet processing; not shared between threads.
    struct worker
    {
        explicit worker(daemon_context& c);
        packet_codec codec;
        published<routing_table>::reader table;
        published<cluster_view>::reader view;
        published<zone_ramp>::reader ramp;
        std::vector<send_packet> outgoing;
    };

    void handle(worker& w, std::string_view bytes, endpoint source);
    void execute(worker& w, route const& r, packet_view& p, endpoint source, std::uint64_t key,
                 time_point now);
    void open_without_holder(worker& w, packet_view const& p, route const& r);
    void forward(worker& w, packet_view const& p, endpoint to);
    void send_pool_output(worker& w);
    template<class F>
    void with_pool(pool_id id, F&& f);
    void register_metrics();

    daemon_context& context_;
    udp_socket socket_;
    router router_;
    flow_issuer issuer_;
    sharded<pool_map> pools_;
    std::vector<std::unique_ptr<worker>> workers_;
    worker tick_worker_;
    std::mutex random_mutex_;
    std::mt19937 random_;
    std::atomic<bool> shutting_down_{false};
    std::array<metrics::counter*, static_cast<std::size_t>(drop_reason::count)> drop_counters_{};
    metrics::counter& malformed_counter_;
    metrics::counter& oversized_counter_;
    std::array<metrics::counter*, 16> action_counters_{};
};

} // namespace chivelever

#endif
