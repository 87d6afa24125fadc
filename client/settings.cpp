#include "client/settings.hpp"

#include "protocol/protocol.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <cstdlib>
#include <sstream>

namespace chivelever::client
{

namespace po = boost::program_options;

namespace
{

// On a link with a round-trip time of 200 ms and 5% packet loss, a connection request that is lost
// and retransmitted once takes up to 3 s. The timeout of a command allows for several attempts.
constexpr int default_timeout_s = 60;
constexpr int default_wait_s = 20; // a change is in force within 10 s if all hosts are up

void read_settings_file(std::string const& path, po::variables_map const& parsed_options,
                        std::map<std::string, std::string>& values, findings& problems)
{
    auto const text = read_file(path);
    if (!text)
    {
        problems.push_back({path, "", "", 0, "cannot be read"});
        return;
    }
    boost::property_tree::ptree tree;
    std::istringstream stream(*text);
    try
    {
        boost::property_tree::read_ini(stream, tree);
    }
    catch (boost::property_tree::ini_parser_error const& e)
    {
        problems.push_back({path, "", "", static_cast<int>(e.line()), e.message()});
        return;
    }
    for (auto const& [section, keys] : tree)
        for (auto const& [key, value] : keys)
        {
            bool const known =
                section == "client" && (key == "hosts" || key == "token-file" || key == "author" ||
                                        key == "timeout" || key == "wait");
            if (!known)
                problems.push_back({path, section, key, 0, "unknown key"});
            else if (parsed_options.count(key) == 0)
                values[key] = value.data();
        }
}

std::chrono::milliseconds seconds(std::map<std::string, std::string> const& values,
                                  std::string const& key, int fallback, findings& problems)
{
    constexpr int max_seconds = 3600;
    auto const it = values.find(key);
    int n = fallback;
    if (it != values.end())
    {
        char* end = nullptr;
        long const parsed = std::strtol(it->second.c_str(), &end, 10);
        if (it->second.empty() || *end != '\0' || parsed < 0 || parsed > max_seconds)
            problems.push_back({"", "", key, 0, "must be a number of seconds from 0 to 3600"});
        else
            n = static_cast<int>(parsed);
    }
    return std::chrono::seconds(n);
}

void read_hosts(std::string const& list, client_settings& to, findings& problems)
{
    std::istringstream in(list);
    for (std::string item; std::getline(in, item, ',');)
    {
        endpoint const e = parse_endpoint(item);
        if (e.is_set())
            to.hosts.push_back(e);
        else
            problems.push_back({"", "", "hosts", 0, "'" + item + "' is not IPv4:port"});
    }
    if (list.empty())
        problems.push_back(
            {"", "", "hosts", 0, "required; use --hosts or a settings file (--settings)"});
}

} // namespace

po::options_description common_options()
{
    po::options_description o("Options of every command");
    o.add_options()("help,h", "show the usage of the command")(
        "hosts", po::value<std::string>(), "daemons as ip:port,ip:port, tried in order")(
        "settings", po::value<std::string>(),
        "INI file with [client] hosts, token-file, author, timeout, wait")(
        "token-file", po::value<std::string>(), "file with the operator token")(
        "author", po::value<std::string>(), "author of the change (default: the user name)")(
        "timeout", po::value<std::string>(),
        "seconds to keep trying to reach a daemon (default 60)")(
        "wait", po::value<std::string>(),
        "seconds to wait for a change to be in force on all hosts (default 20)")(
        "json", po::bool_switch(), "write JSON instead of a table");
    return o;
}

client_settings read_settings(po::variables_map const& parsed_options)
{
    findings problems;
    std::map<std::string, std::string> values;
    if (parsed_options.count("settings") != 0)
        read_settings_file(parsed_options["settings"].as<std::string>(), parsed_options, values,
                           problems);
    for (char const* key : {"hosts", "token-file", "author", "timeout", "wait"})
        if (parsed_options.count(key) != 0)
            values[key] = parsed_options[key].as<std::string>();
    client_settings s;
    s.json = parsed_options["json"].as<bool>();
    read_hosts(values["hosts"], s, problems);
    s.timeout = seconds(values, "timeout", default_timeout_s, problems);
    s.wait = seconds(values, "wait", default_wait_s, problems);
    s.author = values["author"];
    if (char const* user = std::getenv("USER"); s.author.empty() && user != nullptr)
        s.author = user;
    if (std::string const path = values["token-file"]; !path.empty())
    {
        auto const token = read_file(path);
        if (!token)
            problems.push_back({"", "", "token-file", 0, path + " cannot be read"});
        else
            s.token = token->substr(0, token->find_last_not_of(" \t\r\n") + 1);
    }
    if (problems.empty())
        return s;
    std::string all;
    for (finding const& f : problems)
        all += (all.empty() ? "" : "\n") + to_string(f);
    throw command_error{exit_usage, all};
}

} // namespace chivelever::client
