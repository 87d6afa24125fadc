#include "transport/api.hpp"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace chivelever
{

namespace json = boost::json;

namespace
{

constexpr std::string_view api_prefix = "/api/v1/";
constexpr std::size_t max_log_level_body_bytes = 1024;
constexpr int hybrid_time_counter_bits = 16;

api_response json_response(int status, json::object const& body)
{
    return {status, "application/json", json::serialize(body)};
}

api_response error_response(int status, std::string_view code, std::string_view message)
{
    return json_response(status, {{"status", code}, {"message", message}});
}

api_response findings_response(findings const& problems)
{
    json::array list;
    for (finding const& f : problems)
        list.push_back(to_json(f));
    return json_response(422, {{"status", "refused"}, {"message", "refused"}, {"findings", list}});
}

// Parses an integer query parameter: 0 if it is absent, nothing if it is not a number.
std::optional<std::uint64_t> query_number(api_request const& request, std::string const& key)
{
    auto const it = request.query.find(key);
    if (it == request.query.end())
        return 0;
    std::uint64_t v{};
    char const* const end = it->second.data() + it->second.size();
    auto const [last, error] = std::from_chars(it->second.data(), end, v);
    if (error != std::errc{} || last != end)
        return {};
    return v;
}

std::string query_text(api_request const& request, std::string const& key)
{
    auto const it = request.query.find(key);
    return it == request.query.end() ? std::string() : it->second;
}

std::string decode_percent(std::string_view s)
{
    std::string out;
    for (std::size_t i = 0; i < s.size(); ++i)
    {
        unsigned value{};
        if (s[i] == '%' && i + 2 < s.size() &&
            std::from_chars(s.data() + i + 1, s.data() + i + 3, value, 16).ptr == s.data() + i + 3)
        {
            out += static_cast<char>(value);
            i += 2;
        }
        else
            out += s[i] == '+' ? ' ' : s[i];
    }
    return out;
}

int http_status(submit_status status)
{
    switch (status)
    {
    case submit_status::accepted:
        return 200;
    case submit_status::refused:
        return 422;
    case submit_status::conflict:
        return 409;
    case submit_status::unknown:
        return 202;
    case submit_status::not_accepted:
    case submit_status::repairing:
        break;
    }
    return 503;
}

constexpr std::array<std::string_view, 6> status_names{"accepted",     "refused",   "conflict",
                                                       "not_accepted", "repairing", "unknown"};

} // namespace

std::map<std::string, std::string> parse_query(std::string_view raw)
{
    std::map<std::string, std::string> out;
    while (!raw.empty())
    {
        std::string_view const pair = raw.substr(0, raw.find('&'));
        raw.remove_prefix(std::min(raw.size(), pair.size() + 1));
        auto const equals = pair.find('=');
        std::string_view const value =
            equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
        if (!pair.empty())
            out[decode_percent(pair.substr(0, equals))] = decode_percent(value);
    }
    return out;
}

api_handler::api_handler(api_backend backend, std::string operator_token)
    : backend_(std::move(backend)), token_(std::move(operator_token))
{
}

// Compares SHA-256 digests, which have equal length, in constant time, so that response times do
// not reveal how much of a guessed token is correct.
bool api_handler::authorized(std::string const& token) const
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> given{};
    std::array<unsigned char, SHA256_DIGEST_LENGTH> expected{};
    SHA256(reinterpret_cast<unsigned char const*>(token.data()), token.size(), given.data());
    SHA256(reinterpret_cast<unsigned char const*>(token_.data()), token_.size(), expected.data());
    return !token_.empty() && CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

api_response api_handler::handle(api_request const& request) const
try
{
    if (!request.path.starts_with(api_prefix))
        return error_response(404, "not_found", "no such path");
    if (request.method == "GET")
        return get(request);
    if (request.method != "POST")
        return error_response(405, "method", "GET and POST only");
    if (!authorized(request.token))
        return error_response(401, "token", "the token is missing or wrong");
    return post(request);
}
catch (std::exception const& e)
{
    return error_response(500, "error", e.what());
}

api_response api_handler::get(api_request const& request) const
{
    std::string const name = request.path.substr(api_prefix.size());
    if (name == "status")
        return json_response(200, backend_.status());
    if (name == "config")
        return json_response(200, to_json(*backend_.config()));
    if (name == "changes")
        return get_changes(request);
    if (name == "timeline")
        return get_timeline(request);
    if (name == "why")
        return json_response(200, backend_.why(query_text(request, "subject")));
    if (name == "check" || name == "log-level")
        return error_response(405, "method", "POST only");
    return error_response(404, "not_found", "no such path");
}

api_response api_handler::post(api_request const& request) const
{
    std::string const name = request.path.substr(api_prefix.size());
    if (name == "changes")
        return post_change(request);
    if (name == "check")
        return post_check(request);
    if (name == "log-level")
        return post_log_level(request);
    if (name == "status" || name == "config" || name == "timeline" || name == "why")
        return error_response(405, "method", "GET only");
    return error_response(404, "not_found", "no such path");
}

api_response api_handler::get_changes(api_request const& request) const
{
    if (std::string const id = query_text(request, "id"); !id.empty())
        return change_outcome(backend_.change_status(id), id);
    auto const since = query_number(request, "since");
    if (!since)
        return error_response(400, "query", "since is not a revision");
    auto const changes = backend_.changes({*since});
    if (!changes)
        return error_response(410, "gone", "changes after this revision are no longer kept");
    json::array list;
    for (config_change const& c : *changes)
        list.push_back(to_json(c));
    return json_response(200, {{"changes", list}});
}

api_response api_handler::get_timeline(api_request const& request) const
{
    auto const since_ms = query_number(request, "since");
    if (!since_ms ||
        *since_ms > std::numeric_limits<hybrid_time>::max() >> hybrid_time_counter_bits)
        return error_response(400, "query", "since is not a time in milliseconds");
    json::array list;
    for (event const& e :
         backend_.timeline(*since_ms << hybrid_time_counter_bits, query_text(request, "subject")))
        list.push_back(to_json(e));
    return json_response(200, {{"events", list}});
}

api_response api_handler::post_change(api_request const& request) const
{
    findings problems;
    auto const proposal =
        value_or_findings([&] { return decode_proposal(request.body); }, problems);
    if (!proposal)
        return findings_response(problems);
    return change_outcome(backend_.submit(*proposal), proposal->change.change_id);
}

api_response api_handler::post_check(api_request const& request) const
{
    findings problems;
    auto proposal = value_or_findings([&] { return decode_proposal(request.body); }, problems);
    if (!proposal)
        return findings_response(problems);
    config_ptr const config = backend_.config();
    proposal->change.rev = {config->rev.value + 1};
    if (!value_or_findings(
            [&] { return apply(*config, proposal->change, backend_.in_force_everywhere()); },
            problems))
        return findings_response(problems);
    return json_response(200, {{"status", "valid"}, {"revision", config->rev.value}});
}

api_response api_handler::post_log_level(api_request const& request) const
{
    json::error_code error;
    json::value const body = request.body.size() > max_log_level_body_bytes
                                 ? json::value()
                                 : json::parse(request.body, error);
    json::object const* const o = body.if_object();
    json::value const* const severity = o == nullptr ? nullptr : o->if_contains("severity");
    if (severity == nullptr || !severity->is_string() || o->size() != 1)
        return findings_response({{"", "", "severity", 0, "needs {\"severity\": \"LEVEL\"}"}});
    std::string const level(severity->get_string());
    if (!backend_.set_log_level(level))
        return findings_response({{"", "", "severity", 0, "no such level"}});
    return json_response(200, {{"status", "done"}, {"severity", level}});
}

// Reports the outcome of a change and, if it was accepted, which hosts have applied it.
api_response api_handler::change_outcome(submit_result const& result,
                                         std::string const& change_id) const
{
    if (result.status == submit_status::refused)
        return findings_response(result.problems);
    json::object body{{"status", status_names[static_cast<std::size_t>(result.status)]},
                      {"change_id", change_id},
                      {"revision", result.rev.value},
                      {"message", result.message}};
    if (result.winner)
        body["winner"] = to_json(*result.winner);
    if (result.status == submit_status::accepted)
    {
        json::array applied;
        json::array missing;
        for (host_progress const& h : backend_.progress())
            (h.responded && h.rev >= result.rev ? applied : missing).push_back(json::value(h.name));
        body["applied"] = std::move(applied);
        body["not_applied"] = std::move(missing);
    }
    return json_response(http_status(result.status), body);
}

} // namespace chivelever
