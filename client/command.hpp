// Command descriptions and the context in which commands run.
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
    std::string name; // one or two words, for example "config set"
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

// Fetches the configuration in force on the first daemon that responds.
fleet_config fetch_config(context& c);

// Submits a change and waits until it is in force on all hosts. The change id is generated or given
// by --change-id and is the same for all attempts, so that retries do not apply the change twice.
exit_code submit(context& c, revision base, std::vector<operation> operations);
// Adds the options common to all commands that submit a change.
std::vector<std::pair<std::string, std::string>>
with_change_options(std::vector<std::pair<std::string, std::string>> options = {});

// Reports that the requested state is already in force, as when a command is repeated.
exit_code report_unchanged(context& c, fleet_config const& config);

// Reads operations from a JSON file: {"operations": [...]}.
std::vector<operation> read_operations(std::string const& path);
// Returns a proposal in JSON, with the id given by --change-id or a new one.
std::string make_proposal_json(context& c, std::vector<operation> operations,
                               std::optional<revision> base);

std::int64_t parse_number(std::string const& what, std::string const& text);
std::int64_t now_ms();

// Runs the client in-process, so that tests can call it. Returns the exit code.
int run(std::vector<std::string> const& arguments, console io);

} // namespace chivelever::client

#endif
