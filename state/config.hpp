// The operators' configuration as immutable values: fleet-wide defaults, exceptions with a reason,
// services, upstreams and zones, and the changes that lead from one revision to the next.
#ifndef CHIVELEVER_STATE_CONFIG_HPP
#define CHIVELEVER_STATE_CONFIG_HPP

#include "state/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chivelever
{

enum class upstream_state : std::uint8_t
{
    active,
    draining, // gets no new work, keeps its open flows
    retired,  // removed by operators; reachable only for flows opened before the removal
    released  // gets no packets, so that its address can be assigned to another service
};

enum class zone_state : std::uint8_t
{
    in,
    out,
    returning // share of new work grows during zone_ramp_seconds
};

// A setting with a fleet-wide default that operators can change, and override by an exception.
struct fleet_setting_spec
{
    std::string_view name;
    std::string_view unit;
    std::int64_t default_value;
    std::int64_t minimum;
    std::int64_t maximum;
    std::string_view description;
};

// Keys that defaults and exceptions can refer to.
enum class setting : std::uint8_t
{
    max_request_deadline_ms,
    retry_budget_percent,
    queue_limit,
    cold_limit,
    warm_up_answers,
    zone_ramp_seconds,
    request_flow_lifetime_s,
    spill_to_other_zones,
    weight,
    count // number of keys
};
inline constexpr std::size_t setting_count = static_cast<std::size_t>(setting::count);
extern std::array<fleet_setting_spec, setting_count> const fleet_setting_specs;
std::optional<setting> find_setting(std::string_view name);

struct service_config
{
    service_id id;
    std::string name;
    auto operator<=>(service_config const&) const = default;
};

struct upstream_config
{
    upstream_id id;
    std::string name;
    service_id service;
    zone_id zone;
    endpoint address;
    incarnation owner; // increases whenever the address is reassigned
    std::uint16_t slots{};
    std::uint32_t connections{};
    upstream_state state{upstream_state::active};
    revision retired_at{};
    auto operator<=>(upstream_config const&) const = default;
};

struct zone_config
{
    zone_id id;
    std::string name;
    zone_state state{zone_state::in};
    revision changed_at{};
    auto operator<=>(zone_config const&) const = default;
};

// Overrides one setting for one service, upstream or zone. The reason is mandatory.
struct exception_entry
{
    std::string scope; // "service/NAME", "upstream/NAME" or "zone/NAME"
    setting key{};
    std::int64_t value{};
    std::string reason;
    std::string author;
    std::int64_t time_ms{}; // Unix time
    auto operator<=>(exception_entry const&) const = default;
};

struct fleet_config
{
    revision rev;
    std::uint32_t key_epoch{};
    std::array<std::int64_t, setting_count> defaults{};
    std::vector<zone_config> zones;         // ordered by id
    std::vector<service_config> services;   // ordered by id
    std::vector<upstream_config> upstreams; // ordered by id
    std::vector<exception_entry> exceptions;
    std::string last_change; // change id that produced this revision
    bool operator==(fleet_config const&) const = default;
};

// A configuration at revision 0 with every setting at its default value.
fleet_config empty_config();

// Effective value of a setting: the most specific exception (upstream, service, zone), otherwise
// the default.
std::int64_t effective_value(fleet_config const& config, setting key, service_id service,
                             std::optional<zone_id> zone = {},
                             std::optional<upstream_id> upstream = {});

struct set_default
{
    std::string key;
    std::int64_t value{};
    auto operator<=>(set_default const&) const = default;
};
struct put_zone
{
    zone_config zone;
    auto operator<=>(put_zone const&) const = default;
};
struct put_service
{
    service_config service;
    auto operator<=>(put_service const&) const = default;
};
struct put_upstream
{
    upstream_config upstream;
    auto operator<=>(put_upstream const&) const = default;
};
struct set_upstream_state
{
    std::string name;
    upstream_state state{};
    auto operator<=>(set_upstream_state const&) const = default;
};
struct set_zone_state
{
    std::string name;
    zone_state state{};
    auto operator<=>(set_zone_state const&) const = default;
};
struct add_exception
{
    std::string scope;
    std::string key;
    std::int64_t value{};
    std::string reason;
    auto operator<=>(add_exception const&) const = default;
};
struct remove_exception
{
    std::string scope;
    std::string key;
    auto operator<=>(remove_exception const&) const = default;
};
struct rotate_key
{
    auto operator<=>(rotate_key const&) const = default;
};
using operation = std::variant<set_default, put_zone, put_service, put_upstream, set_upstream_state,
                               set_zone_state, add_exception, remove_exception, rotate_key>;

// A proposed or accepted change that leads from revision rev - 1 to rev.
struct config_change
{
    revision rev;
    std::string change_id; // 32 hexadecimal digits
    std::string author;
    std::string reason;
    std::int64_t time_ms{}; // Unix time
    std::vector<operation> operations;
    bool operator==(config_change const&) const = default;
};

} // namespace chivelever

#endif
