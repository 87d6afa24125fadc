#include "protocol/settings.hpp"

#include "protocol/ini_index.hpp"

#include <algorithm>
#include <array>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

namespace chivelever
{

namespace
{

constexpr std::size_t max_settings_bytes = 1 << 20;
constexpr std::size_t max_value_bytes = 4096;
constexpr std::size_t min_secret_bytes = 16; // 128 bits, the length of a flow id key

using kind = setting_value_kind;
constexpr std::array<host_setting_spec, 17> setting_specs{{
    {"host", "id", "number", "", kind::number, 1, 65535, true,
     "number of this host, unique in the deployment"},
    {"host", "name", "name", "", kind::name, 0, 0, true, "name of this host in logs and answers"},
    {"host", "zone", "number", "", kind::number, 1, 255, true, "number of the zone of this host"},
    {"host", "zone_name", "name", "", kind::name, 0, 0, true, "name of the zone of this host"},
    {"host", "packet_listen", "IPv4:port", "", kind::address, 0, 0, true,
     "where packets of callers and upstreams arrive (UDP)"},
    {"host", "peer_listen", "IPv4:port", "", kind::address, 0, 0, true,
     "where heartbeats and lease messages arrive (UDP)"},
    {"host", "grpc_listen", "IPv4:port", "", kind::address, 0, 0, true,
     "where calls of other hosts arrive (TCP)"},
    {"host", "admin_listen", "IPv4:port", "", kind::address, 0, 0, true,
     "where the HTTP interface for operators and probes listens (TCP)"},
    {"cluster", "secret_file", "path", "", kind::file, 0, 0, false,
     "file with the secret that authenticates hosts and flow ids; either this or secret"},
    {"cluster", "secret", "text", "", kind::text, 0, 0, false,
     "the secret itself; either this or secret_file"},
    {"cluster", "deployment", "name", "", kind::name, 0, 0, true,
     "name of the deployment, the first part of its keys in the store"},
    {"platform", "store", "IPv4:port", "", kind::address, 0, 0, false,
     "the platform's key-value service; needed unless in_process = yes"},
    {"platform", "in_process", "yes or no", "no", kind::flag, 0, 0, false,
     "keep the configuration inside the process, for a single host without a platform"},
    {"operators", "token_file", "path", "", kind::file, 0, 0, true,
     "file with the token that changes by operators must carry"},
    {"threads", "packet", "threads", "2", kind::number, 1, 64, false,
     "threads that handle packets"},
    {"log", "severity", "level", "info", kind::severity, 0, 0, false,
     "least severity that is logged"},
    {"peers", "NAME", "id zone packet peer grpc", "", kind::text, 0, 0, false,
     "another host: its number, zone number and three endpoints as this host reaches them"},
}};
constexpr std::string_view peer_name_placeholder = "NAME"; // stands for any host name in [peers]

constexpr std::array<std::string_view, 6> severities{"trace",   "debug", "info",
                                                     "warning", "error", "fatal"};

bool is_name(std::string_view s)
{
    constexpr std::size_t max_name_bytes = 64;
    return !s.empty() && s.size() <= max_name_bytes &&
           std::all_of(s.begin(), s.end(),
                       [](unsigned char c)
                       { return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-'; });
}

std::optional<std::int64_t> parse_integer(std::string_view s)
{
    std::int64_t v{};
    auto const [end, error] = std::from_chars(s.data(), s.data() + s.size(), v);
    if (error != std::errc{} || end != s.data() + s.size())
        return {};
    return v;
}

// Whether the key accepts the value. Contents of files and secrets are not checked here.
bool is_valid(host_setting_spec const& key, std::string const& value)
{
    switch (key.kind)
    {
    case kind::number:
    {
        auto const v = parse_integer(value);
        return v && *v >= key.minimum && *v <= key.maximum;
    }
    case kind::name:
        return is_name(value);
    case kind::address:
        return parse_endpoint(value).is_set();
    case kind::flag:
        return value == "yes" || value == "no";
    case kind::severity:
        return std::find(severities.begin(), severities.end(), value) != severities.end();
    case kind::file:
    case kind::text:
        return !value.empty();
    }
    return false;
}

std::string trim_trailing_whitespace(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0)
        text.pop_back();
    return text;
}

// Parses one file and collects its values and findings.
class settings_parser
{
public:
    settings_parser(std::string_view text, std::string const& file, file_reader const& read)
        : file_(file), read_file_(read), index_(scan_ini(text, file))
    {
        settings_.file = file;
        findings_ = std::move(index_.found);
        std::istringstream stream(index_.text);
        try
        {
            boost::property_tree::read_ini(stream, tree_);
        }
        catch (boost::property_tree::ini_parser_error const& e)
        {
            findings_.push_back({file_, "", "", static_cast<int>(e.line()), e.message()});
        }
    }

    checked<host_settings> parse()
    {
        check_names();
        for (host_setting_spec const& key : setting_specs)
            if (key.name != peer_name_placeholder)
                read_value(key);
        read_process_settings();
        read_secrets_and_store();
        read_peers();
        if (!findings_.empty())
        {
            std::stable_sort(findings_.begin(), findings_.end(),
                             [](finding const& a, finding const& b) { return a.line < b.line; });
            return findings_error(std::move(findings_));
        }
        return std::move(settings_);
    }

private:
    void add_finding(std::string_view section, std::string_view key, std::string message)
    {
        int line = 0;
        if (auto const it = index_.keys.find({std::string(section), std::string(key)});
            it != index_.keys.end())
            line = it->second;
        else if (auto const s = index_.sections.find(std::string(section));
                 s != index_.sections.end())
            line = s->second;
        findings_.push_back(
            {file_, std::string(section), std::string(key), line, std::move(message)});
    }

    // Reports unknown sections and keys.
    void check_names()
    {
        for (auto const& entry : index_.sections)
            if (std::none_of(setting_specs.begin(), setting_specs.end(),
                             [&](host_setting_spec const& k) { return k.section == entry.first; }))
                add_finding(entry.first, "", "unknown section");
        for (auto const& entry : index_.keys)
        {
            std::string const& section = entry.first.first;
            std::string const& key = entry.first.second;
            bool const known = section == "peers" ||
                               std::any_of(setting_specs.begin(), setting_specs.end(),
                                           [&](host_setting_spec const& k)
                                           { return k.section == section && k.name == key; });
            if (!known)
                add_finding(section, key, "unknown key");
        }
    }

    std::optional<std::string> raw_value(std::string_view section, std::string_view key) const
    {
        auto const s = tree_.find(std::string(section));
        if (s == tree_.not_found())
            return {};
        auto const k = s->second.find(std::string(key));
        if (k == s->second.not_found())
            return {};
        return k->second.data();
    }

    // Validates one value and stores it with its source.
    void read_value(host_setting_spec const& key)
    {
        auto value = raw_value(key.section, key.name);
        int line = 0;
        if (value)
            line = index_.keys[{std::string(key.section), std::string(key.name)}];
        else if (!key.default_value.empty())
            value = std::string(key.default_value);
        if (!value)
        {
            if (key.required)
                add_finding(key.section, key.name, "missing; " + accepted_values(key));
            return;
        }
        if (value->size() > max_value_bytes || !is_valid(key, *value))
        {
            add_finding(key.section, key.name,
                        "'" + value->substr(0, 64) + "' is not accepted; " + accepted_values(key));
            return;
        }
        std::string const shown = key.name == "secret" ? "(hidden)" : *value;
        settings_.sources.push_back({std::string(key.section), std::string(key.name), shown, line});
        values_[{key.section, key.name}] = *value;
    }

    std::string text(std::string_view section, std::string_view key) const
    {
        auto const it = values_.find({section, key});
        return it == values_.end() ? std::string() : it->second;
    }
    std::int64_t integer(std::string_view section, std::string_view key) const
    {
        return parse_integer(text(section, key)).value_or(0);
    }

    void read_process_settings()
    {
        settings_.id = {static_cast<std::uint16_t>(integer("host", "id"))};
        settings_.name = text("host", "name");
        settings_.zone = {static_cast<std::uint8_t>(integer("host", "zone"))};
        settings_.zone_name = text("host", "zone_name");
        settings_.deployment = text("cluster", "deployment");
        settings_.packet_threads = static_cast<unsigned>(integer("threads", "packet"));
        settings_.severity = text("log", "severity");
        read_listen_endpoint("packet_listen", settings_.packet_listen, udp_endpoints_);
        read_listen_endpoint("peer_listen", settings_.peer_listen, udp_endpoints_);
        read_listen_endpoint("grpc_listen", settings_.grpc_listen, tcp_endpoints_);
        read_listen_endpoint("admin_listen", settings_.admin_listen, tcp_endpoints_);
    }

    // Reads a listening endpoint. Two sockets of the same protocol cannot share one.
    void read_listen_endpoint(std::string_view key, endpoint& to, std::set<endpoint>& taken)
    {
        to = parse_endpoint(text("host", key));
        if (to.is_set() && !taken.insert(to).second)
            add_finding("host", key, to_string(to) + " is used by two sockets");
    }

    std::string file_content(std::string_view section, std::string_view key)
    {
        std::string const path = text(section, key);
        if (path.empty())
            return {};
        auto const content = read_file_(path);
        std::string trimmed = content ? trim_trailing_whitespace(*content) : std::string();
        if (!content)
            add_finding(section, key, "cannot read " + path);
        else if (trimmed.empty())
            add_finding(section, key, path + " is empty");
        return trimmed;
    }

    void read_secrets_and_store()
    {
        std::string const inline_secret = text("cluster", "secret");
        std::string const from_file = file_content("cluster", "secret_file");
        bool const has_secret_file = raw_value("cluster", "secret_file").has_value();
        bool const has_inline_secret = raw_value("cluster", "secret").has_value();
        if (has_secret_file == has_inline_secret)
            add_finding("cluster", has_secret_file ? "secret" : "secret_file",
                        "exactly one of secret_file and secret is needed");
        settings_.cluster_secret = has_secret_file ? from_file : inline_secret;
        if (!settings_.cluster_secret.empty() && settings_.cluster_secret.size() < min_secret_bytes)
            add_finding("cluster", has_secret_file ? "secret_file" : "secret",
                        "the secret needs at least " + std::to_string(min_secret_bytes) + " bytes");

        settings_.token_file = text("operators", "token_file");
        settings_.operator_token = file_content("operators", "token_file");
        settings_.in_process = text("platform", "in_process") == "yes";
        settings_.store = parse_endpoint(text("platform", "store"));
        bool const has_store = raw_value("platform", "store").has_value();
        if (settings_.in_process && has_store)
            add_finding("platform", "in_process", "cannot be combined with store");
        if (!settings_.in_process && !has_store)
            add_finding("platform", "store", "missing; needed unless in_process = yes");
    }

    void read_peers()
    {
        auto const section = tree_.find("peers");
        if (section == tree_.not_found())
            return;
        std::map<std::uint16_t, std::string> ids{{settings_.id.value, "this host"}};
        for (auto const& [name, node] : section->second)
            read_peer(name, node.data(), ids);
        std::sort(settings_.peers.begin(), settings_.peers.end());
        if (settings_.in_process && !section->second.empty())
            add_finding("platform", "in_process",
                        "cannot be combined with peers: hosts would not share one configuration");
    }

    void read_peer(std::string const& name, std::string const& value,
                   std::map<std::uint16_t, std::string>& ids)
    {
        std::istringstream stream(value.substr(0, max_value_bytes));
        std::vector<std::string> const parts{std::istream_iterator<std::string>(stream), {}};
        constexpr std::size_t expected = 5;
        if (!is_name(name))
            add_finding("peers", name, "invalid name; 1 to 64 letters, digits, '.', '_', '-'");
        if (parts.size() != expected)
            return add_finding("peers", name, "needs five values: id zone packet peer grpc");
        std::int64_t const id = parse_integer(parts[0]).value_or(0);
        std::int64_t const zone = parse_integer(parts[1]).value_or(0);
        if (id < 1 || id > 65535)
            add_finding("peers", name, "id '" + parts[0] + "' is not a number from 1 to 65535");
        if (zone < 1 || zone > 255)
            add_finding("peers", name, "zone '" + parts[1] + "' is not a number from 1 to 255");
        for (std::size_t i = 2; i < expected; ++i)
            if (!parse_endpoint(parts[i]).is_set())
                add_finding("peers", name, "'" + parts[i] + "' is not IPv4:port");
        peer_settings p;
        p.name = name;
        p.id = {static_cast<std::uint16_t>(id)};
        p.zone = {static_cast<std::uint8_t>(zone)};
        p.packet = parse_endpoint(parts[2]);
        p.peer = parse_endpoint(parts[3]);
        p.grpc = parse_endpoint(parts[4]);
        if (p.id.value != 0 && !ids.emplace(p.id.value, name).second)
            add_finding("peers", name,
                        "id " + std::to_string(p.id.value) + " is also that of " + ids[p.id.value]);
        if (!settings_.name.empty() && name == settings_.name)
            add_finding("peers", name, "has the name of this host");
        settings_.sources.push_back({"peers", name, value, index_.keys[{"peers", name}]});
        settings_.peers.push_back(std::move(p));
    }

    std::string const& file_;
    file_reader const& read_file_;
    ini_index index_;
    boost::property_tree::ptree tree_;
    host_settings settings_;
    findings findings_;
    std::map<std::pair<std::string_view, std::string_view>, std::string> values_;
    std::set<endpoint> udp_endpoints_;
    std::set<endpoint> tcp_endpoints_;
};

} // namespace

std::span<host_setting_spec const> host_setting_specs()
{
    return setting_specs;
}

std::string accepted_values(host_setting_spec const& key)
{
    switch (key.kind)
    {
    case kind::number:
        return std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
    case kind::name:
        return "1 to 64 letters, digits, '.', '_', '-'";
    case kind::address:
        return "IPv4:port";
    case kind::flag:
        return "yes, no";
    case kind::file:
        return "a readable file that is not empty";
    case kind::severity:
        return "trace, debug, info, warning, error, fatal";
    case kind::text:
        return key.section == "peers" ? "five values" : "at least 16 bytes";
    }
    return {};
}

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return {};
    // One byte above the limit, so that parse_settings detects a settings file that is too large.
    std::string content(max_settings_bytes + 1, '\0');
    in.read(content.data(), static_cast<std::streamsize>(content.size()));
    if (in.bad())
        return {};
    content.resize(static_cast<std::size_t>(in.gcount()));
    return content;
}

checked<host_settings> parse_settings(std::string_view text, std::string const& file,
                                      file_reader const& read)
{
    if (text.size() > max_settings_bytes)
        return findings_error({{file, "", "", 0, "larger than 1 MiB"}});
    return settings_parser(text, file, read).parse();
}

checked<host_settings> load_settings(std::string const& path)
{
    auto const text = read_file(path);
    if (!text)
        return findings_error({{path, "", "", 0, "cannot be read"}});
    return parse_settings(*text, path);
}

std::string print_settings(host_settings const& settings)
{
    std::string out;
    for (settings_source const& s : settings.sources)
        out += "[" + s.section + "] " + s.key + " = " + s.value + "  (" +
               (s.line > 0 ? settings.file + ":" + std::to_string(s.line) : "default") + ")\n";
    return out;
}

} // namespace chivelever
