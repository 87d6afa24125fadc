// Submitting a change through any daemon.
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

constexpr std::chrono::milliseconds poll_period{500}; // while waiting until a change is in force
constexpr std::chrono::milliseconds retry_period{1'000};
constexpr std::size_t change_id_characters = 32;

std::string fresh_change_id()
{
    constexpr std::string_view digits = "0123456789abcdef";
    unsigned char raw[change_id_characters / 2]{};
    if (RAND_bytes(raw, sizeof raw) != 1)
        throw failure{exit_usage, "no random numbers from the system"};
    std::string id;
    for (unsigned char const c : raw)
        id.append({digits[c >> 4], digits[c & 15]});
    return id;
}

std::string text_of(json::object const& o, char const* key)
{
    auto const* v = o.if_contains(key);
    return v != nullptr && v->is_string() ? std::string(v->get_string()) : std::string();
}

std::size_t count_of(json::object const& o, char const* key)
{
    auto const* v = o.if_contains(key);
    return v != nullptr && v->is_array() ? v->get_array().size() : 0;
}

void show_progress(context& c, json::object const& body)
{
    if (!c.io.terminal)
        return;
    std::size_t const applied = count_of(body, "applied");
    c.io.err << "\raccepted, in force on " << applied << " of "
             << applied + count_of(body, "not_applied") << " hosts " << std::flush;
}

// Asks for the progress of an accepted change until every host has it or the time is over.
json::object wait_in_force(context& c, std::string const& id, json::object body)
{
    auto const end = clock::now() + c.settings.wait;
    bool shown = false;
    while (count_of(body, "not_applied") > 0 && clock::now() + poll_period < end)
    {
        show_progress(c, body);
        shown = true;
        std::this_thread::sleep_for(poll_period);
        http_reply const reply = c.http.request("GET", "/api/v1/changes?id=" + id);
        if (reply.status == 200)
            body = parse_body(reply);
    }
    if (shown && c.io.terminal)
        c.io.err << '\n';
    return body;
}

exit_code report(context& c, json::object const& body)
{
    if (c.settings.json)
        c.io.out << json::serialize(body) << '\n';
    else
    {
        c.io.out << text_of(body, "message") << '\n';
        if (count_of(body, "not_applied") > 0)
        {
            c.io.out << "not yet in force on:\n";
            print_value(c.io.out, body.at("not_applied"), 1);
        }
    }
    return count_of(body, "not_applied") > 0 ? exit_not_in_force : exit_done;
}

[[noreturn]] void throw_unknown(std::string const& id)
{
    throw failure{exit_not_reached, "outcome unknown; repeat the command with --change-id " + id +
                                        ", which never applies the change twice"};
}

// Sends the same proposal until its outcome is certain or the time is over.
http_reply submit_until_certain(context& c, std::string const& id, std::string const& text)
{
    auto const end = clock::now() + c.settings.timeout;
    bool uncertain = false;
    for (;;)
    {
        std::optional<http_reply> reply;
        try
        {
            reply = c.http.request("POST", "/api/v1/changes", text);
        }
        catch (failure const& f)
        {
            if (uncertain || f.message.find("may have") != std::string::npos)
                throw_unknown(id);
            throw;
        }
        uncertain = uncertain || reply->uncertain;
        bool const again = reply->status == 202 ||
                           (reply->status == 503 &&
                            (uncertain || text_of(parse_body(*reply), "status") == "repairing"));
        if (!again)
            return *reply;
        if (clock::now() + retry_period >= end)
        {
            if (uncertain)
                throw_unknown(id);
            return *reply;
        }
        std::this_thread::sleep_for(retry_period);
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
with_change_options(std::vector<std::pair<std::string, std::string>> own)
{
    own.emplace_back("reason", "why the change is made");
    own.emplace_back("change-id", "repeat an earlier change with this id (32 hexadecimal digits)");
    return own;
}

fleet_config fetch_config(context& c)
{
    http_reply const reply = c.http.request("GET", "/api/v1/config");
    if (reply.status != 200)
        throw_refusal(reply);
    findings problems;
    auto config = value_or_findings([&] { return decode_config(reply.body); }, problems);
    if (!config)
        throw failure{exit_not_reached, "the daemon's configuration is not understood: " +
                                            to_string(problems.front())};
    return std::move(*config);
}

std::string proposal_text(context& c, std::vector<operation> operations,
                          std::optional<revision> base)
{
    proposed_change p;
    p.change.change_id = c.option("change-id").empty() ? fresh_change_id() : c.option("change-id");
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
        throw failure{exit_usage, "a change needs the operators' token: --token-file FILE"};
    std::string const text = proposal_text(c, std::move(operations), base);
    std::string const id(json::parse(text).at("change_id").as_string());
    http_reply const reply = submit_until_certain(c, id, text);
    if (reply.status != 200)
        throw_refusal(reply);
    return report(c, wait_in_force(c, id, parse_body(reply)));
}

exit_code nothing_to_do(context& c, fleet_config const& config)
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
        throw failure{exit_usage, path + " cannot be read"};
    json::error_code error;
    json::value const value = json::parse(*text, error);
    auto const* o = value.if_object();
    auto const* list = o == nullptr ? nullptr : o->if_contains("operations");
    if (error || list == nullptr)
        throw failure{exit_usage, path + ": needs {\"operations\": [...]}"};
    json::object const whole{
        {"change_id", ""}, {"author", ""}, {"reason", ""}, {"time_ms", 1}, {"operations", *list}};
    findings problems;
    auto const read =
        value_or_findings([&] { return decode_proposal(json::serialize(whole)); }, problems);
    if (read)
        return read->change.operations;
    std::string all;
    for (finding& f : problems)
    {
        f.file = path;
        all += (all.empty() ? "" : "\n") + to_string(f);
    }
    throw failure{exit_usage, all};
}

} // namespace chivelever::client
