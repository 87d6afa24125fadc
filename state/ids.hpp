// Strongly typed identifiers, IPv4 endpoints and the monotonic host clock.
#ifndef CHIVELEVER_STATE_IDS_HPP
#define CHIVELEVER_STATE_IDS_HPP

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace chivelever
{

// An integer with a tag type, so that a service id cannot be passed as an upstream id.
template<class Tag, class Rep>
struct strong_id
{
    Rep value{};
    auto operator<=>(strong_id const&) const = default;
};

using service_id = strong_id<struct service_tag, std::uint32_t>;
using upstream_id = strong_id<struct upstream_tag, std::uint32_t>;
using zone_id = strong_id<struct zone_tag, std::uint8_t>;
using host_id = strong_id<struct host_tag, std::uint16_t>;
using request_id = strong_id<struct request_tag, std::uint64_t>;
using incarnation = strong_id<struct incarnation_tag, std::uint32_t>;
using revision = strong_id<struct revision_tag, std::uint64_t>;

// Monotonic time of one host. Decision code takes it as an argument and never reads a clock.
using duration = std::chrono::microseconds;
struct host_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<host_clock, std::chrono::microseconds>;
    static constexpr bool is_steady = true;
};
using time_point = host_clock::time_point;

// An IPv4 address and port, in host byte order. Port 0 means unset.
struct endpoint
{
    std::uint32_t address{};
    std::uint16_t port{};
    auto operator<=>(endpoint const&) const = default;

    constexpr std::uint64_t packed() const { return std::uint64_t{address} << 16 | port; }
    static constexpr endpoint from_packed(std::uint64_t v)
    {
        return {static_cast<std::uint32_t>(v >> 16), static_cast<std::uint16_t>(v)};
    }
    constexpr bool is_set() const { return port != 0; }
};

// Formats as dotted quad and port, for example 127.0.1.1:7000.
std::string to_string(endpoint const& e);
// Parses the format of to_string; returns an unset endpoint if `text` is invalid.
endpoint parse_endpoint(std::string const& text);

// One run of a host's process, distinguished from earlier and later runs.
struct host_instance
{
    host_id host;
    incarnation run;
    auto operator<=>(host_instance const&) const = default;
};

// The upstreams of one service in one zone: the unit of admission.
struct pool_id
{
    service_id service;
    zone_id zone;
    auto operator<=>(pool_id const&) const = default;
    constexpr std::uint64_t packed() const
    {
        return std::uint64_t{service.value} << 8 | zone.value;
    }
    static constexpr pool_id from_packed(std::uint64_t v)
    {
        return {{static_cast<std::uint32_t>(v >> 8)}, {static_cast<std::uint8_t>(v)}};
    }
};

} // namespace chivelever

template<class Tag, class Rep>
struct std::hash<chivelever::strong_id<Tag, Rep>>
{
    std::size_t operator()(chivelever::strong_id<Tag, Rep> id) const noexcept
    {
        return static_cast<std::size_t>(id.value) * 0x9E3779B97F4A7C15ULL;
    }
};
template<>
struct std::hash<chivelever::pool_id>
{
    std::size_t operator()(chivelever::pool_id id) const noexcept
    {
        return static_cast<std::size_t>(id.packed()) * 0x9E3779B97F4A7C15ULL;
    }
};

#endif
