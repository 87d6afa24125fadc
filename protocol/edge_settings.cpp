#include "protocol/edge_settings.hpp"

#include "protocol/ini_index.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <sstream>

namespace chivelever
{

namespace
{

namespace pt = boost::property_tree;

constexpr double max_value = 1e6;
constexpr int default_grace_s = 6;

// Reads typed values from one INI file and collects findings about them.
class ini_reader
{
public:
    ini_reader(pt::ptree const& tree, ini_index const& index, std::string file, findings& found)
        : tree_(tree), index_(index), file_(std::move(file)), findings_(found)
    {
    }

    std::string text(std::string const& section, std::string const& key, bool required = true)
    {
        std::string value = tree_.get(section + "." + key, std::string());
        boost::algorithm::trim(value);
        if (value.empty() && required)
            add_finding(section, key, "is missing");
        return value;
    }

    endpoint address(std::string const& section, std::string const& key)
    {
        std::string const value = text(section, key);
        endpoint const e = parse_endpoint(value);
        if (!e.is_set() && !value.empty())
            add_finding(section, key, "\"" + value + "\" is not IPv4:port");
        return e;
    }

    std::uint32_t ip(std::string const& section, std::string const& key)
    {
        std::string const value = text(section, key);
        endpoint const e = parse_endpoint(value + ":1");
        if (!e.is_set() && !value.empty())
            add_finding(section, key, "\"" + value + "\" is not an IPv4 address");
        return e.address;
    }

    double number(std::string const& section, std::string const& key, double fallback)
    {
        std::string const value = text(section, key, false);
        if (value.empty())
            return fallback;
        std::istringstream in(value);
        double number{};
        if (in >> number && in.eof() && number >= 0 && number <= max_value)
            return number;
        add_finding(section, key, "\"" + value + "\" is not a number from 0 to 1000000");
        return fallback;
    }

    std::vector<std::string> list(std::string const& section, std::string const& key, bool required)
    {
        std::string const value = text(section, key, required);
        std::vector<std::string> parts;
        if (!value.empty())
            boost::algorithm::split(parts, value, boost::algorithm::is_any_of(","));
        for (std::string& p : parts)
            boost::algorithm::trim(p);
        return parts;
    }

    admission_policy policy(std::string const& section, std::string const& key)
    {
        std::string const value = text(section, key, false);
        if (value == "capacity")
            return admission_policy::capacity;
        if (!value.empty() && value != "answer_time")
            add_finding(section, key, "\"" + value + "\" is neither answer_time nor capacity");
        return admission_policy::answer_time;
    }

    void add_finding(std::string const& section, std::string const& key, std::string message)
    {
        auto const at = index_.keys.find({section, key});
        findings_.push_back(
            {file_, section, key, at == index_.keys.end() ? 0 : at->second, std::move(message)});
    }

private:
    pt::ptree const& tree_;
    ini_index const& index_;
    std::string file_;
    findings& findings_;
};

// The key holds the host's port range, for example "7720,7735". Only its first port is used.
std::uint16_t first_port(ini_reader& in)
{
    auto const range = in.list("host", "ports", true);
    int port{};
    std::istringstream first(range.empty() ? "" : range.front());
    if (first >> port && port > 0 && port <= 65535)
        return static_cast<std::uint16_t>(port);
    in.add_finding("host", "ports", "does not start with a port number from 1 to 65535");
    return 0;
}

} // namespace

std::optional<edge_settings> parse_edge_settings(std::string_view text, std::string const& file,
                                                 findings& found)
{
    ini_index const index = scan_ini(text, file);
    found.insert(found.end(), index.found.begin(), index.found.end());
    pt::ptree tree;
    std::istringstream stream(index.text);
    try
    {
        pt::read_ini(stream, tree);
    }
    catch (pt::ini_parser_error const& e)
    {
        found.push_back({file, "", "", static_cast<int>(e.line()), e.message()});
        return std::nullopt;
    }
    std::size_t const before = found.size();
    ini_reader in(tree, index, file, found);
    edge_settings s;
    s.name = in.text("host", "name");
    s.zone = in.text("host", "zone");
    s.ip = in.ip("host", "address");
    s.peer_port = first_port(in);
    for (std::string const& seed : in.list("host", "seeds", false))
        if (endpoint const e = parse_endpoint(seed); e.is_set())
            s.seeds.push_back(e.address);
    s.first_start = in.text("host", "first_start", false) == "true";
    s.packets = in.address("listen", "packets");
    s.ready = in.address("listen", "ready");
    s.store = in.address("store", "address");
    s.cold_overage = in.number("bounds", "cold_overage", s.cold_overage);
    s.cold_slack = in.number("bounds", "cold_slack", s.cold_slack);
    s.grace = std::chrono::milliseconds(
        static_cast<std::int64_t>(in.number("bounds", "grace_s", default_grace_s) * 1000));
    s.admission = in.policy("admission", "policy");
    if (found.size() > before)
        return std::nullopt;
    return s;
}

} // namespace chivelever
