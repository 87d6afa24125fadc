// JSON codec for the messages between edge hosts.
#ifndef CHIVELEVER_PROTOCOL_EDGE_CODEC_HPP
#define CHIVELEVER_PROTOCOL_EDGE_CODEC_HPP

#include "state/state.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

std::string encode_heartbeat(peer_heartbeat const& b);
std::optional<peer_heartbeat> decode_heartbeat(std::string_view bytes);

// Flow reports are sent to the same port as heartbeats.
bool is_flow_report(std::string_view bytes);
std::string encode_flow_report(flow_report const& r);
std::optional<flow_report> decode_flow_report(std::string_view bytes);

// The view that a requesting host already has; 0 means none.
struct view_base
{
    store_position as_of;
    std::uint64_t config_version{};
    auto operator<=>(view_base const&) const = default;
};
std::string encode_view_query(view_base const& b);
// A query without an era, from a host of an earlier version, means era 0. A malformed query is read
// as a request for the complete view.
view_base decode_view_query(std::string const& query);

std::string encode_view(peer_view const& v);
std::optional<peer_view> decode_view(std::string_view bytes);

} // namespace chivelever

#endif
