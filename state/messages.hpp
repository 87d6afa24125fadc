// Messages between callers, hosts and upstreams, and between hosts, as typed values. Codecs for
// them are in the protocol package.
#ifndef CHIVELEVER_STATE_MESSAGES_HPP
#define CHIVELEVER_STATE_MESSAGES_HPP

#include "state/ids.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

inline constexpr std::size_t max_packet_bytes = 1400;
inline constexpr std::uint8_t max_hops = 3;

enum class packet_kind : std::uint8_t
{
    open = 1, // caller -> host: wants a flow to a service
    opened,   // host -> caller: carries the flow id
    data,     // stream or upload payload, both ways; also the keep-alive
    request,  // caller -> executor, executor -> upstream
    answer,   // upstream -> executor, executor -> caller
    cancel,   // caller -> executor -> upstream
    close,    // caller ends a flow
    refused,  // host -> caller: see status
    given_up  // host -> caller: the flow has ended, open a new one
};

enum class flow_kind : std::uint8_t
{
    stream = 1,
    upload,
    request
};

enum class packet_status : std::uint8_t
{
    ok,
    shed,               // upstream -> executor: refused for load, nothing ran
    not_run_overloaded, // no byte of the request reached an upstream, for this and all not_run_*
    not_run_moved,      // the pool has another holder; open a new flow
    not_run_no_upstream,
    not_run_shutting_down,
    outcome_unknown,   // may have run; ask the service before trying again
    deadline_exceeded, // idempotent requests only
    cancelled,
    zone_out,      // given_up: operators took the data centre out
    upstream_gone, // given_up: the upstream is no longer the one in the flow id
    unknown_service
};

// A packet whose strings live in the receive buffer; valid while the packet is handled.
struct packet_view
{
    packet_kind kind{};
    flow_kind flow{};
    packet_status status{};
    std::uint8_t hops{};
    bool idempotent{};
    bool final{}; // last data packet of a stream or upload
    service_id service;
    request_id request;
    std::uint32_t sequence{};     // data: number of this packet
    std::uint32_t acknowledged{}; // data: next sequence wanted from the other side
    std::uint32_t deadline_ms{};  // time left to the deadline
    endpoint caller;
    std::string_view flow_id;
    std::string_view payload;
};

// Where a packet goes. The driver encodes and sends it at once.
struct send_packet
{
    endpoint to;
    packet_view packet;
};

enum class host_state : std::uint8_t
{
    live,
    leaving
};

// What one host knows about another's progress.
struct heartbeat_entry
{
    host_instance who;
    std::uint32_t counter{};
    host_state state{};
    auto operator<=>(heartbeat_entry const&) const = default;
};

struct heartbeat
{
    heartbeat_entry sender;
    zone_id zone;
    revision config;
    std::uint64_t list_version{};
    std::uint64_t clock{}; // hybrid logical clock
    std::vector<heartbeat_entry> digest;
    // The sender has had its list for so long that every host has it or a newer one. Told to hosts
    // that have just started.
    bool list_settled{};
    bool operator==(heartbeat const&) const = default;
};

// Asks a granter to grant, renew or (release) give back pools. set_hash is the hash of the granter
// set in the sender's host list for that pool.
struct lease_item
{
    pool_id pool;
    std::uint32_t set_hash{};
    bool release{};
    auto operator<=>(lease_item const&) const = default;
};
struct lease_request
{
    host_instance holder;
    std::uint32_t round{}; // matches the reply to the time at which the request was sent
    std::vector<lease_item> items;
    bool operator==(lease_request const&) const = default;
};
struct lease_result
{
    pool_id pool;
    bool granted{};
    host_instance current; // who has it, if refused
    auto operator<=>(lease_result const&) const = default;
};
struct lease_reply
{
    host_instance granter;
    std::uint32_t round{};
    std::vector<lease_result> results;
    bool operator==(lease_reply const&) const = default;
};

// Outstanding work that a leaving holder passes to its successor.
struct outstanding_item
{
    upstream_id upstream;
    std::uint16_t count{};
    std::uint32_t remaining_ms{}; // until the latest deadline among them
    std::uint16_t limit{};        // limit reached, so that the successor need not start cold
    std::uint32_t flows{};
    auto operator<=>(outstanding_item const&) const = default;
};
struct pool_handover
{
    pool_id pool;
    host_instance from;
    std::vector<outstanding_item> upstreams;
    bool operator==(pool_handover const&) const = default;
};

// One line of the platform's list.
enum class listed_kind : std::uint8_t
{
    entry,
    upstream
};
struct listed_host
{
    listed_kind kind{};
    std::uint32_t id{}; // host_id or upstream_id
    zone_id zone;
    host_state state{};
    endpoint packet; // where an entry host receives packets
    endpoint peer;   // heartbeats and leases (UDP)
    endpoint grpc;
    auto operator<=>(listed_host const&) const = default;
};
struct host_list
{
    std::uint64_t version{};
    std::vector<listed_host> hosts;
    bool operator==(host_list const&) const = default;
};

} // namespace chivelever

#endif
