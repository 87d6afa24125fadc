// Options common to all client commands, read from the command line or an INI file.
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

// Exit status of the client.
enum exit_code : int
{
    exit_done = 0,
    exit_refused = 1,
    exit_usage = 2,
    exit_unreachable = 3,
    exit_not_in_force = 4 // accepted, but not yet in force on every host
};

// Terminates a command; the message is written to standard error.
struct command_error
{
    exit_code code{};
    std::string message;
};

struct client_settings
{
    std::vector<endpoint> hosts; // HTTP endpoints of the daemons, tried in order
    std::string token;
    std::string author;
    bool json{};
    std::chrono::milliseconds timeout{}; // for all attempts of one request or submission
    std::chrono::milliseconds wait{};    // for a change to be in force on all hosts
};

boost::program_options::options_description common_options();

// Throws command_error with all findings.
client_settings read_settings(boost::program_options::variables_map const& parsed_options);

// Output streams of a command.
struct console
{
    std::ostream& out;
    std::ostream& err;
    bool is_terminal{}; // whether `err` is a terminal; progress is shown only then
};

} // namespace chivelever::client

#endif
