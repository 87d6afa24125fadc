// Models of the upstream servers and callers.
#ifndef CHIVELEVER_SOAK_MODELS_HPP
#define CHIVELEVER_SOAK_MODELS_HPP

#include "network.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace chivelever::soak
{

class simulated_cluster;

// An operation that a caller wants to run once. It may be resubmitted after a not_run answer.
struct operation_record
{
    bool idempotent{};
    unsigned runs{};
};
// One request id in one flow.
struct submission_record
{
    std::size_t operation{};
    bool ran{};
    bool refused{}; // a host has answered not_run
};

// The process at one upstream address. Its capacity is one request when cold, and grows by one for
// every four answers up to its slots; it sheds requests above that. Attempts are identified by id,
// so that a packet duplicated by the network runs once.
class server
{
public:
    server(simulated_cluster& cluster, endpoint address, zone_id zone, std::uint16_t slots)
        : cluster_(cluster), address_(address), zone_(zone), slots_(slots)
    {
    }

    void receive(packet const& p, endpoint source);
    // Starts a new process at the address.
    void replace(service_id service);
    void restart_cold(); // unannounced; running requests are lost
    void set_alive(bool on)
    {
        if (on)
            restart_cold();
        alive = on;
    }

    zone_id zone() const { return zone_; }
    endpoint address() const { return address_; }

    service_id service;
    bool alive{true};
    bool stopped{}; // by operators, until a new process starts at the address
    sim_time shedding_until{};
    sim_time slow_until{};

private:
    struct run
    {
        std::size_t submission{};
        bool late{}; // its packet was delayed, so the executor may have freed its slot
    };
    void request(packet const& p, endpoint source);
    void check_load(packet const& p);
    void answer(packet const& p, endpoint to, packet_status status);
    std::uint32_t capacity() const { return std::min<std::uint32_t>(slots_, 1 + answered_ / 4); }

    simulated_cluster& cluster_;
    endpoint address_;
    zone_id zone_;
    std::uint16_t slots_;
    std::uint32_t answered_{};    // since the last cold start
    std::uint64_t generation_{1}; // incremented at each cold start
    sim_time started_{};
    bool unannounced_restart_{}; // the last cold start was not announced
    std::map<host_instance, sim_time>
        first_shed_received_;              // first shed answer received since the cold start
    std::map<std::uint64_t, run> running_; // by attempt id
    std::unordered_set<std::uint64_t> seen_;
};

// A client with one request flow at a time, and a few streams and uploads.
class caller
{
public:
    caller(simulated_cluster& cluster, endpoint address, service_id service);
    void start();
    void receive(packet const& p);
    void opened(flow_id const& id, std::string const& encoded); // a host has issued an id
    submission_record* submission_of(std::uint64_t request);
    // Counts open streams without an echo since the given time.
    std::size_t streams_without_echo_since(sim_time t) const;
    bool uses(endpoint address) const; // has an open stream to the address
    endpoint address() const { return address_; }

private:
    struct pending
    {
        std::size_t submission{};
        packet request;
        sim_time deadline{};
        bool done{};
    };
    struct stream
    {
        flow_id id;
        std::string encoded;
        sim_time opened{};
        sim_time last_echo{};
        bool ended{};
    };
    void perform_action();
    void open(flow_kind kind);
    void submit(std::size_t operation);
    void send(packet p);
    void resend(std::uint64_t request, sim_time pause, int left);
    void cancel(std::uint64_t request);
    void on_opened(packet const& p);
    void on_answer(packet const& p);
    void on_data(packet const& p);
    void keep_alive(std::size_t index);

    simulated_cluster& cluster_;
    endpoint address_;
    service_id service_;
    std::uint64_t next_id_{1};
    std::string flow_; // of requests
    sim_time flow_opened_{};
    std::map<std::uint64_t, pending> pending_; // by request id
    std::map<std::uint64_t, flow_kind> opens_;
    std::map<std::string, flow_id> issued_; // issued ids not yet received by this caller
    std::vector<stream> streams_;
    std::size_t live_streams_{};
};

} // namespace chivelever::soak

#endif
