// Stores the outcomes of requests until their flow id expires, so that a repeated request never
// runs twice.
#ifndef CHIVELEVER_COORDINATION_LEDGER_HPP
#define CHIVELEVER_COORDINATION_LEDGER_HPP

#include "state/state.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chivelever
{

// Identifies a request flow; the serial number is unique per issuing host instance and pool.
struct flow_key
{
    host_instance issuer;
    std::uint32_t serial{};
    auto operator<=>(flow_key const&) const = default;
};

struct flow_key_hash
{
    std::size_t operator()(flow_key const& k) const noexcept
    {
        return hash_pair(std::uint64_t{k.issuer.run.value} << 32 | k.serial, k.issuer.host.value);
    }
};

// Sized for 2,000 requests per second over the 30 s lifetime of a flow id.
struct ledger_limits
{
    std::size_t outcomes{131'072}; // running requests and outcomes
    std::size_t refusals{131'072}; // requests that were never started
    std::size_t payload_bytes{32U << 20};
};

// When the ledger is full, the oldest outcomes of idempotent requests are evicted, since running
// those again is harmless. All others stay until their flow id expires, and new requests are
// refused. If a refusal cannot be recorded either, the flow is blocked: none of its requests
// without an entry is ever started, so the refusal remains true. Flows issued later are not
// affected.
class ledger
{
public:
    struct entry
    {
        bool admitted{}; // false for a request that was never started
        bool running{};
        bool idempotent{};
        packet_status status{};
        std::uint32_t slot{}; // index of a running request in the owner's storage
        std::string payload;
    };

    explicit ledger(ledger_limits limits = {}) : limits_(limits) {}

    entry* find(flow_key const& flow, request_id request);
    // Adds a running entry; null if there is no room. May evict older entries.
    entry* admit(flow_key const& flow, time_point expires, request_id request, bool idempotent);
    // Records the outcome of a request that was never started; blocks the flow if there is no room.
    void refuse(flow_key const& flow, time_point expires, request_id request, packet_status status);
    // Converts a running entry to an outcome.
    void finish(flow_key const& flow, request_id request, packet_status status,
                std::string_view payload);
    bool is_blocked(flow_key const& flow, time_point now) const;
    // Removes flows whose id has expired.
    void expire(time_point now);

    std::size_t size() const { return outcomes_ + refusals_; }
    std::size_t payload_bytes() const { return payload_bytes_; }

private:
    struct flow_record
    {
        time_point expires;
        bool blocked{};
        std::unordered_map<request_id, entry> requests;
    };
    struct request_key
    {
        flow_key flow;
        request_id request;
    };
    flow_record& find_or_add(flow_key const& flow, time_point expires);
    bool evict_until_room();
    void subtract_from_totals(entry const& e);

    ledger_limits limits_;
    std::unordered_map<flow_key, flow_record, flow_key_hash> flows_;
    std::multimap<time_point, flow_key> expiries_;
    std::deque<request_key> evictable_; // finished idempotent requests, oldest first
    std::size_t outcomes_{};
    std::size_t refusals_{};
    std::size_t payload_bytes_{};
    // Flows without a record are blocked up to this serial number until `blocked_until_`.
    std::uint32_t blocked_serial_{};
    time_point blocked_until_{time_point::min()};
};

} // namespace chivelever

#endif
