// Tests of the settings parser, and of docs/CONFIGURATION.md against the settings in the code.
#include "protocol/protocol.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <sstream>

using namespace chivelever;

namespace
{

std::string const valid_settings = R"([host]
id = 1
name = akl-1
zone = 1
zone_name = akl
packet_listen = 127.0.0.1:7000
peer_listen = 127.0.0.1:7001
grpc_listen = 127.0.0.1:7001
admin_listen = 127.0.0.1:7002

[cluster]
secret_file = secret
deployment = test
[platform]
store = 127.0.0.1:8500
[operators]
token_file = token
[threads]
packet = 4
[peers]
akl-2 = 2 1 127.0.0.2:7000 127.0.0.2:7001 127.0.0.2:7002
)";

std::optional<std::string> read_test_file(std::string const& path)
{
    if (path == "secret")
        return "0123456789abcdef\n";
    if (path == "token")
        return "test token\n";
    return {};
}

findings findings_of(std::string const& text)
{
    findings f;
    value_or_findings([&] { return parse_settings(text, "host.ini", read_test_file); }, f);
    return f;
}

std::string valid_settings_with(std::string const& from, std::string const& to)
{
    std::string text = valid_settings;
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::set<std::string> rows_of(std::string const& page, std::string const& heading)
{
    std::set<std::string> rows;
    std::istringstream in(page);
    bool inside = false;
    for (std::string line; std::getline(in, line);)
    {
        if (line.starts_with("## "))
            inside = line == "## " + heading;
        if (inside && line.starts_with("| `"))
            rows.insert(line);
    }
    return rows;
}

} // namespace

TEST_CASE("settings are read with the source of each value")
{
    findings f;
    auto const s = value_or_findings(
        [] { return parse_settings(valid_settings, "host.ini", read_test_file); }, f);
    CHECK(f.empty());
    REQUIRE(s);
    CHECK(s->id == host_id{1});
    CHECK(s->cluster_secret == "0123456789abcdef");
    CHECK(s->operator_token == "test token");
    CHECK(s->packet_threads == 4);
    CHECK(s->severity == "info");
    REQUIRE(s->peers.size() == 1);
    CHECK(s->peers[0].grpc == parse_endpoint("127.0.0.2:7002"));
    std::string const printed = print_settings(*s);
    CHECK(printed.find("[threads] packet = 4  (host.ini:19)") != std::string::npos);
    CHECK(printed.find("[log] severity = info  (default)") != std::string::npos);
}

// Guards against a parser that stops at the first error, so that operators fix one error per start.
TEST_CASE("all findings of a settings file are reported together with their lines")
{
    auto const found = findings_of("[host]\nid = 70000\nid = 2\nname = a b\ncolour = red\n[what]\n"
                                   "[peers]\nb = 1 1 x y\nrubbish\n");
    auto const has = [&](std::string const& text)
    {
        return std::any_of(found.begin(), found.end(),
                           [&](finding const& x)
                           { return to_string(x).find(text) != std::string::npos; });
    };
    CHECK(has("host.ini:2: [host] id: '70000' is not accepted; 1 to 65535"));
    CHECK(has("host.ini:3: [host] id: key occurs twice"));
    CHECK(has("host.ini:4: [host] name: 'a b'"));
    CHECK(has("host.ini:5: [host] colour: unknown key"));
    CHECK(has("host.ini:6: [what] unknown section"));
    CHECK(has("host.ini:8: [peers] b: needs five values"));
    CHECK(has("host.ini:9: [peers] neither a section nor KEY = VALUE"));
    CHECK(has("[cluster] deployment: missing"));
}

// Guards against hosts that start with conflicting settings.
TEST_CASE("conflicting settings are rejected")
{
    CHECK(findings_of(valid_settings).empty());
    CHECK(findings_of(valid_settings_with("secret_file = secret", "")).size() == 1);
    CHECK(findings_of(valid_settings_with("deployment", "secret = 0123456789abcdef\ndeployment"))
              .size() == 1);
    CHECK(findings_of(valid_settings_with("secret_file = secret", "secret = short")).size() == 1);
    CHECK(findings_of(valid_settings_with("secret_file = secret", "secret_file = none")).size() ==
          1);
    CHECK(findings_of(valid_settings_with("akl-2 = 2", "akl-2 = 1")).size() == 1);
    CHECK(findings_of(valid_settings_with("akl-2 = 2", "akl-1 = 2")).size() == 1);
    CHECK(findings_of(valid_settings_with("store = 127.0.0.1:8500", "in_process = yes")).size() ==
          1);
    CHECK(findings_of(valid_settings_with("store = 127.0.0.1:8500", "")).size() == 1);
    CHECK(findings_of(
              valid_settings_with("admin_listen = 127.0.0.1:7002", "admin_listen = 127.0.0.1:7001"))
              .size() == 1);
    CHECK(findings_of(valid_settings_with("[threads]", "[platform]")).size() >= 1);
}

// Guards against documentation of keys, defaults or bounds that differ from the program.
TEST_CASE("docs/CONFIGURATION.md has exactly the keys of the program")
{
    auto const page = read_file("docs/CONFIGURATION.md");
    REQUIRE(page);
    std::set<std::string> settings_rows;
    for (host_setting_spec const& k : host_setting_specs())
    {
        std::ostringstream row;
        row << "| `[" << k.section << "] " << k.name << "` | " << k.unit << " | "
            << (k.default_value.empty() ? (k.required ? "required" : "none") : k.default_value)
            << " | " << accepted_values(k) << " | " << k.description << " |";
        settings_rows.insert(row.str());
    }
    CHECK(rows_of(*page, "Settings of a host") == settings_rows);
    std::set<std::string> fleet_rows;
    for (fleet_setting_spec const& k : fleet_setting_specs)
    {
        std::ostringstream row;
        row << "| `" << k.name << "` | " << k.unit << " | " << k.default_value << " | " << k.minimum
            << " to " << k.maximum << " | " << k.description << " |";
        fleet_rows.insert(row.str());
    }
    CHECK(rows_of(*page, "Settings of the fleet") == fleet_rows);
}
