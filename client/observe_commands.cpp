// The commands status, timeline, why and log-level.
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

// One unreachable daemon must not use up the time of a command that asks all of them.
constexpr std::chrono::milliseconds longest_per_host{15'000};

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

// The level is that of one process, so every daemon of the list is asked.
exit_code log_level(context& c)
{
    if (c.settings.token.empty())
        throw failure{exit_usage, "the log level needs the operators' token: --token-file FILE"};
    std::string const body = json::serialize(json::object{{"severity", c.arguments[0]}});
    bool all = true;
    for (endpoint const& host : c.settings.hosts)
    {
        client_settings one = c.settings;
        one.hosts = {host};
        one.timeout = std::min(one.timeout, longest_per_host);
        try
        {
            http_reply const reply = http_client(one).request("POST", "/api/v1/log-level", body);
            if (reply.status != 200)
                throw_refusal(reply);
            c.io.out << to_string(host) << ": " << c.arguments[0] << '\n';
        }
        catch (failure const& f)
        {
            if (f.code == exit_refused)
                throw;
            c.io.err << to_string(host) << ": " << f.message << '\n';
            all = false;
        }
    }
    return all ? exit_done : exit_not_reached;
}

// Asks every daemon of the list for its events. Daemons that do not answer are named, and the
// events of the others are shown.
std::vector<event> collect(context& c, std::string const& target)
{
    std::vector<event> events;
    std::size_t reached = 0;
    for (endpoint const& host : c.settings.hosts)
    {
        client_settings one = c.settings;
        one.hosts = {host};
        one.timeout = std::min(one.timeout, longest_per_host);
        if (c.io.terminal)
            c.io.err << "\rasking " << to_string(host) << "   " << std::flush;
        try
        {
            json::object const body = http_client(one).get(target);
            std::vector<event> const found = read_events(body);
            events.insert(events.end(), found.begin(), found.end());
            ++reached;
        }
        catch (failure const& f)
        {
            c.io.err << "no events from " << to_string(host) << ": " << f.message << '\n';
        }
    }
    if (c.io.terminal)
        c.io.err << '\n';
    if (reached == 0)
        throw failure{exit_not_reached, "no daemon could be reached"};
    return events;
}

exit_code timeline(context& c)
{
    std::string const since = c.option("since").empty() ? "5m" : c.option("since");
    std::string const format = c.settings.json              ? "json"
                               : c.option("format").empty() ? "text"
                                                            : c.option("format");
    if (format != "text" && format != "json" && format != "trace")
        throw failure{exit_usage, "--format: text, json or trace"};
    std::int64_t const from = now_ms() - parse_duration_ms(since);
    std::string const target =
        "/api/v1/timeline?since=" + std::to_string(std::max<std::int64_t>(from, 0)) +
        "&subject=" + encode_query(c.option("subject"));
    std::vector<event> const events = merge_events(collect(c, target));
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
         "Show the state of the first daemon that answers.",
         "status --hosts 127.0.0.1:7002,127.0.0.2:7002",
         {},
         status},
        {"timeline",
         "",
         0,
         "Merge the events of all daemons of --hosts in causal order.",
         "timeline --since 2m --subject pool/desk --format trace",
         {{"since", "how far back, for example 90s, 2m or 1h (default 5m)"},
          {"subject", "only events whose subject contains this text"},
          {"format", "text, json or trace (Chrome trace event format)"}},
         timeline},
        {"why", "SUBJECT", 1, "Explain the state of a subject.", "why upstream/desk-3", {}, why},
        {"log-level",
         "LEVEL",
         1,
         "Set the least severity that is logged, on every daemon of --hosts.",
         "log-level debug",
         {},
         log_level},
    };
}

} // namespace chivelever::client
