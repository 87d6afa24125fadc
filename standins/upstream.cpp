// Simulates many upstreams in one process, each with its own UDP endpoint, and serves an HTTP
// control endpoint.
#include "standins/common_http.hpp"
#include "standins/common_upstream.hpp"

#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace
{

using namespace chivelever;
using namespace chivelever::standins;

using fleet = std::vector<std::unique_ptr<upstream>>;

json::object report(fleet const& all, execution_register const& executions)
{
    json::object total;
    json::array upstream_reports;
    for (auto const& u : all)
    {
        json::object const upstream_report = u->report();
        for (auto const& [name, value] : upstream_report)
            if (name != "id" && name != "service")
            {
                json::value& sum = total[name];
                sum = (sum.is_null() ? 0 : sum.to_number<std::uint64_t>()) +
                      value.to_number<std::uint64_t>();
            }
        upstream_reports.push_back(upstream_report);
    }
    total["doubled"] = executions.duplicates;
    total["orders"] = executions.runs.size();
    return {{"total", total}, {"upstreams", upstream_reports}};
}

// {"upstream": ID or "all", "command": "cold", "value": 2.0}
http_reply control(fleet const& all, json::object const& command)
{
    auto const* const target = command.if_contains("upstream");
    auto const* const name = command.if_contains("command");
    auto const* const value = command.if_contains("value");
    if (target == nullptr || name == nullptr || !name->is_string())
        return {400, "{\"error\":\"upstream and command are required\"}"};
    int matched = 0;
    for (auto const& u : all)
    {
        if (target->is_int64() && target->as_int64() != u->settings().id.value)
            continue;
        ++matched;
        if (!u->command(std::string_view(name->as_string()),
                        value != nullptr && value->is_number() ? value->to_number<double>() : 0))
            return {400, "{\"error\":\"unknown command\"}"};
    }
    return {matched != 0 ? 200U : 404U, "{\"matched\":" + std::to_string(matched) + "}"};
}

http_reply answer(fleet const& all, execution_register const& executions, http_call const& call)
{
    if (call.path == "/report")
        return {200, json::serialize(report(all, executions))};
    if (call.path == "/control" && call.method == "POST")
        return control(all, parse_object(call.body));
    if (call.path == "/health" && call.query.contains("upstream"))
        for (auto const& u : all)
            if (std::to_string(u->settings().id.value) == call.query.at("upstream"))
                return {200, json::serialize(u->health())};
    return {404, "{}"};
}

// id:service:ip:port:slots:connections
upstream_settings parse_upstream(std::string const& text)
{
    auto const p = split(text, ':');
    if (p.size() != 6)
    {
        std::cerr << "--upstream: expected id:service:ip:port:slots:connections: " << text << "\n";
        std::exit(2);
    }
    upstream_settings s;
    s.id = {static_cast<std::uint32_t>(parse_number(p[0]).value_or(0))};
    s.service = {static_cast<std::uint32_t>(parse_number(p[1]).value_or(0))};
    s.address = require_endpoint(p[2] + ":" + p[3], "--upstream");
    s.slots = parse_number(p[4]).value_or(1);
    s.connections = parse_number(p[5]).value_or(1);
    return s;
}

// Reads a JSON array of upstreams in the format of --upstream.
std::vector<std::string> read_list(std::string const& file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return json::value_to<std::vector<std::string>>(json::parse(text.str()));
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Simulated upstreams");
    description.add_options()("upstream",
                              options::value<std::vector<std::string>>()->default_value({}, ""),
                              "id:service:ip:port:slots:connections; repeatable")(
        "file", options::value<std::string>(), "JSON array of upstreams in the same format")(
        "control", options::value<std::string>(),
        "ip:port (HTTP): POST /control, GET /report, GET /health?upstream=ID")(
        "service-ms", options::value<double>()->default_value(5), "mean (lognormal: median)")(
        "distribution", options::value<std::string>()->default_value("exponential"),
        "fixed, uniform, exponential or lognormal")(
        "warm-answers", options::value<std::uint64_t>()->default_value(4),
        "answers that end a cold start")("seed", options::value<std::uint64_t>()->default_value(1),
                                         "seed of the service times");
    options::variables_map values;
    if (!parse_options(argc, argv, description, values))
        return 0;

    asio::io_context io(1);
    timer_queue timers(io);
    execution_register executions;
    fleet all;
    auto texts = values["upstream"].as<std::vector<std::string>>();
    if (values.count("file") != 0)
        for (std::string const& text : read_list(values["file"].as<std::string>()))
            texts.push_back(text);
    for (std::string const& text : texts)
    {
        upstream_settings s = parse_upstream(text);
        s.service_ms = values["service-ms"].as<double>();
        s.distribution = values["distribution"].as<std::string>();
        s.warm_answers = values["warm-answers"].as<std::uint64_t>();
        all.push_back(std::make_unique<upstream>(io, timers, executions, s,
                                                 values["seed"].as<std::uint64_t>() + s.id.value));
    }
    if (values.count("control") != 0)
        serve_http(io, require_endpoint(values["control"].as<std::string>(), "--control"),
                   [&](http_call const& call, http_responder const& respond)
                   { respond(answer(all, executions, call)); });
    std::cout << "upstreams ready" << std::endl;
    run_until_stopped(io, values);
    std::cout << json::serialize(report(all, executions)) << std::endl;
    return 0;
}
