// The config and exception commands.
#include "client/command.hpp"
#include "client/table.hpp"
#include "protocol/protocol.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <map>

namespace chivelever::client
{

namespace json = boost::json;

namespace
{

constexpr std::uint64_t default_history_length = 50; // changes shown unless --since is given

setting require_setting(std::string const& name)
{
    if (auto const key = find_setting(name))
        return *key;
    std::string all;
    for (fleet_setting_spec const& k : fleet_setting_specs)
        all += "\n  " + std::string(k.name);
    throw command_error{exit_usage, "unknown setting " + name + "; known settings:" + all};
}

exit_code show(context& c)
{
    fleet_config const config = fetch_config(c);
    if (c.settings.json)
    {
        c.io.out << encode(config) << '\n';
        return exit_done;
    }
    c.io.out << "revision " << config.rev.value << ", key epoch " << config.key_epoch << ", "
             << config.zones.size() << " zones, " << config.services.size() << " services, "
             << config.upstreams.size() << " upstreams, " << config.exceptions.size()
             << " exceptions\n";
    std::vector<std::vector<std::string>> rows{{"setting", "value", "unit", "effect"}};
    for (std::size_t i = 0; i < setting_count; ++i)
    {
        fleet_setting_spec const& k = fleet_setting_specs[i];
        rows.push_back({std::string(k.name), std::to_string(config.defaults[i]),
                        std::string(k.unit), std::string(k.description)});
    }
    print_table(c.io.out, rows);
    return exit_done;
}

exit_code submit_default(context& c, setting key, std::int64_t value)
{
    fleet_config const config = fetch_config(c);
    if (config.defaults[static_cast<std::size_t>(key)] == value && c.option("change-id").empty())
        return report_unchanged(c, config);
    return submit(
        c, config.rev,
        {set_default{std::string(fleet_setting_specs[static_cast<std::size_t>(key)].name), value}});
}

exit_code set(context& c)
{
    return submit_default(c, require_setting(c.arguments[0]),
                          parse_number("VALUE", c.arguments[1]));
}

exit_code unset(context& c)
{
    setting const key = require_setting(c.arguments[0]);
    return submit_default(c, key, fleet_setting_specs[static_cast<std::size_t>(key)].default_value);
}

exit_code check(context& c)
{
    std::string const text = make_proposal_json(c, read_operations(c.arguments[0]), std::nullopt);
    http_reply const reply = c.http.request("POST", "/api/v1/check", text);
    if (reply.status != 200)
        throw_rejection(reply);
    c.io.out << (c.settings.json ? reply.body : "valid") << '\n';
    return exit_done;
}

exit_code apply_file(context& c)
{
    auto operations = read_operations(c.arguments[0]);
    return submit(c, fetch_config(c).rev, std::move(operations));
}

std::string join_path(std::string path, std::string_view name)
{
    path += '/';
    return path.append(name);
}

json::value diff_line(char sign, std::string const& path, std::string const& value)
{
    std::string line{sign, ' '};
    line.append(path).append(" = ").append(value);
    return json::value(line);
}

// Flattens a JSON document into paths and values. List items are identified by name or scope
// instead of index, so that an inserted item does not show up as a change of all later ones.
void flatten(json::value const& v, std::string const& path, std::map<std::string, std::string>& out)
{
    if (auto const* o = v.if_object())
    {
        for (auto const& member : *o)
            flatten(member.value(), join_path(path, member.key()), out);
        return;
    }
    auto const* list = v.if_array();
    if (list == nullptr)
    {
        out[path] = json::serialize(v);
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        std::string name = std::to_string(i);
        if (auto const* o = (*list)[i].if_object())
            for (char const* key : {"name", "scope"})
                if (auto const* n = o->if_contains(key); n != nullptr && n->is_string())
                    name = std::string(n->get_string());
        if (auto const* o = (*list)[i].if_object(); o != nullptr && o->contains("scope"))
            name += " " + json::serialize(o->at("key"));
        flatten((*list)[i], join_path(path, name), out);
    }
}

exit_code diff(context& c)
{
    auto const text = read_file(c.arguments[0]);
    json::error_code error;
    json::value const file = json::parse(text.value_or(""), error);
    if (error)
        throw command_error{exit_usage,
                            c.arguments[0] + " is not the output of config show --json"};
    std::map<std::string, std::string> old;
    std::map<std::string, std::string> now;
    flatten(file, "", old);
    flatten(to_json(fetch_config(c)), "", now);
    json::array lines;
    for (auto const& [path, value] : old)
        if (auto const it = now.find(path); it == now.end() || it->second != value)
            lines.push_back(diff_line('-', path, value));
    for (auto const& [path, value] : now)
        if (auto const it = old.find(path); it == old.end() || it->second != value)
            lines.push_back(diff_line('+', path, value));
    if (c.settings.json)
        c.io.out << json::serialize(lines) << '\n';
    else
        print_value(c.io.out, lines);
    return exit_done;
}

exit_code history(context& c)
{
    std::uint64_t since = 0;
    if (!c.option("since").empty())
        since = static_cast<std::uint64_t>(parse_number("--since", c.option("since")));
    else if (auto const rev = fetch_config(c).rev.value; rev > default_history_length)
        since = rev - default_history_length;
    json::object const body = c.http.get("/api/v1/changes?since=" + std::to_string(since));
    if (c.settings.json)
    {
        c.io.out << json::serialize(body) << '\n';
        return exit_done;
    }
    std::vector<std::vector<std::string>> rows{
        {"revision", "change id", "author", "reason", "operations"}};
    for (json::value const& v : body.at("changes").as_array())
    {
        json::object const& o = v.as_object();
        auto const text = [&](char const* key) { return std::string(o.at(key).as_string()); };
        rows.push_back({json::serialize(o.at("revision")), text("change_id"), text("author"),
                        text("reason"), json::serialize(o.at("operations"))});
    }
    print_table(c.io.out, rows);
    return exit_done;
}

exit_code add(context& c)
{
    setting const key = require_setting(c.arguments[1]);
    std::int64_t const value = parse_number("VALUE", c.arguments[2]);
    if (c.option("reason").empty())
        throw command_error{exit_usage, "an exception requires a reason: --reason TEXT"};
    fleet_config const config = fetch_config(c);
    for (exception_entry const& e : config.exceptions)
        if (e.scope == c.arguments[0] && e.key == key && e.value == value &&
            e.reason == c.option("reason"))
            return report_unchanged(c, config);
    return submit(c, config.rev,
                  {add_exception{c.arguments[0], c.arguments[1], value, c.option("reason")}});
}

exit_code remove(context& c)
{
    setting const key = require_setting(c.arguments[1]);
    fleet_config const config = fetch_config(c);
    bool const exists = std::any_of(config.exceptions.begin(), config.exceptions.end(),
                                    [&](exception_entry const& e)
                                    { return e.scope == c.arguments[0] && e.key == key; });
    if (!exists && c.option("change-id").empty())
        return report_unchanged(c, config);
    return submit(c, config.rev, {remove_exception{c.arguments[0], c.arguments[1]}});
}

exit_code list_exceptions(context& c)
{
    json::object const document = to_json(fetch_config(c));
    if (c.settings.json)
        c.io.out << json::serialize(document.at("exceptions")) << '\n';
    else
        print_value(c.io.out, document.at("exceptions"));
    return exit_done;
}

} // namespace

std::int64_t parse_number(std::string const& what, std::string const& text)
{
    std::int64_t v{};
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (error != std::errc{} || end != text.data() + text.size() || v < 0)
        throw command_error{exit_usage,
                            what + " must be a non-negative integer, not '" + text + "'"};
    return v;
}

std::vector<command> config_commands()
{
    return {
        {"config show",
         "",
         0,
         "Show the settings of the fleet; --json shows the whole document.",
         "config show --hosts 127.0.0.1:7002",
         {},
         show},
        {"config set", "KEY VALUE", 2, "Set one default for the whole fleet.",
         "config set queue_limit 128 --reason 'shorter queues'", with_change_options(), set},
        {"config unset", "KEY", 1, "Reset one default to its built-in value.",
         "config unset queue_limit", with_change_options(), unset},
        {"config check",
         "FILE",
         1,
         "Check the operations of a file without submitting them.",
         "config check change.json",
         {},
         check},
        {"config apply", "FILE", 1, "Submit the operations of a file as one change.",
         "config apply change.json --reason 'new zone'", with_change_options(), apply_file},
        {"config diff",
         "FILE",
         1,
         "Compare a document saved by config show --json with the one in force.",
         "config diff yesterday.json",
         {},
         diff},
        {"config history",
         "",
         0,
         "List accepted changes.",
         "config history --since 1200",
         {{"since", "list changes after this revision"}},
         history},
        {"exception add", "SCOPE KEY VALUE", 3,
         "Override a setting for service/NAME, upstream/NAME or zone/NAME.",
         "exception add upstream/desk-3 weight 50 --reason 'old disk in host'",
         with_change_options(), add},
        {"exception remove", "SCOPE KEY", 2, "Remove an exception.",
         "exception remove upstream/desk-3 weight", with_change_options(), remove},
        {"exception list",
         "",
         0,
         "List all exceptions with reason, author and time.",
         "exception list --json",
         {},
         list_exceptions},
    };
}

} // namespace chivelever::client
