// Codecs of packets and peer datagrams.
#ifndef CHIVELEVER_PROTOCOL_CODEC_HPP
#define CHIVELEVER_PROTOCOL_CODEC_HPP

#include "state/state.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace chivelever
{

// Encodes and decodes packets in reused buffers, so that the packet path does not allocate in
// steady state. Not thread-safe; each thread has its own.
class packet_codec
{
public:
    packet_codec();
    ~packet_codec();
    packet_codec(packet_codec const&) = delete;
    packet_codec& operator=(packet_codec const&) = delete;

    // The view is valid until the next decode. Returns nullopt if the bytes are not a packet or a
    // field is out of bounds.
    std::optional<packet_view> decode(std::string_view bytes);
    // The bytes are valid until the next encode. Empty if the packet exceeds max_packet_bytes.
    std::string_view encode(packet_view const& packet);

private:
    struct buffers;
    std::unique_ptr<buffers> buffers_;
};

using peer_message = std::variant<heartbeat, lease_request, lease_reply, pool_handover>;
struct received_peer_message
{
    host_id from;
    peer_message message;
    bool operator==(received_peer_message const&) const = default;
};

inline constexpr std::size_t max_peer_datagram_bytes = 1400;

// Encodes peer datagrams with a MAC under the cluster secret, and verifies and decodes them.
class peer_codec
{
public:
    explicit peer_codec(std::string_view cluster_secret);
    std::string encode(host_id from, peer_message const& message) const;
    std::optional<received_peer_message> decode(std::string_view bytes) const;

private:
    std::string key_;
};

} // namespace chivelever

#endif
