#include "simulated_cluster.hpp"

#include "fault_injector.hpp"
#include "protocol/protocol.hpp"

namespace chivelever::soak
{

namespace
{
constexpr std::string_view secret = "soak";
constexpr std::uint32_t servers_per_zone = 6;
constexpr std::uint32_t callers_per_service = 6;
constexpr std::uint32_t services = 2;
constexpr sim_time recovery_time =
    25 * second; // fault-free time at the end; long enough for every table and lease to settle
constexpr sim_time echo_timeout = 4 * second;
constexpr sim_time propagation_check_interval = 500 * ms;
} // namespace

simulated_cluster::simulated_cluster(std::uint64_t seed) : sim(seed)
{
    codec = {[](config_change const& c) { return encode(c); },
             [](std::string const& s) -> std::optional<config_change>
             {
                 if (auto c = decode_change(s))
                     return std::move(*c);
                 return {};
             },
             [](fleet_config const& c) { return encode(c); },
             [](std::string const& s) -> std::optional<fleet_config>
             {
                 if (auto c = decode_config(s))
                     return std::move(*c);
                 return {};
             }};
}

caller* simulated_cluster::find_caller(endpoint e)
{
    std::size_t const n = e.address - 0x0C000000U;
    return e.address >> 24 == 0x0C && n < callers.size() ? callers[n].get() : nullptr;
}

server* simulated_cluster::find_server(endpoint e)
{
    std::size_t const n = e.address - 0x0B000000U;
    return e.address >> 24 == 0x0B && n < servers.size() ? servers[n].get() : nullptr;
}

routing_table_ptr simulated_cluster::table_of(config_ptr const& config, host_list const& list)
{
    auto& cached = tables_[{config->rev.value, list.version}];
    routing_table_ptr table = cached.lock();
    if (!table || !(table->config() == *config))
    {
        table = std::make_shared<routing_table const>(*config, list, secret);
        cached = table;
    }
    return table;
}

void simulated_cluster::send_from_host(host& from, packet_view const& view, endpoint to)
{
    packet p = packet::copy(view);
    p.sent = sim.now();
    p.sender = from.self;
    if (find_caller(to) != nullptr)
    {
        check.answered(from, view);
        if (view.kind == packet_kind::opened)
            if (auto const id = from.table().signer().verify(view.flow_id))
            {
                check.issued(from, *id);
                find_caller(to)->opened(*id, p.flow_id);
            }
        return send_to_caller(from.zone, to, std::move(p));
    }
    check.sent(from, view, to);
    server* const s = find_server(to);
    if (s == nullptr)
        return send_to_host(from.zone, from.address, to, std::move(p));
    net.send(from.zone, s->zone(),
             [s, p = std::move(p), source = from.address] { s->receive(p, source); });
}

void simulated_cluster::send_to_host(zone_id from_zone, endpoint source, endpoint to, packet p,
                                     std::function<void(host_instance)> handled)
{
    std::size_t const n = (to.address & 0xFFFFU) - 1;
    if (n >= hosts.size())
        return;
    net.send(from_zone, host_zones[n],
             [this, n, source, p = std::move(p), handled = std::move(handled)]
             {
                 std::shared_ptr<host> const h = hosts[n];
                 if (h)
                     h->run_or_defer(
                         [h, source, p, handled]
                         {
                             h->receive(p, source);
                             if (handled)
                                 handled(h->self);
                         });
             });
}

void simulated_cluster::send_to_caller(zone_id from_zone, endpoint to, packet p)
{
    caller* const c = find_caller(to);
    net.send(from_zone, caller_zone, [c, p = std::move(p)] { c->receive(p); });
}

void simulated_cluster::send_from_caller(endpoint source, packet p)
{
    std::vector<std::shared_ptr<host>> ready;
    for (auto const& h : hosts) // the fabric detects an exited or suspended host with a delay
        if (h && (h->ready() || (!h->leaving && sim.chance(0.1))))
            ready.push_back(h);
    if (ready.empty())
        return;
    p.head.caller = source;
    p.sent = sim.now();
    send_to_host(caller_zone, source, ready[sim.below(ready.size())]->address, std::move(p));
}

void simulated_cluster::run(std::uint64_t steps)
{
    fault_injector faults(*this);
    faults.build(servers_per_zone, services, callers_per_service);
    std::function<void()> check_propagation = [&]
    {
        check.propagation();
        sim.after(propagation_check_interval, check_propagation);
    };
    check_propagation();
    faults.start();
    while (steps > 0 && sim.step())
        --steps;
    recovering = true;
    faults.clear_faults();
    for (sim_time const end = sim.now() + recovery_time; sim.now() < end;)
        sim.step();
    std::size_t unresponsive = 0;
    for (auto const& c : callers)
        unresponsive += c->streams_without_echo_since(sim.now() - echo_timeout);
    if (unresponsive != 0)
        sim.violation("1 flow broken",
                      std::to_string(unresponsive) + " flows without echo at the end");
}

} // namespace chivelever::soak
