// Submits configuration changes through any daemon.
#include "client/command.hpp"
#include "client/table.hpp"
#include "protocol/protocol.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <openssl/rand.h>
#include <thread>

namespace chivelever::client
{

namespace json = boost::json;
using clock = std::chrono::steady_clock;

namespace
{

// Poll period while waiting for a change to be in force.
constexpr std::chrono::milliseconds progress_poll_period{500};
constexpr std::chrono::milliseconds submit_retry_period{1'000};
constexpr std::size_t change_id_length = 32;

std::string generate_change_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    unsigned char raw[change_id_length / 2]{};
    if (RAND_bytes(raw, sizeof raw) != 1)
        throw command_error{exit_usage, "the system random number generator failed"};
    std::string id;
    for (unsigned char const c : raw)
        id.append({digits[c >> 4], digits[c & 15]});
    return id;
}

std::string string_member(json::object const& o, char const* key)
{
    auto const* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->get_string()) : std::string();
}

std::size_t array_size(json::object const& o, char const* key)
{
    auto const* v = o.if_contains(key);
    return v != nullptr && v->is_array() ? v->get_array().size() : 0;
}

void show_progress(context& c, json::object const& body)
{
    if (!c.io.is_terminal)
        return;
    std::size_t const applied = array_size(body, "applied");
    c.io.err << "\raccepted, in force on " << applied << " of "
             << applied + array_size(body, "not_applied") << " hosts " << std::flush;
}

// Polls the progress of an accepted change until every host has applied it or the wait times out.
json::object wait_until_in_force(context& c, std::string const& id, json::object body)
{
    auto const deadline = clock::now() + c.settings.wait;
    bool shown = false;
    while (array_size(body, "not_applied") > 0 && clock::now() + progress_poll_period < deadline)
    {
        show_progress(c, body);
        shown = true;
        std::this_thread::sleep_for(progress_poll_period);
        http_reply const reply = c.http.request("GET", "/api/v1/changes?id=" + id);
        if (reply.status == 200)
            body = parse_body(reply);
    }
    if (shown && c.io.is_terminal)
        c.io.err << '\n';
    return body;
}

exit_code report(context& c, json::object const& body)
{
    if (c.settings.json)
        c.io.out << json::serialize(body) << '\n';
    else
    {
        c.io.out << string_member(body, "message") << '\n';
        if (array_size(body, "not_applied") > 0)
        {
            c.io.out << "not yet in force on:\n";
            print_value(c.io.out, body.at("not_applied"), 1);
        }
    }
    return array_size(body, "not_applied") > 0 ? exit_not_in_force : exit_done;
}

[[noreturn]] void throw_outcome_unknown(std::string const& id)
{
    throw command_error{exit_unreachable, "outcome unknown; retry with --change-id " + id +
                                              ", which does not apply the change twice"};
}

// Resends the same proposal until its outcome is known or the command times out.
http_reply submit_until_outcome_known(context& c, std::string const& id, std::string const& text)
{
    auto const deadline = clock::now() + c.settings.timeout;
    bool outcome_uncertain = false;
    for (;;)
    {
        std::optional<http_reply> reply;
        try
        {
            reply = c.http.request("POST", "/api/v1/changes", text);
        }
        catch (command_error const& f)
        {
            // "may have been executed" is part of the message of http_client::request.
            if (outcome_uncertain || f.message.find("may have") != std::string::npos)
                throw_outcome_unknown(id);
            throw;
        }
        outcome_uncertain = outcome_uncertain || reply->outcome_uncertain;
        bool const should_retry =
            reply->status == 202 ||
            (reply->status == 503 &&
             (outcome_uncertain || string_member(parse_body(*reply), "status") == "repairing"));
        if (!should_retry)
            return *reply;
        if (clock::now() + submit_retry_period >= deadline)
        {
            if (outcome_uncertain)
                throw_outcome_unknown(id);
            return *reply;
        }
        std::this_thread::sleep_for(submit_retry_period);
    }
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::vector<std::pair<std::string, std::string>>
with_change_options(std::vector<std::pair<std::string, std::string>> options)
{
    options.emplace_back("reason", "why the change is made");
    options.emplace_back("change-id",
                         "retry an earlier change with this id (32 hexadecimal digits)");
    return options;
}

fleet_config fetch_config(context& c)
{
    http_reply const reply = c.http.request("GET", "/api/v1/config");
    if (reply.status != 200)
        throw_rejection(reply);
    findings problems;
    auto config = value_or_findings([&] { return decode_config(reply.body); }, problems);
    if (!config)
        throw command_error{exit_unreachable, "cannot decode the configuration from the daemon: " +
                                                  to_string(problems.front())};
    return std::move(*config);
}

std::string make_proposal_json(context& c, std::vector<operation> operations,
                               std::optional<revision> base)
{
    proposed_change p;
    p.change.change_id =
        c.option("change-id").empty() ? generate_change_id() : c.option("change-id");
    p.change.author = c.settings.author;
    p.change.reason = c.option("reason");
    p.change.time_ms = now_ms();
    p.change.operations = std::move(operations);
    p.base = base;
    return encode(p);
}

exit_code submit(context& c, revision base, std::vector<operation> operations)
{
    if (c.settings.token.empty())
        throw command_error{exit_usage,
                            "submitting a change requires the operator token: --token-file FILE"};
    std::string const text = make_proposal_json(c, std::move(operations), base);
    std::string const id(json::parse(text).at("change_id").as_string());
    http_reply const reply = submit_until_outcome_known(c, id, text);
    if (reply.status != 200)
        throw_rejection(reply);
    return report(c, wait_until_in_force(c, id, parse_body(reply)));
}

exit_code report_unchanged(context& c, fleet_config const& config)
{
    if (c.settings.json)
        c.io.out << json::serialize(
                        json::object{{"status", "unchanged"}, {"revision", config.rev.value}})
                 << '\n';
    else
        c.io.out << "nothing to do: already so in revision " << config.rev.value << '\n';
    return exit_done;
}

std::vector<operation> read_operations(std::string const& path)
{
    auto const text = read_file(path);
    if (!text)
        throw command_error{exit_usage, path + " cannot be read"};
    json::error_code error;
    json::value const value = json::parse(*text, error);
    auto const* o = value.if_object();
    auto const* list = o == nullptr ? nullptr : o->if_contains("operations");
    if (error || list == nullptr)
        throw command_error{exit_usage, path + ": expected a JSON object {\"operations\": [...]}"};
    json::object const proposal{
        {"change_id", ""}, {"author", ""}, {"reason", ""}, {"time_ms", 1}, {"operations", *list}};
    findings problems;
    auto const read =
        value_or_findings([&] { return decode_proposal(json::serialize(proposal)); }, problems);
    if (read)
        return read->change.operations;
    std::string all;
    for (finding& f : problems)
    {
        f.file = path;
        all += (all.empty() ? "" : "\n") + to_string(f);
    }
    throw command_error{exit_usage, all};
}

} // namespace chivelever::client
