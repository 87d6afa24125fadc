// Stateless routing decisions for all flow kinds.
#ifndef CHIVELEVER_COORDINATION_ROUTER_HPP
#define CHIVELEVER_COORDINATION_ROUTER_HPP

#include "coordination/cluster_view.hpp"
#include "state/state.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chivelever
{

// What the caller of `decide` does with a packet. Only the fields named in the comments are set.
enum class route_action : std::uint8_t
{
    drop,                // count `reason`
    to_upstream,         // forward to `to`
    to_host,             // forward to `to` with hops + 1
    to_caller,           // forward to `to`
    reply,               // send `reply` with `status` to `to`
    local_open,          // this host is the holder of `pool`
    local_fallback_open, // no known holder: open a stream or upload to `upstream` of `pool`
    local_request,       // execute in `pool`
    local_cancel,
    local_answer, // an upstream's answer to an attempt of `pool`
    local_close   // the flow ends; forward to `to` if it is set
};

enum class drop_reason : std::uint8_t
{
    none,
    forged,           // invalid length, layout, key epoch or signature of the flow id
    wrong_kind,       // the packet kind is invalid for this direction or flow kind
    wrong_source,     // an answer from another address than the flow's upstream
    service_mismatch, // the packet names another service than its flow id
    no_caller,        // no address to reply to
    hop_limit,
    stale_table,   // the table assigns the address to another service; issuer unreachable
    executor_gone, // close of a flow whose executor no longer exists
    zone_out,
    other_service, // forwarding would violate an invariant
    count
};
std::string_view to_string(drop_reason reason);

struct route
{
    route_action action{route_action::drop};
    drop_reason reason{drop_reason::none};
    packet_kind reply{};
    packet_status status{};
    endpoint to;
    pool_id pool;
    upstream_id upstream;
    flow_id id; // decoded; set for packets that carry one
};

// When each returning zone was first seen as returning, and how long its share of new work grows.
// Immutable: `updated` returns the successor for a new table.
class zone_ramp
{
public:
    zone_ramp updated(routing_table const& table, time_point now) const;
    // Share of new work that the zone receives, from first_share to 1.
    double share(zone_id zone, time_point now) const;

    static constexpr double first_share = 0.1;

private:
    struct entry
    {
        zone_id zone;
        revision changed_at; // a second return starts a new ramp
        time_point since;
        duration length;
    };
    std::vector<entry> returning_;
};

// Decides from the packet, the table and the view alone. Without state, any host can process any
// packet of a flow, and the loss of a host loses no flow.
class router
{
public:
    // `key` distributes new work; it is a hash of the caller and a serial number. `source` is the
    // address that the packet came from.
    route decide(packet_view const& p, endpoint source, routing_table const& table,
                 cluster_view const& view, zone_ramp const& ramp, std::uint64_t key,
                 time_point now) const;

    // Picks the upstream for a stream or upload when no host holds a lease on the pool; refuses if
    // no upstream takes new work.
    static route fallback_open(packet_view const& p, routing_table const& table, pool_id pool,
                               std::uint64_t key);
};

// Issues flow ids under the table's current key.
class flow_issuer
{
public:
    explicit flow_issuer(host_instance self) : self_(self) {}

    encoded_flow_id stream(flow_kind kind, upstream_config const& upstream,
                           routing_table const& table);
    // `expires_ms` is on this host's clock.
    encoded_flow_id request(pool_id pool, std::uint32_t expires_ms, routing_table const& table);

private:
    flow_id next(flow_kind kind, routing_table const& table);

    host_instance self_;
    std::atomic<std::uint32_t> serial_{0};
};

} // namespace chivelever

#endif
