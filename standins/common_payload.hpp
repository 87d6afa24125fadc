// Payload formats shared by callers and upstreams. They carry the service and a digest, so that the
// receiver detects mismatched, truncated and misrouted packets.
#ifndef CHIVELEVER_STANDINS_COMMON_PAYLOAD_HPP
#define CHIVELEVER_STANDINS_COMMON_PAYLOAD_HPP

#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever::standins
{

// "SERVICE:ORDER:filler". ORDER is the operation id, which is the same in every repetition of one
// request.
std::string request_payload(service_id service, std::uint64_t operation_id,
                            std::size_t filler_bytes);
// "SERVICE:RATE:COUNT": the stream that a caller requests, in each of its packets.
std::string stream_request_payload(service_id service, std::uint32_t packets_per_s,
                                   std::uint32_t count);
// "SERVICE:SEQUENCE:filler".
std::string upload_payload(service_id service, std::uint32_t sequence, std::size_t filler_bytes);

// The leading numbers of a caller's payload.
struct caller_fields
{
    service_id service;
    std::uint64_t first{};
    std::uint64_t second{};
};
std::optional<caller_fields> parse_caller_payload(std::string_view payload);

// "SERVICE:UPSTREAM:digest:filler" where the digest covers the request and the filler's length
// follows from the digest.
std::string answer_payload(service_id service, upstream_id upstream, std::string_view request);
// Returns the upstream that answered if the answer is complete and belongs to this request.
std::optional<upstream_id> check_answer(std::string_view answer, service_id service,
                                        std::string_view request);

// A stream packet has the payload of an answer to its own sequence number.
std::string stream_packet_payload(service_id service, upstream_id upstream, std::uint32_t sequence);
std::optional<upstream_id> check_stream_packet(std::string_view payload, service_id service,
                                               std::uint32_t sequence);

} // namespace chivelever::standins

#endif
