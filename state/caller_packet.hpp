// The head of one packet of a flow, as the decisions see it.
#ifndef CHIVELEVER_STATE_CALLER_PACKET_HPP
#define CHIVELEVER_STATE_CALLER_PACKET_HPP

#include "state/edge_types.hpp"
#include "state/hash.hpp"

#include <compare>
#include <cstdint>

namespace chivelever
{

// The two ends of a flow, as its caller addresses it.
struct flow_ends
{
    endpoint caller;
    endpoint destination;
    auto operator<=>(flow_ends const&) const = default;
};

inline std::uint64_t hash_value(flow_ends const& k)
{
    return hash_pair(k.caller.packed(), k.destination.packed());
}

struct caller_packet
{
    flow_ends flow;
    bool syn{};
    bool ack{};
    bool fin{};
    bool rst{};
    std::uint32_t sequence{};
    std::uint32_t acknowledged{}; // in a SYN: how many copies of it went before
    std::uint16_t data_bytes{};
    flow_token token; // what the caller echoes; 0 in a SYN
    auto operator<=>(caller_packet const&) const = default;
};

} // namespace chivelever

template<>
struct std::hash<chivelever::flow_ends>
{
    std::size_t operator()(chivelever::flow_ends const& k) const noexcept
    {
        return static_cast<std::size_t>(chivelever::hash_value(k));
    }
};

#endif
