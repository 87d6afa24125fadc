// Flow id: an authenticated token that the caller sends in each packet, so that any host can route
// the packet without per-flow state.
#ifndef CHIVELEVER_STATE_FLOW_ID_HPP
#define CHIVELEVER_STATE_FLOW_ID_HPP

#include "state/ids.hpp"
#include "state/messages.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

struct flow_id
{
    flow_kind kind{};
    zone_id zone;
    std::uint8_t key_epoch{}; // low byte of the configuration's key epoch
    service_id service;
    upstream_id upstream;       // stream and upload flows
    incarnation upstream_owner; // stream and upload flows
    endpoint address;           // of the upstream
    host_instance issuer;       // host that issued the id; a request flow's requests go to it
    revision config;            // revision of the issuer's routing table
    std::uint32_t expires_ms{}; // request flows: on the issuer's clock
    std::uint32_t serial{};     // number of the flow at its issuer
    auto operator<=>(flow_id const&) const = default;
};

inline constexpr std::size_t flow_id_body_bytes = 48;
inline constexpr std::size_t flow_id_bytes = flow_id_body_bytes + 8;
using encoded_flow_id = std::array<char, flow_id_bytes>;

inline std::string_view as_view(encoded_flow_id const& e)
{
    return {e.data(), e.size()};
}

// Signs and verifies flow ids. Accepts the keys of the current epoch, of the two before it, so that
// a rotation breaks no flow, and of the next one, with which hosts that apply a rotation earlier
// already sign. Immutable; replaced when the key epoch changes.
class flow_signer
{
public:
    flow_signer(std::string_view cluster_secret, std::uint32_t key_epoch);

    encoded_flow_id sign(flow_id const& id) const;
    // Returns the decoded id, or nullopt if the length, layout version, epoch or MAC is invalid.
    std::optional<flow_id> verify(std::string_view bytes) const;
    std::uint32_t epoch() const { return epoch_; }

private:
    using key = std::array<std::uint8_t, 16>;
    static constexpr std::size_t accepted_epochs = 4;
    std::uint32_t epoch_;
    std::array<key, accepted_epochs> keys_; // epoch_ + 1, epoch_, epoch_ - 1, epoch_ - 2
};

} // namespace chivelever

#endif
