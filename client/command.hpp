// What the commands of the client share: their description, and the context in which they run.
#ifndef CHIVELEVER_CLIENT_COMMAND_HPP
#define CHIVELEVER_CLIENT_COMMAND_HPP

#include "client/http.hpp"
#include "client/settings.hpp"
#include "state/state.hpp"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace chivelever::client
{

struct context
{
    client_settings settings;
    http_client http;
    console& io;
    std::vector<std::string> arguments;
    boost::program_options::variables_map options;

    std::string option(char const* name) const
    {
        return options.count(name) == 0 ? std::string() : options[name].as<std::string>();
    }
};

struct command
{
    std::string name; // words, for example "config set"
    std::string arguments;
    std::size_t argument_count{};
    std::string help;
    std::string example;                                      // without the leading "chivelever"
    std::vector<std::pair<std::string, std::string>> options; // name and help
    std::function<exit_code(context&)> run;
};

std::vector<command> config_commands();  // config, exception
std::vector<command> fleet_commands();   // zone, upstream, service, key
std::vector<command> observe_commands(); // status, timeline, why, log-level

// The configuration in force on the daemon that answers.
fleet_config fetch_config(context& c);

// Submits one change and waits until it is in force everywhere. The change id is chosen here, or
// given by --change-id, and is the same over all tries, so that no try applies the change twice.
exit_code submit(context& c, revision base, std::vector<operation> operations);
// Options of each command that submits a change.
std::vector<std::pair<std::string, std::string>>
with_change_options(std::vector<std::pair<std::string, std::string>> own = {});

// Reports that a repeated command finds its effect already in force.
exit_code nothing_to_do(context& c, fleet_config const& config);

// Reads the operations of a file: {"operations": [...]}.
std::vector<operation> read_operations(std::string const& path);
// A proposal with a fresh change id.
std::string proposal_text(context& c, std::vector<operation> operations,
                          std::optional<revision> base);

std::int64_t parse_number(std::string const& what, std::string const& text);
std::int64_t now_ms();

// The program without the process around it, so that tests can call it.
int run(std::vector<std::string> const& arguments, console io);

} // namespace chivelever::client

#endif
