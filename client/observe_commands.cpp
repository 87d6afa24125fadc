// The status, timeline, why and log-level commands.
#include "client/command.hpp"
#include "client/table.hpp"
#include "client/timeline.hpp"
#include "protocol/protocol.hpp"

#include <boost/json/serialize.hpp>

namespace chivelever::client
{

namespace json = boost::json;

namespace
{

// Limit per daemon, so that an unreachable one does not exhaust the timeout of a command that
// queries all.
constexpr std::chrono::milliseconds max_time_per_host{15'000};

exit_code print(context& c, json::object const& body)
{
    if (c.settings.json)
        c.io.out << json::serialize(body) << '\n';
    else
        print_value(c.io.out, body);
    return exit_done;
}

exit_code status(context& c)
{
    return print(c, c.http.get("/api/v1/status"));
}

exit_code why(context& c)
{
    return print(c, c.http.get("/api/v1/why?subject=" + encode_query(c.arguments[0])));
}

// The log level is set per process, so the request is sent to every daemon in --hosts.
exit_code log_level(context& c)
{
    if (c.settings.token.empty())
        throw command_error{exit_usage,
                            "setting the log level requires the operator token: --token-file FILE"};
    std::string const body = json::serialize(json::object{{"severity", c.arguments[0]}});
    bool all = true;
    for (endpoint const& host : c.settings.hosts)
    {
        client_settings single_host_settings = c.settings;
        single_host_settings.hosts = {host};
        single_host_settings.timeout = std::min(single_host_settings.timeout, max_time_per_host);
        try
        {
            http_reply const reply =
                http_client(single_host_settings).request("POST", "/api/v1/log-level", body);
            if (reply.status != 200)
                throw_rejection(reply);
            c.io.out << to_string(host) << ": " << c.arguments[0] << '\n';
        }
        catch (command_error const& f)
        {
            if (f.code == exit_refused)
                throw;
            c.io.err << to_string(host) << ": " << f.message << '\n';
            all = false;
        }
    }
    return all ? exit_done : exit_unreachable;
}

// Fetches the events of every daemon in --hosts. Reports daemons that do not respond and returns
// the events of the others.
std::vector<event> fetch_events(context& c, std::string const& target)
{
    std::vector<event> events;
    std::size_t reached = 0;
    for (endpoint const& host : c.settings.hosts)
    {
        client_settings single_host_settings = c.settings;
        single_host_settings.hosts = {host};
        single_host_settings.timeout = std::min(single_host_settings.timeout, max_time_per_host);
        if (c.io.is_terminal)
            c.io.err << "\rquerying " << to_string(host) << "   " << std::flush;
        try
        {
            json::object const body = http_client(single_host_settings).get(target);
            std::vector<event> const found = read_events(body);
            events.insert(events.end(), found.begin(), found.end());
            ++reached;
        }
        catch (command_error const& f)
        {
            c.io.err << "no events from " << to_string(host) << ": " << f.message << '\n';
        }
    }
    if (c.io.is_terminal)
        c.io.err << '\n';
    if (reached == 0)
        throw command_error{exit_unreachable, "no daemon could be reached"};
    return events;
}

exit_code timeline(context& c)
{
    std::string const since = c.option("since").empty() ? "5m" : c.option("since");
    std::string const format = c.settings.json              ? "json"
                               : c.option("format").empty() ? "text"
                                                            : c.option("format");
    if (format != "text" && format != "json" && format != "trace")
        throw command_error{exit_usage, "--format must be text, json or trace"};
    std::int64_t const from = now_ms() - parse_duration_ms(since);
    std::string const target =
        "/api/v1/timeline?since=" + std::to_string(std::max<std::int64_t>(from, 0)) +
        "&subject=" + encode_query(c.option("subject"));
    std::vector<event> const events = merge_events(fetch_events(c, target));
    if (format == "json")
        write_json(c.io.out, events);
    else if (format == "trace")
        write_trace(c.io.out, events);
    else
        write_text(c.io.out, events);
    return exit_done;
}

} // namespace

std::vector<command> observe_commands()
{
    return {
        {"status",
         "",
         0,
         "Show the state of the first daemon that responds.",
         "status --hosts 127.0.0.1:7002,127.0.0.2:7002",
         {},
         status},
        {"timeline",
         "",
         0,
         "Merge the events of all daemons in --hosts in causal order.",
         "timeline --since 2m --subject pool/desk --format trace",
         {{"since", "age of the oldest event, for example 90s, 2m or 1h (default 5m)"},
          {"subject", "only events whose subject contains this text"},
          {"format", "text, json or trace (Chrome trace event format)"}},
         timeline},
        {"why", "SUBJECT", 1, "Explain the state of a subject.", "why upstream/desk-3", {}, why},
        {"log-level",
         "LEVEL",
         1,
         "Set the lowest severity that is logged on every daemon in --hosts.",
         "log-level debug",
         {},
         log_level},
    };
}

} // namespace chivelever::client
