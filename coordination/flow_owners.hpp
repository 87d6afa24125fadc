// Agreement between the hosts of a zone on the upstream of a flow whose SYN may have reached
// several of them. The copies of a SYN can take different ways: the fabric moves the caller to
// another host between them, or a host that stood still reads one that has waited at its socket. If
// each host placed its copy, several upstreams would answer, and the caller would echo the token of
// the one that answered last, which need not be the one at which the flow is open.
//
// A host that receives such a copy holds it and asks the hosts of its zone; only without an answer
// does it choose an upstream. A flow whose SYN may have reached two upstreams all the same is
// called contested. It is reported to the zone when that happens and again when it opens, so that
// hosts without memory of it do not rely on the echoed token (docs/design/flow-owners.md).
#ifndef CHIVELEVER_COORDINATION_FLOW_OWNERS_HPP
#define CHIVELEVER_COORDINATION_FLOW_OWNERS_HPP

#include "state/state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chivelever
{

// A SYN that waits for the answers of the zone, with the packet as received from the caller.
struct held_syn
{
    caller_packet header;
    std::string packet;
    bool operator==(held_syn const&) const = default;
};

class flow_owners
{
public:
    // Holds a SYN and asks the zone for the flow's upstream. Returns false if too many are held.
    bool hold(caller_packet const& p, std::string_view raw, time_point now);
    // Removes and returns the SYNs for which no host of the zone has named an upstream in time.
    std::vector<held_syn> take_unanswered(time_point now);
    // When `take_unanswered` should be called next; zero if no SYN is held.
    time_point next_deadline() const;

    // Records what another host says about a contested flow, or in answer to an inquiry. Removes
    // and returns the SYN that was held for it.
    std::optional<held_syn> learn(flow_owner const& owner, time_point now);
    // Discards the SYN held for the flow, which another host places.
    void release(flow_owner const& asked);
    // Upstream at which the flow of a packet with this sequence number is open, as reported by this
    // host or another one; 0 if unknown.
    flow_token find(flow_endpoints const& flow, std::uint32_t sequence) const;
    // Whether a packet with this sequence number is the first one after the handshake of a
    // contested flow. Only that packet echoes for certain the token of the upstream that the caller
    // chose.
    bool is_first_of_contested(flow_endpoints const& flow, std::uint32_t sequence) const;
    // Reports a contested flow to the zone: where its SYN was sent last, or where it has opened.
    void report(flow_owner const& owner, time_point now);

    // What is to be sent to the zone since the last call.
    flow_report take_messages();
    bool has_messages() const { return !messages_.asked.empty() || !messages_.known.empty(); }
    // All reports that still apply, for a host that has just started.
    std::vector<flow_owner> all_reports() const;
    void expire(time_point now);

private:
    struct known_owner
    {
        std::uint32_t first_sequence{};
        flow_token upstream; // 0 until the flow is known to be open
        time_point since;
    };
    struct held
    {
        held_syn syn;
        time_point deadline;
    };

    void store(flow_owner const& owner, time_point now);

    std::unordered_map<flow_endpoints, known_owner> known_;
    std::unordered_map<flow_endpoints, held> held_;
    flow_report messages_;
};

// Whether a packet with sequence number `sequence` can belong to the flow whose bytes up to
// `next_sequence` have been sent. A later flow between the same addresses and ports starts at a
// random number.
bool in_sequence_window(std::uint32_t sequence, std::uint32_t next_sequence);

} // namespace chivelever

#endif
