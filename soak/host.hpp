// An entry host that runs the product's routing and coordination code as the daemon does, on a
// simulated network and store.
#ifndef CHIVELEVER_SOAK_HOST_HPP
#define CHIVELEVER_SOAK_HOST_HPP

#include "network.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace chivelever::soak
{

class simulated_cluster;

class host : public std::enable_shared_from_this<host>
{
public:
    // ppm: clock drift against global time. `settings` is the host list in its settings file.
    host(simulated_cluster& cluster, host_instance self, zone_id zone, std::int64_t clock_drift_ppm,
         host_list settings);
    void start();

    void receive(packet const& p, endpoint source);
    // Runs `f` now, or after the process resumes if it is suspended.
    void run_or_defer(std::function<void()> f);
    void on_heartbeat(heartbeat const& h);
    void on_lease_request(host_id from, lease_request const& r);
    void on_lease_reply(lease_reply const& r);

    void suspend() { suspended = true; }
    void resume();
    void kill();
    void begin_shutdown(); // SIGTERM
    submit_result submit(config_change change, revision in_force_everywhere);
    std::optional<config_change> next_for(revision since) const { return log_.change_at(since); }

    bool running() const { return !exited && !suspended; }
    // The fabric sends packets only to ready hosts.
    bool ready() const
    {
        return running() && !leaving && table_->rev().value > 0 && !zone_is_out();
    }
    bool zone_is_out() const { return table_->zone_is_out(zone); }
    routing_table const& table() const { return *table_; }
    config_log const& log() const { return log_; }
    // Start of the current uninterrupted run of the process; the maximum time if it is not running.
    sim_time running_since() const
    {
        return running() ? running_since_ : std::numeric_limits<sim_time>::max();
    }
    // When this host first applied this or a later revision or host list; the maximum time if
    // never.
    sim_time reached(revision r) const { return first_time_at(reached_, r.value); }
    sim_time reached_list(std::uint64_t v) const { return first_time_at(reached_list_, v); }

    host_instance const self;
    zone_id const zone;
    endpoint const address;
    bool exited{};
    bool suspended{};
    bool leaving{};

private:
    static sim_time first_time_at(std::map<std::uint64_t, sim_time> const& m, std::uint64_t key)
    {
        auto const i = m.lower_bound(key);
        return i == m.end() ? std::numeric_limits<sim_time>::max() : i->second;
    }
    time_point local_time() const;
    sim_time to_global_time(time_point t) const;
    pool& pool_of(pool_id id);
    void repeat_every(sim_time period, void (host::*f)());
    void execute(route const& r, packet& p, std::uint64_t key);
    void open_without_holder(packet_view const& p, route const& r);
    void forward(packet_view const& p, endpoint to);
    void send_all();
    void pool_tick();
    void control_tick();
    void send(outgoing_heartbeats const& heartbeats);
    void send(outgoing_leases const& requests);
    void publish();
    void publish_view();
    void update_leases();
    void hand_over(pool_id pool, host_id to);
    void end_handover(pool_id pool, bool accepted);
    void pull();
    void take_list(host_list const& list);
    void read_list();
    void watch_store();
    void poll_shutdown(sim_time until);

    simulated_cluster& cluster_;
    std::int64_t clock_drift_ppm_;
    sim_time clock_offset_;
    sim_time running_since_;
    std::vector<std::function<void()>> deferred_; // while suspended
    std::map<std::uint64_t, sim_time> reached_;
    std::map<std::uint64_t, sim_time> reached_list_;

    config_log log_;
    change_submitter<fake_store> submitter_;
    store_watcher<fake_store> watcher_;
    host_list list_;
    routing_table_ptr table_;
    view_ptr view_;
    zone_ramp ramp_;
    router router_;
    flow_issuer issuer_;
    membership membership_;
    lease_granter granter_;
    lease_holder holder_;
    std::uint64_t view_version_{};
    std::vector<host_id> settled_; // hosts that may hold pools
    std::map<pool_id, std::unique_ptr<pool>> pools_;
    std::set<pool_id> leased_;
    std::set<pool_id> handing_over_;
    bool pulling_{};
    bool shutting_down_{};
    endpoint source_; // of the packet being handled
    std::vector<send_packet> outgoing_;
};

} // namespace chivelever::soak

#endif
