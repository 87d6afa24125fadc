// The messages between edge hosts, as JSON.
#ifndef CHIVELEVER_PROTOCOL_EDGE_CODEC_HPP
#define CHIVELEVER_PROTOCOL_EDGE_CODEC_HPP

#include "state/state.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

std::string encode_beat(peer_beat const& b);
std::optional<peer_beat> decode_beat(std::string_view text);

std::string encode_view(peer_view const& v);
std::optional<peer_view> decode_view(std::string_view text);

} // namespace chivelever

#endif
