// Decides whether a caller's packet is forwarded to an upstream, answered with a reset or dropped.
// Packets of flows that this host does not know, as after a restart, are forwarded by the token
// that names the upstream. A SYN to an upstream that fails its probes is retried on another one at
// once. Flows that cannot continue are reset so that the caller can retry within its time limit.
#ifndef CHIVELEVER_COORDINATION_EDGE_ROUTER_HPP
#define CHIVELEVER_COORDINATION_EDGE_ROUTER_HPP

#include "coordination/deployment_view.hpp"
#include "coordination/flow_owners.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/overload_control.hpp"
#include "coordination/placement.hpp"
#include "coordination/service_capacity.hpp"
#include "coordination/upstream_health.hpp"
#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

enum class packet_action : std::uint8_t
{
    drop,
    forward,
    reset
};
inline constexpr std::size_t packet_action_count =
    static_cast<std::size_t>(packet_action::reset) + 1;

// Reason for the action; `to_string` gives its name in metric labels and log fields.
enum class packet_reason : std::uint8_t
{
    placed,
    offered_again,
    by_flow,
    by_token,
    not_loaded,
    no_route,
    no_route_unconfirmed,
    no_upstream,
    only_cold_upstreams,
    unknown_token,
    no_token,
    route_removed,
    upstream_gone,
    upstream_silent,
    bad_flags,
    overloaded,
    asking_zone,  // the SYN is held until the zone has said who has the flow
    by_report,    // a host of the zone has named the flow's upstream
    outdated_syn, // the flow is open, or its caller has given up
};
inline constexpr std::size_t packet_reason_count =
    static_cast<std::size_t>(packet_reason::outdated_syn) + 1;
std::string_view to_string(packet_reason r);

struct packet_decision
{
    packet_action action{packet_action::drop};
    packet_reason reason{packet_reason::not_loaded};
    flow_endpoints flow;
    flow_token token;
    endpoint to;
    std::uint64_t datagram_address{};
    std::uint32_t reset_sequence{}; // of a reset, within the caller's window
    std::uint32_t open_attempts{};  // upstreams that this SYN was sent to
    double refused_share{};         // share of this service's new flows refused at this priority
    // Of a SYN on whose admission capacity_admission decided.
    std::optional<admission_result> admission;
    bool is_syn{};          // the packet is a SYN
    bool newly_suspected{}; // this packet caused `suspect` to become suspected
    flow_token suspect;
    flow_observation seen;
    bool operator==(packet_decision const&) const = default;
};

// A packet of a caller as read from the socket.
struct received_packet
{
    caller_packet header;
    std::string_view bytes; // the whole packet; a copy is kept while a SYN is unanswered
    duration waited{};      // from its arrival at this host until it was read
};

// A SYN that is sent to another upstream, with the packet as received from the caller.
struct syn_retry
{
    packet_decision decision;
    std::string packet;
    bool operator==(syn_retry const&) const = default;
};

class edge_router
{
public:
    edge_router(deployment_view& view, flow_table& flows, upstream_health& health, placement& place,
                overload_control& overload, fleet_state const& fleet, service_capacity& capacity)
        : view_(view), flows_(flows), health_(health), place_(place), overload_(overload),
          fleet_(fleet), capacity_(capacity)
    {
    }

    packet_decision handle(received_packet const& in, time_point now);
    // Unanswered SYNs to upstreams that also fail connection probes, to be sent to another
    // upstream, and SYNs for which the zone has named no upstream in time.
    std::vector<syn_retry> retries_due(time_point now);
    // When `retries_due` should be called next; zero if no SYN is pending.
    time_point next_retry_at() const;
    // Processes the upstream that another host has named for a flow. Returns the SYN that was held
    // for it, unless the flow is open.
    std::optional<syn_retry> learn(flow_owner const& owner, time_point now);
    // The answer to another host's inquiry; nullopt if the flow is not known here.
    std::optional<flow_owner> owner_of(flow_owner const& asked);
    flow_owners& owners() { return owners_; }
    // Upstreams to which a connection should be attempted as a probe.
    std::vector<flow_token> probes_due(time_point now);
    // Processes a probe result. All flows of an upstream found silent are reset so that callers can
    // retry elsewhere within their time limit.
    std::vector<packet_decision> probed(flow_token upstream, probe_result result,
                                        time_point started, time_point now);
    // A working upstream to probe for comparison; 0 if there is none.
    flow_token reference_upstream(std::span<flow_token const> probed, time_point now) const;
    // Removes idle flows and outdated health and overload state.
    void expire(time_point now);

private:
    struct pending_open
    {
        flow_endpoints flow;
        std::uint32_t sequence;
        flow_token failure_reported_for; // upstream with a recorded failure
        std::string packet;
        time_point check_until; // end of the checks
    };

    // Opening of flows (edge_opening.cpp).
    packet_decision handle_syn(received_packet const& in, time_point now);
    static bool is_copy_of(flow_record const& flow, std::uint32_t sequence);
    packet_decision handle_retransmitted_syn(flow_record& flow, received_packet const& in,
                                             time_point now);
    packet_decision place_contested_flow(caller_packet const& p, std::string_view raw,
                                         time_point now);
    packet_decision retry_elsewhere(flow_record& flow, flow_endpoints const& key, time_point now);
    packet_decision place_flow(caller_packet const& p, std::string_view raw, time_point now);
    placement_choice choose_upstream(std::string const& service,
                                     std::span<flow_token const> excluded, endpoint destination,
                                     time_point now);
    // Records the answer or the start of a request.
    void record_request(flow_observation const& seen, flow_record& flow, endpoint destination,
                        time_point now);
    bool has_free_slot(known_upstream const& u) const;
    bool is_replaced(flow_record const& flow, caller_packet const& p) const;
    packet_decision handle_established(caller_packet const& p, time_point now);
    packet_decision forward_to(packet_decision d, flow_token token) const;
    void record_observation(packet_decision& d, flow_record& flow, caller_packet const& p,
                            time_point now);
    bool config_is_recent(time_point now) const;
    void update_staleness(time_point now);
    // Both record a failure or an answer of the upstream with its health and its slow start.
    bool record_failure(flow_token upstream, time_point now);
    void record_response(known_upstream const& u, duration response_time, duration objective,
                         time_point now);

    deployment_view& view_;
    flow_table& flows_;
    upstream_health& health_;
    placement& place_;
    overload_control& overload_;
    fleet_state const& fleet_;
    service_capacity& capacity_;
    flow_owners owners_;
    std::multimap<time_point, pending_open> pending_opens_; // by time of the next check
};

} // namespace chivelever

#endif
