// Header fields of one packet of a flow, the input of the routing decisions.
#ifndef CHIVELEVER_STATE_CALLER_PACKET_HPP
#define CHIVELEVER_STATE_CALLER_PACKET_HPP

#include "state/edge_types.hpp"
#include "state/hash.hpp"

#include <compare>
#include <cstdint>

namespace chivelever
{

// Source and destination endpoint of the caller's packets, which identify the flow.
struct flow_endpoints
{
    endpoint caller;
    endpoint destination;
    auto operator<=>(flow_endpoints const&) const = default;
};

inline std::uint64_t hash_value(flow_endpoints const& k)
{
    return hash_pair(k.caller.packed(), k.destination.packed());
}

struct caller_packet
{
    flow_endpoints flow;
    bool syn{};
    bool ack{};
    bool fin{};
    bool rst{};
    std::uint32_t sequence{};
    std::uint32_t acknowledged{}; // in a SYN: number of earlier transmissions
    std::uint16_t payload_bytes{};
    flow_token token; // echoed by the caller; 0 in a SYN
    auto operator<=>(caller_packet const&) const = default;
};

} // namespace chivelever

template<>
struct std::hash<chivelever::flow_endpoints>
{
    std::size_t operator()(chivelever::flow_endpoints const& k) const noexcept
    {
        return static_cast<std::size_t>(chivelever::hash_value(k));
    }
};

#endif
