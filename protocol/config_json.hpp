// JSON codec for the configuration, its changes, the host list and events. Decoding is strict:
// unknown and missing keys, wrong types, values out of range and oversized documents are findings.
#ifndef CHIVELEVER_PROTOCOL_CONFIG_JSON_HPP
#define CHIVELEVER_PROTOCOL_CONFIG_JSON_HPP

#include "state/state.hpp"

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

inline constexpr std::size_t max_document_bytes = 1'000'000; // the store limits a value to 1 MB
inline constexpr std::size_t max_change_bytes = 256 * 1024;
inline constexpr std::size_t max_event_bytes = 64 * 1024;

boost::json::object to_json(fleet_config const& config);
boost::json::object to_json(config_change const& change);
boost::json::object to_json(host_list const& list);
boost::json::object to_json(event const& e);
boost::json::object to_json(finding const& f);
boost::json::object to_json(operation const& op);

// Names of states in JSON and in the client's output.
std::string_view name_of(upstream_state state);
std::string_view name_of(zone_state state);

std::string encode(fleet_config const& config);
std::string encode(config_change const& change);
std::string encode(host_list const& list);
std::string encode(event const& e);

checked<fleet_config> decode_config(std::string_view text);
checked<config_change> decode_change(std::string_view text);
// Entries that are invalid are skipped, with a finding for each, because the others still hold.
checked<host_list> decode_host_list(std::string_view text, findings& skipped);
checked<event> decode_event(std::string_view text);

// A change as proposed by a client: without a revision of its own, optionally with the base
// revision that the operator saw and prepared the change against.
struct proposed_change
{
    config_change change; // its revision is 0
    std::optional<revision> base;
    bool operator==(proposed_change const&) const = default;
};
std::string encode(proposed_change const& proposal);
checked<proposed_change> decode_proposal(std::string_view text);

} // namespace chivelever

#endif
