// The commands zone, upstream, service and key.
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
T const* by_name(std::vector<T> const& items, std::string const& name)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&](T const& x) { return x.name == name; });
    return it == items.end() ? nullptr : &*it;
}

template<class T>
T const& need(std::vector<T> const& items, std::string const& name, std::string const& what)
{
    if (T const* found = by_name(items, name))
        return *found;
    throw failure{exit_refused, "no " + what + " is named " + name};
}

// The id given by --id, or the next free one. A racing operator who takes the same is a conflict.
template<class T>
std::uint32_t new_id(context& c, std::vector<T> const& items, std::uint32_t most)
{
    if (!c.option("id").empty())
    {
        std::int64_t const id = parse_number("--id", c.option("id"));
        if (id < 1 || id > most)
            throw failure{exit_usage, "--id: 1 to " + std::to_string(most)};
        return static_cast<std::uint32_t>(id);
    }
    std::uint32_t highest = 0;
    for (T const& item : items)
        highest = std::max<std::uint32_t>(highest, item.id.value);
    if (highest >= most)
        throw failure{exit_usage, "no free id after " + std::to_string(highest) + "; give --id"};
    return highest + 1;
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

exit_code move_zone(context& c, zone_state to)
{
    fleet_config const config = fetch_config(c);
    zone_config const& z = need(config.zones, c.arguments[0], "zone");
    bool const is_out = z.state == zone_state::out;
    if (is_out == (to == zone_state::out) && c.option("change-id").empty())
        return nothing_to_do(c, config);
    return submit(c, config.rev, {set_zone_state{z.name, to}});
}

exit_code add_zone(context& c)
{
    fleet_config const config = fetch_config(c);
    if (by_name(config.zones, c.arguments[0]) != nullptr && c.option("change-id").empty())
        return nothing_to_do(c, config);
    zone_config z;
    z.id = {static_cast<std::uint8_t>(new_id(c, config.zones, 255))};
    z.name = c.arguments[0];
    return submit(c, config.rev, {put_zone{z}});
}

exit_code add_service(context& c)
{
    fleet_config const config = fetch_config(c);
    if (by_name(config.services, c.arguments[0]) != nullptr && c.option("change-id").empty())
        return nothing_to_do(c, config);
    service_config const s{{new_id(c, config.services, 0xffffffff)}, c.arguments[0]};
    return submit(c, config.rev, {put_service{s}});
}

std::int64_t number_option(context& c, char const* name, std::int64_t fallback, std::int64_t most)
{
    if (c.option(name).empty())
        return fallback;
    std::int64_t const v = parse_number(std::string("--") + name, c.option(name));
    if (v < 1 || v > most)
        throw failure{exit_usage, std::string("--") + name + ": 1 to " + std::to_string(most)};
    return v;
}

// Adds an upstream, or changes slots and connections of the one with this name.
exit_code add_upstream(context& c)
{
    fleet_config const config = fetch_config(c);
    upstream_config const* old = by_name(config.upstreams, c.arguments[0]);
    upstream_config u = old == nullptr ? upstream_config{} : *old;
    u.name = c.arguments[0];
    if (old == nullptr)
        u.id = {new_id(c, config.upstreams, 0xffffffff)};
    for (char const* name : {"service", "zone", "address"})
        if (old == nullptr && c.option(name).empty())
            throw failure{exit_usage, std::string("a new upstream needs --") + name};
    if (!c.option("service").empty())
        u.service = need(config.services, c.option("service"), "service").id;
    if (!c.option("zone").empty())
        u.zone = need(config.zones, c.option("zone"), "zone").id;
    if (!c.option("address").empty())
        u.address = parse_endpoint(c.option("address"));
    if (!u.address.is_set())
        throw failure{exit_usage, "--address is not IPv4:port"};
    constexpr std::int64_t default_slots = 3;
    constexpr std::int64_t default_connections = 2000;
    u.slots = static_cast<std::uint16_t>(
        number_option(c, "slots", old == nullptr ? default_slots : old->slots, 10'000));
    u.connections = static_cast<std::uint32_t>(number_option(
        c, "connections", old == nullptr ? default_connections : old->connections, 1'000'000));
    if (old != nullptr && *old == u && u.state < upstream_state::retired &&
        c.option("change-id").empty())
        return nothing_to_do(c, config);
    u.state = upstream_state::active;
    return submit(c, config.rev, {put_upstream{u}});
}

exit_code move_upstream(context& c, upstream_state to)
{
    fleet_config const config = fetch_config(c);
    upstream_config const& u = need(config.upstreams, c.arguments[0], "upstream");
    if (u.state == to && c.option("change-id").empty())
        return nothing_to_do(c, config);
    return submit(c, config.rev, {set_upstream_state{u.name, to}});
}

exit_code rotate(context& c)
{
    return submit(c, fetch_config(c).rev, {rotate_key{}});
}

std::pair<std::string, std::string> id_option()
{
    return {"id", "number of the new one (default: the next free)"};
}

} // namespace

std::vector<command> fleet_commands()
{
    auto const zone_to = [](zone_state to)
    { return [to](context& c) { return move_zone(c, to); }; };
    auto const upstream_to = [](upstream_state to)
    { return [to](context& c) { return move_upstream(c, to); }; };
    auto const lists = [](char const* key)
    { return [key](context& c) { return print_list(c, key); }; };
    return {
        {"zone out", "NAME", 1, "Take a zone out; its flows are given up at once.",
         "zone out akl --reason 'cooling failure'", with_change_options(),
         zone_to(zone_state::out)},
        {"zone in", "NAME", 1, "Take a zone back in; its share of new work grows over the ramp.",
         "zone in akl --reason 'cooling repaired'", with_change_options(), zone_to(zone_state::in)},
        {"zone add", "NAME", 1, "Add a zone.", "zone add chc --id 3",
         with_change_options({id_option()}), add_zone},
        {"zone list", "", 0, "List zones and their states.", "zone list", {}, lists("zones")},
        {"upstream list",
         "",
         0,
         "List upstreams, retired ones too.",
         "upstream list --json",
         {},
         lists("upstreams")},
        {"upstream add", "NAME", 1,
         "Add an upstream, or change slots and connections of an existing one.",
         "upstream add desk-15 --service desk --zone akl --address 127.0.1.15:9000 --slots 3",
         with_change_options({id_option(),
                              {"service", "name of its service"},
                              {"zone", "name of its zone"},
                              {"address", "IPv4:port"},
                              {"slots", "requests at a time (default 3)"},
                              {"connections", "open flows (default 2000)"}}),
         add_upstream},
        {"upstream drain", "NAME", 1, "Give an upstream no new work; its flows stay.",
         "upstream drain desk-3 --reason 'kernel update'", with_change_options(),
         upstream_to(upstream_state::draining)},
        {"upstream activate", "NAME", 1, "Give a draining upstream new work again.",
         "upstream activate desk-3", with_change_options(), upstream_to(upstream_state::active)},
        {"upstream remove", "NAME", 1, "Retire an upstream; its open flows still reach it.",
         "upstream remove desk-3 --reason 'host sold'", with_change_options(),
         upstream_to(upstream_state::retired)},
        {"upstream release", "NAME", 1,
         "Give up the flows of a removed upstream, so that its address may go to another service.",
         "upstream release desk-3 --reason 'address moves to intake'", with_change_options(),
         upstream_to(upstream_state::released)},
        {"service list", "", 0, "List services.", "service list", {}, lists("services")},
        {"service add", "NAME", 1, "Add a service.", "service add desk --id 1",
         with_change_options({id_option()}), add_service},
        {"key rotate", "", 0,
         "Sign new flow ids under the next key; ids under the last two stay valid.",
         "key rotate --reason 'monthly rotation'", with_change_options(), rotate},
    };
}

} // namespace chivelever::client
