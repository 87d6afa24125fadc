// Messages between callers, hosts and upstreams, and between hosts, as typed values. Their codecs
// are in the protocol package.
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

// The executor is the host that issued the id of the request flow.
enum class packet_kind : std::uint8_t
{
    open = 1, // caller -> host: requests a flow to a service
    opened,   // host -> caller: carries the flow id
    data,     // stream or upload payload in both directions; also the keep-alive
    request,  // caller -> executor, executor -> upstream
    answer,   // upstream -> executor, executor -> caller
    cancel,   // caller -> executor -> upstream
    close,    // caller ends a flow
    refused,  // host -> caller: rejected, reason in status
    given_up  // host -> caller: the flow has ended, the caller must open a new one
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
    shed,               // upstream -> executor: rejected because of overload, not executed
    not_run_overloaded, // all not_run_*: no byte of the request reached an upstream
    not_run_moved,      // the pool has another holder; the caller must open a new flow
    not_run_no_upstream,
    not_run_shutting_down,
    outcome_unknown,   // may have been executed; query the service before retrying
    deadline_exceeded, // idempotent requests only
    cancelled,
    zone_out,      // given_up: operators evacuated the data centre
    upstream_gone, // given_up: the flow id names an upstream that has since been replaced
    unknown_service
};

// A packet whose strings point into the receive buffer; valid while the packet is processed.
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
    std::uint32_t sequence{};     // data: sequence number of this packet
    std::uint32_t acknowledged{}; // data: next sequence number expected from the other end
    std::uint32_t deadline_ms{};  // time left until the deadline
    endpoint caller;
    std::string_view flow_id;
    std::string_view payload;
};

// An outgoing packet and its destination. The driver encodes and sends it immediately.
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

// Latest heartbeat counter and state that a host knows of another host.
struct heartbeat_entry
{
    host_instance instance;
    std::uint32_t counter{};
    host_state state{};
    bool suspected{}; // a host of its zone saw no progress beyond this counter
    auto operator<=>(heartbeat_entry const&) const = default;
};

// Heartbeat progress of a host whose run the receiver already knows, truncated to the low bits that
// distinguish it from the receiver's value, so that a zone of 60 hosts fits into one datagram.
struct progress_entry
{
    static constexpr std::uint32_t run_bits = 7;
    static constexpr std::uint32_t counter_bits = 12;
    host_id host;
    std::uint8_t run{};      // low bits
    std::uint16_t counter{}; // low bits
    static constexpr std::uint8_t low_run(incarnation run)
    {
        return static_cast<std::uint8_t>(run.value & ((1U << run_bits) - 1));
    }
    static constexpr std::uint16_t low_counter(std::uint32_t counter)
    {
        return static_cast<std::uint16_t>(counter & ((1U << counter_bits) - 1));
    }
    auto operator<=>(progress_entry const&) const = default;
};

struct heartbeat
{
    heartbeat_entry sender;
    zone_id zone;
    revision config;
    std::uint64_t list_version{};
    std::uint64_t clock{}; // hybrid logical clock
    // Changed entries; all known entries if sent to a host that has just started.
    std::vector<heartbeat_entry> digest;
    // The sender has held its host list for long enough that every host has this version or a newer
    // one. Sent to hosts that have just started.
    bool list_settled{};
    std::vector<progress_entry> progress; // in order of host id
    bool operator==(heartbeat const&) const = default;
};

// Asks a granter to grant, renew or, with `release`, release the lease of a pool. The granters of a
// pool are up to three hosts, of which a majority must grant. set_hash is the hash of the pool's
// granter set according to the sender's host list.
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
    std::uint32_t round{}; // copied into the reply, to look up when the request was sent
    std::vector<lease_item> items;
    bool operator==(lease_request const&) const = default;
};
struct lease_result
{
    pool_id pool;
    bool granted{};
    host_instance current; // the present holder, if refused
    auto operator<=>(lease_result const&) const = default;
};
struct lease_reply
{
    host_instance granter;
    std::uint32_t round{};
    std::vector<lease_result> results;
    incarnation holder_run; // run of the requesting host, so that a later run ignores the grant
    bool operator==(lease_reply const&) const = default;
};

// Outstanding work at one upstream that a leaving pool holder passes to its successor.
struct outstanding_item
{
    upstream_id upstream;
    std::uint16_t count{};
    std::uint32_t remaining_ms{}; // until the latest deadline of these requests
    std::uint16_t limit{}; // concurrency limit reached; the successor starts from it, not cold
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

// Kind of an entry in the platform's host list.
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
