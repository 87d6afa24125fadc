// Merging and output of timeline events from several daemons.
#ifndef CHIVELEVER_CLIENT_TIMELINE_HPP
#define CHIVELEVER_CLIENT_TIMELINE_HPP

#include "state/state.hpp"

#include <boost/json/object.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace chivelever::client
{

// Parses a duration such as "90s", "2m", "1h" or "500ms"; throws command_error if it is invalid.
std::int64_t parse_duration_ms(std::string const& text);

std::vector<event> read_events(boost::json::object const& body);

// Sorts events in causal order, by hybrid time and then host, and removes duplicates returned by
// several daemons.
std::vector<event> merge_events(std::vector<event> events);

void write_text(std::ostream& out, std::vector<event> const& events);
void write_json(std::ostream& out, std::vector<event> const& events);
// Writes the Chrome trace event format with one process per host.
void write_trace(std::ostream& out, std::vector<event> const& events);

} // namespace chivelever::client

#endif
