// chivelever-edge: the daemon of an edge host on the platform.
#include "edge/edge_host.hpp"
#include "transport/transport.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace
{

namespace po = boost::program_options;
using namespace chivelever;

constexpr char const* settings_variable = "CHIVELEVER_CONFIG";
// A host handles about 60 openings and requests per second, and several times that in a burst.
constexpr int log_lines_per_second = 200;

po::options_description command_line_options()
{
    po::options_description d("Options");
    d.add_options()("help", "show this text")(
        "settings", po::value<std::string>()->value_name("FILE"),
        "settings file of this host (INI); default: $CHIVELEVER_CONFIG")(
        "check-settings", "validate the settings, print all findings and exit")(
        "metrics-port", po::value<std::uint16_t>()->default_value(0)->value_name("PORT"),
        "TCP port for metrics; 0 disables the endpoint")(
        "severity", po::value<std::string>()->default_value("info")->value_name("LEVEL"),
        "minimum severity to log: debug, info, warning or error");
    return d;
}

std::string settings_path(po::variables_map const& values)
{
    if (values.count("settings") != 0)
        return values["settings"].as<std::string>();
    char const* const named = std::getenv(settings_variable);
    return named != nullptr ? named : "";
}

std::optional<edge_settings> read_settings(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    findings problems;
    if (!in)
        problems.push_back({path, "", "", 0, "cannot be read"});
    std::string const text{std::istreambuf_iterator<char>(in), {}};
    auto settings = in ? parse_edge_settings(text, path, problems) : std::nullopt;
    for (finding const& f : problems)
        std::cerr << to_string(f) << "\n";
    return settings;
}

int run(edge_settings settings, std::string const& path, po::variables_map const& values)
{
    std::signal(SIGPIPE, SIG_IGN);
    log::severity min_severity = log::severity::info;
    if (!log::parse_severity(values["severity"].as<std::string>(), min_severity))
    {
        std::cerr << "chivelever-edge: unknown severity\n";
        return exit_usage;
    }
    log::start_nonblocking(min_severity, settings.name, log_lines_per_second);
    boost::asio::io_context io(1);
    edge_host host(io, std::move(settings), path, values["metrics-port"].as<std::uint16_t>());
    host.start();
    run_event_loop(io, [&host](std::exception_ptr const& error)
                   { host.record_failed_task("event loop", error); });
    log::flush();
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    po::variables_map values;
    if (auto const code = read_command_line(argc, argv, "chivelever-edge", "[--settings FILE]",
                                            command_line_options(), values))
        return *code;
    std::string const path = settings_path(values);
    auto const settings = read_settings(path);
    if (!settings)
        return exit_usage;
    if (values.count("check-settings") != 0)
    {
        std::cout << "settings are in order\n";
        return exit_ok;
    }
    try
    {
        return run(*settings, path, values);
    }
    catch (std::exception const& e)
    {
        log::flush();
        std::cerr << "chivelever-edge: " << e.what() << "\n";
        return exit_failed;
    }
}
