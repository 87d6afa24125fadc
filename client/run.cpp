// Command lookup, option parsing and help output.
#include "client/command.hpp"
#include "client/table.hpp"
#include "protocol/protocol.hpp"

#include <algorithm>

namespace chivelever::client
{

namespace po = boost::program_options;

namespace
{

constexpr std::string_view version = "0.1.0";

std::vector<command> all_commands()
{
    std::vector<command> all = config_commands();
    for (auto const& more : {fleet_commands(), observe_commands()})
        all.insert(all.end(), more.begin(), more.end());
    all.push_back({"version",
                   "",
                   0,
                   "Show the version of the client.",
                   "version",
                   {},
                   [](context& c)
                   {
                       c.io.out << "chivelever " << version << '\n';
                       return exit_done;
                   }});
    return all;
}

void print_usage(std::ostream& out, std::vector<command> const& commands)
{
    out << "chivelever COMMAND [ARGUMENTS] [OPTIONS]\n\n";
    std::vector<std::vector<std::string>> rows;
    rows.reserve(commands.size());
    for (command const& c : commands)
        rows.push_back({"  " + c.name + (c.arguments.empty() ? "" : " " + c.arguments), c.help});
    print_table(out, rows);
    out << "\nchivelever COMMAND --help shows the options of a command and an example.\n"
           "Exit codes: 0 done, 1 refused, 2 usage or settings error, 3 unreachable or outcome "
           "unknown,\n"
           "4 accepted but not yet in force everywhere.\n";
}

// Finds the command named by the first one or two words, and removes these words.
command const* find_command(std::vector<command> const& commands, std::vector<std::string>& words)
{
    for (std::size_t count : {std::size_t{2}, std::size_t{1}})
    {
        if (words.size() < count)
            continue;
        std::string const name = count == 2 ? words[0] + " " + words[1] : words[0];
        auto const it = std::find_if(commands.begin(), commands.end(),
                                     [&](command const& c) { return c.name == name; });
        if (it == commands.end())
            continue;
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
        return &*it;
    }
    return nullptr;
}

po::options_description command_options(command const& c)
{
    po::options_description o("Options of " + c.name);
    for (auto const& [name, help] : c.options)
        o.add_options()(name.c_str(), po::value<std::string>(), help.c_str());
    return o;
}

void print_help(std::ostream& out, command const& c)
{
    out << "chivelever " << c.name << (c.arguments.empty() ? "" : " " + c.arguments)
        << " [OPTIONS]\n\n"
        << c.help << "\n\nExample:\n  chivelever " << c.example << "\n\n";
    if (!c.options.empty())
        out << command_options(c) << '\n';
    out << common_options();
}

int run_command(command const& c, std::vector<std::string> const& words, console& io)
{
    po::options_description visible;
    visible.add(command_options(c)).add(common_options());
    po::options_description all;
    all.add(visible).add_options()("argument", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("argument", -1);
    po::variables_map parsed_options;
    po::store(po::command_line_parser(words).options(all).positional(positional).run(),
              parsed_options);
    if (parsed_options.count("help") != 0)
    {
        print_help(io.out, c);
        return exit_done;
    }
    std::vector<std::string> arguments;
    if (parsed_options.count("argument") != 0)
        arguments = parsed_options["argument"].as<std::vector<std::string>>();
    if (arguments.size() != c.argument_count)
        throw command_error{exit_usage,
                            "usage: chivelever " + c.name + " " + c.arguments + "; see --help"};
    client_settings const settings =
        c.name == "version" ? client_settings{} : read_settings(parsed_options);
    context ctx{settings, http_client(settings), io, std::move(arguments),
                std::move(parsed_options)};
    return c.run(ctx);
}

} // namespace

int run(std::vector<std::string> const& arguments, console io)
try
{
    std::vector<command> const commands = all_commands();
    std::vector<std::string> words = arguments;
    if (words.empty() || words[0] == "--help" || words[0] == "-h" || words[0] == "help")
    {
        print_usage(words.empty() ? io.err : io.out, commands);
        return words.empty() ? exit_usage : exit_done;
    }
    command const* c = find_command(commands, words);
    if (c == nullptr)
        throw command_error{exit_usage, "unknown command: " + words[0] +
                                            (words.size() > 1 ? " " + words[1] : "") +
                                            "; see --help"};
    return run_command(*c, words, io);
}
catch (command_error const& f)
{
    io.err << f.message << '\n';
    return f.code;
}
catch (po::error const& e)
{
    io.err << e.what() << '\n';
    return exit_usage;
}
catch (std::exception const& e)
{
    io.err << "unexpected response: " << e.what() << '\n';
    return exit_unreachable;
}

} // namespace chivelever::client
