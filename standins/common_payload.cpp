#include "standins/common_payload.hpp"

#include "standins/common.hpp"

namespace chivelever::standins
{

namespace
{

constexpr std::size_t max_answer_filler_bytes = 200;

std::string header(std::uint64_t a, std::uint64_t b, std::uint64_t c)
{
    return std::to_string(a) + ":" + std::to_string(b) + ":" + std::to_string(c) + ":";
}

} // namespace

std::string request_payload(service_id service, std::uint64_t operation_id,
                            std::size_t filler_bytes)
{
    return header(service.value, operation_id, 0) + std::string(filler_bytes, 'r');
}

std::string stream_request_payload(service_id service, std::uint32_t packets_per_s,
                                   std::uint32_t count)
{
    return header(service.value, packets_per_s, count);
}

std::string upload_payload(service_id service, std::uint32_t sequence, std::size_t filler_bytes)
{
    return header(service.value, sequence, 0) + std::string(filler_bytes, 'u');
}

std::optional<caller_fields> parse_caller_payload(std::string_view payload)
{
    caller_fields fields;
    std::uint64_t numbers[3]{};
    for (std::uint64_t& number : numbers)
    {
        auto const end = payload.find(':');
        auto const parsed = parse_number(payload.substr(0, end));
        if (!parsed || end == std::string_view::npos)
            return {};
        number = *parsed;
        payload.remove_prefix(end + 1);
    }
    fields.service = {static_cast<std::uint32_t>(numbers[0])};
    fields.first = numbers[1];
    fields.second = numbers[2];
    return fields;
}

std::string answer_payload(service_id service, upstream_id upstream, std::string_view request)
{
    std::uint64_t const digest = hash_bytes(request);
    return header(service.value, upstream.value, digest) +
           std::string(digest % max_answer_filler_bytes, 'a');
}

std::optional<upstream_id> check_answer(std::string_view answer, service_id service,
                                        std::string_view request)
{
    auto const fields = parse_caller_payload(answer);
    if (!fields)
        return {};
    upstream_id const upstream{static_cast<std::uint32_t>(fields->first)};
    if (answer != answer_payload(service, upstream, request))
        return {};
    return upstream;
}

std::string stream_packet_payload(service_id service, upstream_id upstream, std::uint32_t sequence)
{
    return answer_payload(service, upstream, std::to_string(sequence));
}

std::optional<upstream_id> check_stream_packet(std::string_view payload, service_id service,
                                               std::uint32_t sequence)
{
    return check_answer(payload, service, std::to_string(sequence));
}

} // namespace chivelever::standins
