// The zone, upstream, service and key commands.
#include "client/command.hpp"
#include "client/table.hpp"
#include "protocol/protocol.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>

namespace chivelever::client
{

namespace json = boost::json;

namespace
{

template<class T>
T const* find_by_name(std::vector<T> const& items, std::string const& name)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&](T const& x) { return x.name == name; });
    return it == items.end() ? nullptr : &*it;
}

template<class T>
T const& require_by_name(std::vector<T> const& items, std::string const& name,
                         std::string const& what)
{
    if (T const* found = find_by_name(items, name))
        return *found;
    throw command_error{exit_refused, "no " + what + " named " + name};
}

// Returns the id given by --id, or the highest id plus 1. If a concurrent change uses the same id,
// the submission fails with a conflict.
template<class T>
std::uint32_t new_id(context& c, std::vector<T> const& items, std::uint32_t max_value)
{
    if (!c.option("id").empty())
    {
        std::int64_t const id = parse_number("--id", c.option("id"));
        if (id < 1 || id > max_value)
            throw command_error{exit_usage, "--id must be from 1 to " + std::to_string(max_value)};
        return static_cast<std::uint32_t>(id);
    }
    std::uint32_t highest_id = 0;
    for (T const& item : items)
        highest_id = std::max<std::uint32_t>(highest_id, item.id.value);
    if (highest_id >= max_value)
        throw command_error{exit_usage,
                            "no free id after " + std::to_string(highest_id) + "; give --id"};
    return highest_id + 1;
}

exit_code print_list(context& c, char const* key)
{
    json::object const document = to_json(fetch_config(c));
    if (c.settings.json)
        c.io.out << json::serialize(document.at(key)) << '\n';
    else
        print_value(c.io.out, document.at(key));
    return exit_done;
}

exit_code change_zone_state(context& c, zone_state to)
{
    fleet_config const config = fetch_config(c);
    zone_config const& z = require_by_name(config.zones, c.arguments[0], "zone");
    bool const is_out = z.state == zone_state::out;
    if (is_out == (to == zone_state::out) && c.option("change-id").empty())
        return report_unchanged(c, config);
    return submit(c, config.rev, {set_zone_state{z.name, to}});
}

exit_code add_zone(context& c)
{
    fleet_config const config = fetch_config(c);
    if (find_by_name(config.zones, c.arguments[0]) != nullptr && c.option("change-id").empty())
        return report_unchanged(c, config);
    zone_config z;
    z.id = {static_cast<std::uint8_t>(new_id(c, config.zones, 255))};
    z.name = c.arguments[0];
    return submit(c, config.rev, {put_zone{z}});
}

exit_code add_service(context& c)
{
    fleet_config const config = fetch_config(c);
    if (find_by_name(config.services, c.arguments[0]) != nullptr && c.option("change-id").empty())
        return report_unchanged(c, config);
    service_config const s{{new_id(c, config.services, 0xffffffff)}, c.arguments[0]};
    return submit(c, config.rev, {put_service{s}});
}

std::int64_t number_option(context& c, char const* name, std::int64_t fallback,
                           std::int64_t max_value)
{
    if (c.option(name).empty())
        return fallback;
    std::int64_t const v = parse_number(std::string("--") + name, c.option(name));
    if (v < 1 || v > max_value)
        throw command_error{exit_usage, std::string("--") + name + " must be from 1 to " +
                                            std::to_string(max_value)};
    return v;
}

