// Options that every command of the client has, from the command line or an INI file.
#ifndef CHIVELEVER_CLIENT_SETTINGS_HPP
#define CHIVELEVER_CLIENT_SETTINGS_HPP

#include "state/state.hpp"

#include <boost/program_options.hpp>
#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace chivelever::client
{

// What the client returns to the shell.
enum exit_code : int
{
    exit_done = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_not_reached = 3,
    exit_not_in_force = 4 // accepted, but not yet in force on every host
};

// Ends a command; the message goes to standard error.
struct failure
{
    exit_code code{};
    std::string message;
};

struct client_settings
{
    std::vector<endpoint> hosts; // HTTP endpoints of daemons, tried in turn
    std::string token;
    std::string author;
    bool json{};
    std::chrono::milliseconds timeout{}; // of a whole command, waiting apart
    std::chrono::milliseconds wait{};    // for a change to be in force everywhere
};

boost::program_options::options_description common_options();

// Throws failure with all findings.
client_settings read_settings(boost::program_options::variables_map const& given);

// Where a command writes, and whether a person watches.
struct console
{
    std::ostream& out;
    std::ostream& err;
    bool terminal{}; // progress is shown only here
};

} // namespace chivelever::client

#endif
