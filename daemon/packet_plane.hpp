// The packet plane: receives packets, lets the router and the pools decide, and sends the results.
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
    explicit packet_plane(context& shared);
    packet_plane(packet_plane const&) = delete;
    packet_plane& operator=(packet_plane const&) = delete;

    void start();
    void stop();

    // Expiry, time-outs and retries in all pools, and counting of their figures.
    void tick(time_point now);
    // Gives every pool the newest table.
    void table_changed(time_point now);
    void set_lease(pool_id pool, std::optional<time_point> valid_until);
    // Counts the previous holder's outstanding work.
    void accept(pool_handover const& h, time_point now);
    // Ends dispatching in the pool and returns what is outstanding.
    pool_handover hand_over(pool_id pool, time_point now);
    void begin_shutdown();
    // Tells callers to open their request flows elsewhere.
    void notify_callers(time_point now);
    bool idle();
    pool_stats totals();
    // Figures of each pool that exists here.
    std::vector<std::pair<pool_id, pool_stats>> pools();

    std::uint64_t received() const { return socket_.received(); }
    std::uint64_t sent() const { return socket_.sent(); }

private:
    using pool_map = std::unordered_map<pool_id, std::unique_ptr<pool>>;

    // What one thread needs for packets; nothing of it is shared.
    struct worker
    {
        explicit worker(context& c);
        packet_codec codec;
        published<routing_table>::reader table;
        published<cluster_view>::reader view;
        published<zone_ramp>::reader ramp;
        std::vector<send_packet> out;
    };

    void handle(worker& w, std::string_view bytes, endpoint source);
    void execute(worker& w, route const& r, packet_view& p, endpoint source, std::uint64_t key,
                 time_point now);
    void open_without_holder(worker& w, packet_view const& p, route const& r);
    void forward(worker& w, packet_view const& p, endpoint to);
    void send_all(worker& w);
    template<class F>
    void with_pool(pool_id id, F&& f);
    void register_metrics();

    context& shared_;
    udp_socket socket_;
    router router_;
    flow_issuer issuer_;
    sharded<pool_map> pools_;
    std::vector<std::unique_ptr<worker>> workers_;
    worker ticker_;
    std::mutex random_mutex_;
    std::mt19937 random_;
    std::atomic<bool> shutting_down_{false};
    std::array<metrics::counter*, static_cast<std::size_t>(drop_reason::count)> drops_{};
    metrics::counter& malformed_;
    metrics::counter& oversized_;
    std::array<metrics::counter*, 16> verbs_{};
};

} // namespace chivelever

#endif
