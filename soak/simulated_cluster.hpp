// A simulated cluster: hosts, upstream servers, callers, network, store and invariant checker of
// one run.
#ifndef CHIVELEVER_SOAK_SIMULATED_CLUSTER_HPP
#define CHIVELEVER_SOAK_SIMULATED_CLUSTER_HPP

#include "checker.hpp"
#include "host.hpp"
#include "models.hpp"
#include "network.hpp"

#include <memory>
#include <vector>

namespace chivelever::soak
{

inline endpoint host_address(host_id h)
{
    return {0x0A000000U + h.value, 7000};
}
inline endpoint server_address(std::uint32_t n)
{
    return {0x0B000000U + n, 9000};
}
inline endpoint caller_address(std::uint32_t n)
{
    return {0x0C000000U + n, 5000};
}

struct run_statistics
{
    std::uint64_t requests{}, answers{}, not_run{}, unknown{}, streams{}, echoes{}, given_up{},
        faults{}, changes{}, excess_before_notice{}, excess_late{};
};

class simulated_cluster
{
public:
    explicit simulated_cluster(std::uint64_t seed);
    void run(std::uint64_t steps);

    // Packets.
    void send_from_host(host& from, packet_view const& p, endpoint to);
    // `handled` is called when the process has handled the packet.
    void send_to_host(zone_id from_zone, endpoint source, endpoint to, packet p,
                      std::function<void(host_instance)> handled = {});
    void send_to_caller(zone_id from_zone, endpoint to, packet p);
    // Sends a caller's packet to a random host that the fabric considers ready.
    void send_from_caller(endpoint source, packet p);
    // Control messages; `f` runs on the receiving host, after it resumes if it is suspended.
    template<class F>
    void send_control(host& from, host_id to, F f)
    {
        zone_id const zone = host_zones[to.value - 1];
        net.send(from.zone, zone,
                 [this, to, f]
                 {
                     std::shared_ptr<host> const h = hosts[to.value - 1];
                     if (h)
                         h->run_or_defer([h, f] { f(*h); });
                 });
    }
    routing_table_ptr table_of(config_ptr const& config, host_list const& list);
    caller* find_caller(endpoint e);
    server* find_server(endpoint e);

    simulation sim;
    channel net{sim};
    fake_store store{sim};
    store_codec codec;
    store_keys keys{"soak"};
    checker check{*this};
    std::vector<std::shared_ptr<host>> hosts; // by host id - 1
    std::vector<zone_id> host_zones;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<operation_record> operations;
    std::vector<submission_record> submissions;
    run_statistics count;
    bool check_load{true};                         // whether rule 3 is checked
    bool recovering{};                             // no new faults or work; open flows must recover
    std::map<std::uint64_t, sim_time> accepted_at; // when a host first applied it, by revision
    std::map<std::uint32_t, std::uint64_t>
        leaving_upstream_list_version; // list version, by upstream id

private:
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::weak_ptr<routing_table const>> tables_;
};

} // namespace chivelever::soak

#endif
