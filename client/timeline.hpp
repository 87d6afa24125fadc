// Events of several processes, merged and written.
#ifndef CHIVELEVER_CLIENT_TIMELINE_HPP
#define CHIVELEVER_CLIENT_TIMELINE_HPP

#include "state/state.hpp"

#include <boost/json/object.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace chivelever::client
{

// "90s", "2m", "1h" or "500ms"; throws failure if it is none of them.
std::int64_t parse_duration_ms(std::string const& text);

std::vector<event> read_events(boost::json::object const& body);

// Causal order: by hybrid time, then host. Events that several daemons returned occur once.
std::vector<event> merge_events(std::vector<event> events);

void write_text(std::ostream& out, std::vector<event> const& events);
void write_json(std::ostream& out, std::vector<event> const& events);
// The Chrome trace event format, one process for each host.
void write_trace(std::ostream& out, std::vector<event> const& events);

} // namespace chivelever::client

#endif
