// All parts of one run.
#ifndef CHIVELEVER_SOAK_WORLD_HPP
#define CHIVELEVER_SOAK_WORLD_HPP

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

struct figures
{
    std::uint64_t requests{}, answers{}, not_run{}, unknown{}, streams{}, echoes{}, given_up{},
        faults{}, changes{}, surplus_unknown{}, surplus_late{};
};

class world
{
public:
    explicit world(std::uint64_t seed);
    void run(std::uint64_t steps);

    // Packets.
    void send_from_host(host& from, packet_view const& p, endpoint to);
    // `handled` is called when the process has handled the packet.
    void send_to_host(zone_id from_zone, endpoint source, endpoint to, packet p,
                      std::function<void(host_instance)> handled = {});
    void send_to_caller(zone_id from_zone, endpoint to, packet p);
    // A caller's packet goes to any host that the fabric takes for ready.
    void send_from_caller(endpoint source, packet p);
    // Control messages; `f` runs on the receiving process when it is awake.
    template<class F>
    void send_control(host& from, host_id to, F f)
    {
        zone_id const zone = zones_of_hosts[to.value - 1];
        net.send(from.zone, zone,
                 [this, to, f]
                 {
                     std::shared_ptr<host> const h = hosts[to.value - 1];
                     if (h)
                         h->run_when_awake([h, f] { f(*h); });
                 });
    }
    table_ptr table_of(config_ptr const& config, host_list const& list);
    caller* find_caller(endpoint e);
    server* find_server(endpoint e);

    simulation sim;
    channel net{sim};
    fake_store store{sim};
    store_codec codec;
    store_keys keys{"soak"};
    checker check{*this};
    std::vector<std::shared_ptr<host>> hosts; // by host id - 1
    std::vector<zone_id> zones_of_hosts;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<operation_record> operations;
    std::vector<submission_record> submissions;
    figures count;
    bool check_load{true}; // rule 3 is checked
    bool quiet{};          // no new faults or work; what is open must recover
    std::map<std::uint64_t, sim_time> accepted_at;         // first in force anywhere, by revision
    std::map<std::uint32_t, std::uint64_t> listed_leaving; // list version, by upstream id

private:
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::weak_ptr<routing_table const>> tables_;
};

} // namespace chivelever::soak

#endif
