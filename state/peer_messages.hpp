// What the hosts of a deployment tell each other.
#ifndef CHIVELEVER_STATE_PEER_MESSAGES_HPP
#define CHIVELEVER_STATE_PEER_MESSAGES_HPP

#include "state/edge_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chivelever
{

// Load that one host puts on an upstream.
struct reported_load
{
    flow_token upstream;
    std::uint32_t flows{};
    std::uint32_t
        mean_waiting_milli{}; // requests without an answer, mean of about a second, in 1/1000
    auto operator<=>(reported_load const&) const = default;
};

// Where another host is found.
struct peer_address
{
    std::uint32_t ip{};
    std::string zone;
    auto operator<=>(peer_address const&) const = default;
};

// Sent to other hosts several times a second, and at once after the store was read. Ages are those
// at the time of sending.
struct peer_beat
{
    peer_address sender;
    bool leaving{};                 // the sender is about to stop
    std::uint64_t as_of{};          // revision of the store that the sender's view shows
    std::uint64_t digest{};         // of the view's contents
    std::uint64_t config_version{}; // 0: the sender has loaded nothing yet
    std::uint32_t view_age_ms{};    // since the view was known to be the newest
    std::vector<reported_load> loads;
    std::vector<flow_token> suspects; // upstreams that do not answer the sender
    std::vector<peer_address> others; // some hosts that the sender hears
    bool operator==(peer_beat const&) const = default;
};

// The view of a host, for one that has an older one: all of it, or what has changed since the other
// host's revision.
struct peer_view
{
    std::uint32_t view_age_ms{};
    bool complete{};
    std::uint64_t digest{};     // of the whole view, to check the result
    operator_listing operators; // the configuration is left out if the other host has it
    // Version that the configuration is a difference from: its routes are those that were added or
    // changed since. 0: the configuration is whole.
    std::uint64_t config_base{};
    std::vector<endpoint> dropped_routes; // since that version
    upstream_listing upstreams;           // all, or those that were written since
    std::vector<std::string> removed;     // upstreams that have gone since; empty if complete
    bool operator==(peer_view const&) const = default;
};

} // namespace chivelever

#endif