// Adds an upstream, or updates the upstream that has this name and makes it active.
exit_code add_upstream(context& c)
{
    fleet_config const config = fetch_config(c);
    upstream_config const* existing = find_by_name(config.upstreams, c.arguments[0]);
    upstream_config u = existing == nullptr ? upstream_config{} : *existing;
    u.name = c.arguments[0];
    if (existing == nullptr)
        u.id = {new_id(c, config.upstreams, 0xffffffff)};
    for (char const* name : {"service", "zone", "address"})
        if (existing == nullptr && c.option(name).empty())
            throw command_error{exit_usage, std::string("a new upstream requires --") + name};
    if (!c.option("service").empty())
        u.service = require_by_name(config.services, c.option("service"), "service").id;
    if (!c.option("zone").empty())
        u.zone = require_by_name(config.zones, c.option("zone"), "zone").id;
    if (!c.option("address").empty())
        u.address = parse_endpoint(c.option("address"));
    if (!u.address.is_set())
        throw command_error{exit_usage, "--address is not IPv4:port"};
    constexpr std::int64_t default_slots = 3;
    constexpr std::int64_t default_connections = 2000;
    u.slots = static_cast<std::uint16_t>(
        number_option(c, "slots", existing == nullptr ? default_slots : existing->slots, 10'000));
    u.connections = static_cast<std::uint32_t>(number_option(
        c, "connections", existing == nullptr ? default_connections : existing->connections,
        1'000'000));
    if (existing != nullptr && *existing == u && u.state < upstream_state::retired &&
        c.option("change-id").empty())
        return report_unchanged(c, config);
    u.state = upstream_state::active;
    return submit(c, config.rev, {put_upstream{u}});
}

exit_code change_upstream_state(context& c, upstream_state to)
{
    fleet_config const config = fetch_config(c);
    upstream_config const& u = require_by_name(config.upstreams, c.arguments[0], "upstream");
    if (u.state == to && c.option("change-id").empty())
        return report_unchanged(c, config);
    return submit(c, config.rev, {set_upstream_state{u.name, to}});
}

exit_code rotate_signing_key(context& c)
{
    return submit(c, fetch_config(c).rev, {rotate_key{}});
}

std::pair<std::string, std::string> id_option()
{
    return {"id", "id of the new item (default: the highest id plus 1)"};
}

} // namespace

std::vector<command> fleet_commands()
{
    auto const zone_command = [](zone_state to)
    { return [to](context& c) { return change_zone_state(c, to); }; };
    auto const upstream_command = [](upstream_state to)
    { return [to](context& c) { return change_upstream_state(c, to); }; };
    auto const list_command = [](char const* key)
    { return [key](context& c) { return print_list(c, key); }; };
    return {
        {"zone out", "NAME", 1, "Take a zone out of service; its flows are dropped immediately.",
         "zone out akl --reason 'cooling failure'", with_change_options(),
         zone_command(zone_state::out)},
        {"zone in", "NAME", 1,
         "Return a zone to service; its share of new work ramps up over zone_ramp_seconds.",
         "zone in akl --reason 'cooling repaired'", with_change_options(),
         zone_command(zone_state::in)},
        {"zone add", "NAME", 1, "Add a zone.", "zone add chc --id 3",
         with_change_options({id_option()}), add_zone},
        {"zone list",
         "",
         0,
         "List zones and their states.",
         "zone list",
         {},
         list_command("zones")},
        {"upstream list",
         "",
         0,
         "List upstreams, including retired ones.",
         "upstream list --json",
         {},
         list_command("upstreams")},
        {"upstream add", "NAME", 1,
         "Add an upstream, or update an existing one and make it active.",
         "upstream add desk-15 --service desk --zone akl --address 127.0.1.15:9000 --slots 3",
         with_change_options({id_option(),
                              {"service", "name of its service"},
                              {"zone", "name of its zone"},
                              {"address", "IPv4:port"},
                              {"slots", "maximum concurrent requests (default 3)"},
                              {"connections", "maximum open flows (default 2000)"}}),
         add_upstream},
        {"upstream drain", "NAME", 1,
         "Stop sending new work to an upstream; its open flows are kept.",
         "upstream drain desk-3 --reason 'kernel update'", with_change_options(),
         upstream_command(upstream_state::draining)},
        {"upstream activate", "NAME", 1, "Resume sending new work to a draining upstream.",
         "upstream activate desk-3", with_change_options(),
         upstream_command(upstream_state::active)},
        {"upstream remove", "NAME", 1, "Retire an upstream; its open flows are still routed to it.",
         "upstream remove desk-3 --reason 'host sold'", with_change_options(),
         upstream_command(upstream_state::retired)},
        {"upstream release", "NAME", 1,
         "Drop the flows of a removed upstream, so that its address can be reused by another "
         "service.",
         "upstream release desk-3 --reason 'address moves to intake'", with_change_options(),
         upstream_command(upstream_state::released)},
        {"service list", "", 0, "List services.", "service list", {}, list_command("services")},
        {"service add", "NAME", 1, "Add a service.", "service add desk --id 1",
         with_change_options({id_option()}), add_service},
        {"key rotate", "", 0,
         "Sign new flow ids with the next key; ids signed with the last two keys remain valid.",
         "key rotate --reason 'monthly rotation'", with_change_options(), rotate_signing_key},
    };
}

} // namespace chivelever::client
