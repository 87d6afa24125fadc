#include "protocol/codec.hpp"

#include "protocol/packet.pb.h"

namespace chivelever
{

namespace
{

constexpr std::uint32_t first_kind = static_cast<std::uint32_t>(packet_kind::open);
constexpr std::uint32_t last_kind = static_cast<std::uint32_t>(packet_kind::given_up);
constexpr std::uint32_t last_flow_kind = static_cast<std::uint32_t>(flow_kind::request);
constexpr std::uint32_t last_status = static_cast<std::uint32_t>(packet_status::unknown_service);

} // namespace

struct packet_codec::buffers
{
    wire::envelope in;
    wire::envelope out;
    std::string bytes;
};

packet_codec::packet_codec() : buffers_(std::make_unique<buffers>())
{
    buffers_->bytes.reserve(2 * max_packet_bytes);
}
packet_codec::~packet_codec() = default;

std::optional<packet_view> packet_codec::decode(std::string_view bytes)
{
    if (bytes.size() > max_packet_bytes)
        return {};
    wire::envelope& e = buffers_->in;
    if (!e.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    if (e.kind() < first_kind || e.kind() > last_kind || e.flow() == 0 ||
        e.flow() > last_flow_kind || e.status() > last_status || e.hops() > 255)
        return {};
    packet_view p;
    p.kind = static_cast<packet_kind>(e.kind());
    p.flow = static_cast<flow_kind>(e.flow());
    p.status = static_cast<packet_status>(e.status());
    p.hops = static_cast<std::uint8_t>(e.hops());
    p.idempotent = e.idempotent();
    p.final = e.final();
    p.service = {e.service()};
    p.request = {e.request_id()};
    p.sequence = e.sequence();
    p.acknowledged = e.acknowledged();
    p.deadline_ms = e.deadline_ms();
    p.caller = endpoint::from_packed(e.caller());
    p.flow_id = e.flow_id();
    p.payload = e.payload();
    return p;
}

std::string_view packet_codec::encode(packet_view const& p)
{
    wire::envelope& e = buffers_->out;
    e.set_kind(static_cast<std::uint32_t>(p.kind));
    e.set_flow(static_cast<std::uint32_t>(p.flow));
    e.set_status(static_cast<std::uint32_t>(p.status));
    e.set_hops(p.hops);
    e.set_idempotent(p.idempotent);
    e.set_final(p.final);
    e.set_service(p.service.value);
    e.set_request_id(p.request.value);
    e.set_sequence(p.sequence);
    e.set_acknowledged(p.acknowledged);
    e.set_deadline_ms(p.deadline_ms);
    e.set_caller(p.caller.packed());
    e.mutable_flow_id()->assign(p.flow_id.data(), p.flow_id.size());
    e.mutable_payload()->assign(p.payload.data(), p.payload.size());
    std::size_t const size = e.ByteSizeLong();
    if (size > max_packet_bytes)
        return {};
    buffers_->bytes.resize(size);
    e.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(buffers_->bytes.data()));
    return buffers_->bytes;
}

} // namespace chivelever
