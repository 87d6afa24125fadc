// chiveleverd: the daemon that runs on each entry host.
#include "daemon/node.hpp"
#include "transport/transport.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace
{

namespace po = boost::program_options;
using namespace chivelever;

constexpr char const* version = "chiveleverd 0.1.0";

po::options_description command_line_options()
{
    po::options_description d("Options");
    d.add_options()("help", "show this text")("version", "show the version")(
        "settings", po::value<std::string>()->value_name("FILE"),
        "settings file of this host (INI)")("check-settings",
                                            po::value<std::string>()->value_name("FILE"),
                                            "check a settings file, print all findings and exit")(
        "print-settings", "print the effective settings with their sources and exit");
    return d;
}

// Reads the settings and prints all findings to standard error.
std::optional<host_settings> read_settings(std::string const& file)
{
    findings problems;
    auto settings = value_or_findings([&] { return load_settings(file); }, problems);
    for (finding const& f : problems)
        std::cerr << to_string(f) << "\n";
    return settings;
}

// Blocks the termination signals in this thread and in all threads it starts, so that only sigwait
// in the main thread receives them.
sigset_t block_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

// The incarnation is the Unix time in seconds at startup, so a later run of a host has a higher
// one.
incarnation new_incarnation()
{
    return {static_cast<std::uint32_t>(unix_now_ms() / 1000)};
}

int run(host_settings settings)
{
    sigset_t const signals = block_signals();
    log::severity lowest = log::severity::info;
    log::parse_severity(settings.severity, lowest);
    log::start(lowest, settings.name);
    invariants::on_violation(
        [](std::string_view rule, std::string_view detail)
        {
            log::error("invariant.violated",
                       {{"rule", std::string(rule)}, {"detail", std::string(detail)}});
        });
    node n(std::move(settings), new_incarnation());
    n.start();
    int signal = 0;
    sigwait(&signals, &signal);
    n.drain();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    po::variables_map values;
    if (auto const code = read_command_line(argc, argv, "chiveleverd", "--settings FILE",
                                            command_line_options(), values))
        return *code;
    if (values.count("version") != 0)
    {
        std::cout << version << "\n";
        return exit_ok;
    }
    bool const check = values.count("check-settings") != 0;
    if (!check && values.count("settings") == 0)
    {
        std::cerr << "chiveleverd: --settings FILE is missing\nTry chiveleverd --help.\n";
        return exit_usage;
    }
    auto const settings =
        read_settings(values[check ? "check-settings" : "settings"].as<std::string>());
    if (!settings)
        return exit_usage;
    if (check)
    {
        std::cout << "settings are in order\n";
        return exit_ok;
    }
    if (values.count("print-settings") != 0)
    {
        std::cout << print_settings(*settings);
        return exit_ok;
    }
    try
    {
        return run(*settings);
    }
    catch (std::exception const& e)
    {
        std::cerr << "chiveleverd: " << e.what() << "\n";
        return exit_failed;
    }
}
