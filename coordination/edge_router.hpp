// What happens to each packet of a caller: forwarded to an upstream, answered with a reset, or
// dropped. Answers hosts that start with no memory while flows go on (the token in the packet names
// the upstream), openings that meet a dead upstream (they are offered to another one at once), and
// flows that have no future (a reset lets the caller try again within its time limit).
#ifndef CHIVELEVER_COORDINATION_EDGE_ROUTER_HPP
#define CHIVELEVER_COORDINATION_EDGE_ROUTER_HPP

#include "coordination/deployment_view.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/overload_control.hpp"
#include "coordination/placement.hpp"
#include "coordination/upstream_health.hpp"
#include "state/state.hpp"

#include <array>
#include <cstdint>
#include <map>
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

// Why; the names are labels of the metrics and fields of the log.
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
    overloaded
};
inline constexpr std::size_t packet_reason_count =
    static_cast<std::size_t>(packet_reason::overloaded) + 1;
std::string_view to_string(packet_reason r);

struct packet_decision
{
    packet_action action{packet_action::drop};
    packet_reason reason{packet_reason::not_loaded};
    flow_ends flow;
    flow_token token;
    endpoint to;
    std::uint64_t datagram_address{};
    std::uint32_t reset_sequence{}; // for a reset: within the caller's window
    std::uint32_t offers{};         // upstreams that this opening was sent to
    double refused_share{};         // of the openings of this service and priority
    bool opens{};                   // concerns an opening packet
    bool newly_suspected{};         // this packet makes `suspect` suspected
    flow_token suspect;
    flow_observation seen;
    bool operator==(packet_decision const&) const = default;
};

// An opening that is offered to another upstream, with the packet as the caller sent it.
struct repeated_offer
{
    packet_decision decision;
    std::string packet;
    bool operator==(repeated_offer const&) const = default;
};

class edge_router
{
public:
    edge_router(deployment_view& view, flow_table& flows, upstream_health& health, placement& place,
                overload_control& overload, fleet_picture const& fleet)
        : view_(view), flows_(flows), health_(health), place_(place), overload_(overload),
          fleet_(fleet)
    {
    }

    // `raw` is the whole packet; it is kept while an opening waits for its answer.
    packet_decision handle(caller_packet const& p, std::string_view raw, time_point now);
    // Openings that were not answered in time by an upstream that cannot be connected to either,
    // and go to another one.
    std::vector<repeated_offer> due(time_point now);
    // When `due` has something to do next; zero: nothing waits.
    time_point next_due() const;
    // Upstreams to which a connection should be tried, to learn whether they live.
    std::vector<flow_token> probes_due(time_point now);
    // The result of such an attempt. An upstream that is found silent has all its flows reset, so
    // that their callers can try elsewhere within their time.
    std::vector<packet_decision> probed(flow_token upstream, probe_result result,
                                        time_point started, time_point now);
    // An upstream that works, to compare an attempt with; 0: there is none.
    flow_token control_for(flow_token upstream, time_point now) const;
    // Forgets idle flows.
    void expire(time_point now);

private:
    struct waiting_offer
    {
        flow_ends flow;
        std::uint32_t sequence;
        flow_token doubted; // its silence has been noted
        std::string packet;
    };

    packet_decision handle_opening(caller_packet const& p, std::string_view raw, time_point now);
    packet_decision handle_copy(flow_record& flow, caller_packet const& p, time_point now);
    packet_decision offer_elsewhere(flow_record& flow, flow_ends const& key, time_point now);
    packet_decision place_new(caller_packet const& p, std::string_view raw, time_point now);
    packet_decision handle_open(caller_packet const& p, time_point now);
    packet_decision deliver(packet_decision d, flow_token token) const;
    void learn(packet_decision& d, flow_record& flow, caller_packet const& p, time_point now);
    bool confirmed(time_point now) const;

    deployment_view& view_;
    flow_table& flows_;
    upstream_health& health_;
    placement& place_;
    overload_control& overload_;
    fleet_picture const& fleet_;
    std::multimap<time_point, waiting_offer> waiting_; // by when to look
};

} // namespace chivelever

#endif
