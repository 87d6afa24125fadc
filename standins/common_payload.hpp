// Payloads that callers and upstreams agree on. They name the service and carry digests, so that a
// crossed, cut or misrouted packet is detected by its receiver.
#ifndef CHIVELEVER_STANDINS_COMMON_PAYLOAD_HPP
#define CHIVELEVER_STANDINS_COMMON_PAYLOAD_HPP

#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever::standins
{

// "SERVICE:ORDER:filler". The order identity is the same in every repetition of one request.
std::string request_payload(service_id service, std::uint64_t order, std::size_t filler_bytes);
// "SERVICE:RATE:COUNT": what a caller asks of a stream, in each of its packets.
std::string stream_payload(service_id service, std::uint32_t packets_per_s, std::uint32_t count);
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
// The upstream that answered, if the answer belongs to this request and is whole.
std::optional<upstream_id> check_answer(std::string_view answer, service_id service,
                                        std::string_view request);

// Stream packets are answers to their own sequence number.
std::string pushed_payload(service_id service, upstream_id upstream, std::uint32_t sequence);
std::optional<upstream_id> check_pushed(std::string_view payload, service_id service,
                                        std::uint32_t sequence);

} // namespace chivelever::standins

#endif
