// The settings of one host's daemon, read from an INI file. All findings are reported together.
#ifndef CHIVELEVER_PROTOCOL_SETTINGS_HPP
#define CHIVELEVER_PROTOCOL_SETTINGS_HPP

#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

enum class setting_value_kind : std::uint8_t
{
    number,
    name,     // letters, digits, '.', '_' and '-'
    address,  // IPv4:port
    flag,     // yes or no
    file,     // readable and not empty
    severity, // log level
    text
};

// Specification of one key. A test compares these with the rows of docs/CONFIGURATION.md.
struct host_setting_spec
{
    std::string_view section;
    std::string_view name;
    std::string_view unit;
    std::string_view default_value; // empty: no default
    setting_value_kind kind{};
    std::int64_t minimum{}; // for numbers
    std::int64_t maximum{};
    bool required{};
    std::string_view description;
};
std::span<host_setting_spec const> host_setting_specs();
// Describes the values that a key accepts.
std::string accepted_values(host_setting_spec const& key);

// Another host and its endpoints as reachable from this host.
struct peer_settings
{
    std::string name;
    host_id id;
    zone_id zone;
    endpoint packet;
    endpoint peer;
    endpoint grpc;
    auto operator<=>(peer_settings const&) const = default;
};

// Origin of a value: a line of the file, or 0 for the default.
struct settings_source
{
    std::string section;
    std::string key;
    std::string value; // masked for secrets
    int line{};
    auto operator<=>(settings_source const&) const = default;
};

struct host_settings
{
    std::string file;
    host_id id;
    std::string name;
    zone_id zone;
    std::string zone_name;
    endpoint packet_listen;
    endpoint peer_listen;
    endpoint grpc_listen;
    endpoint admin_listen;
    std::string cluster_secret; // the secret itself, also if read from secret_file
    std::string deployment;
    endpoint store; // unset if in_process
    bool in_process{};
    std::string token_file;
    std::string operator_token; // content of token_file
    unsigned packet_threads{};
    std::string severity;
    std::vector<peer_settings> peers; // ordered by name
    std::vector<settings_source> sources;
    bool operator==(host_settings const&) const = default;
};

// Reads a file named in the settings; returns nullopt if it cannot be read.
using file_reader = std::function<std::optional<std::string>(std::string const& path)>;
std::optional<std::string> read_file(std::string const& path);

checked<host_settings> parse_settings(std::string_view text, std::string const& file,
                                      file_reader const& read = read_file);
checked<host_settings> load_settings(std::string const& path);

// Prints one line per value, with its origin: file and line, or "default".
std::string print_settings(host_settings const& settings);

} // namespace chivelever

#endif
