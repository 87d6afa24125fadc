#include "client/timeline.hpp"

#include "client/settings.hpp"
#include "protocol/protocol.hpp"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <set>

namespace chivelever::client
{

namespace json = boost::json;

namespace
{

constexpr std::int64_t us_per_ms = 1000;
constexpr std::int64_t max_duration_ms = 366LL * 24 * 3600 * 1000;

std::uint32_t logical_counter(hybrid_time t)
{
    return static_cast<std::uint32_t>(t & 0xffff);
}

// Formats UTC time with milliseconds, followed by the logical counter of the hybrid clock, which
// orders events within a millisecond.
std::string format_time(hybrid_time t)
{
    std::int64_t const ms = hybrid_clock::unix_ms(t);
    std::time_t const seconds = ms / 1000;
    std::tm utc{};
    ::gmtime_r(&seconds, &utc);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%d %H:%M:%S", &utc);
    std::array<char, 32> rest{};
    std::snprintf(rest.data(), rest.size(), ".%03d+%u", static_cast<int>(ms % 1000),
                  logical_counter(t));
    return std::string(date.data()) + rest.data();
}

} // namespace

std::int64_t parse_duration_ms(std::string const& text)
{
    std::int64_t n{};
    char const* const end = text.data() + text.size();
    auto const [rest, error] = std::from_chars(text.data(), end, n);
    std::string const unit(rest, end);
    std::int64_t const factor = unit == "ms"  ? 1
                                : unit == "s" ? 1000
                                : unit == "m" ? 60'000
                                : unit == "h" ? 3'600'000
                                              : 0;
    if (error != std::errc{} || factor == 0 || n < 0 || n > max_duration_ms / factor)
        throw command_error{exit_usage, "'" + text + "' is not a duration such as 90s, 2m or 1h"};
    return n * factor;
}

std::vector<event> read_events(json::object const& body)
{
    auto const* list = body.if_contains("events");
    if (list == nullptr || !list->is_array())
        throw command_error{exit_unreachable, "the response has no list of events"};
    std::vector<event> events;
    for (json::value const& v : list->get_array())
    {
        findings problems;
        auto e = value_or_findings([&] { return decode_event(json::serialize(v)); }, problems);
        if (!e)
            throw command_error{exit_unreachable,
                                "cannot decode an event: " + to_string(problems.front())};
        events.push_back(std::move(*e));
    }
    return events;
}

std::vector<event> merge_events(std::vector<event> events)
{
    std::sort(events.begin(), events.end());
    events.erase(std::unique(events.begin(), events.end()), events.end());
    return events;
}

void write_text(std::ostream& out, std::vector<event> const& events)
{
    for (event const& e : events)
        out << format_time(e.time) << "  host " << e.host.value << "  " << e.kind << "  "
            << e.subject << (e.detail.empty() ? "" : "  ") << e.detail << '\n';
}

void write_json(std::ostream& out, std::vector<event> const& events)
{
    json::array list;
    for (event const& e : events)
        list.push_back(to_json(e));
    out << json::serialize(json::object{{"events", list}}) << '\n';
}

void write_trace(std::ostream& out, std::vector<event> const& events)
{
    json::array list;
    std::set<host_id> hosts;
    for (event const& e : events)
    {
        if (hosts.insert(e.host).second)
            list.push_back(json::object{
                {"name", "process_name"},
                {"ph", "M"},
                {"pid", e.host.value},
                {"args", json::object{{"name", "host " + std::to_string(e.host.value)}}}});
        // The logical counter is used as microseconds, so that trace viewers keep the causal order.
        std::int64_t const us = hybrid_clock::unix_ms(e.time) * us_per_ms +
                                std::min<std::int64_t>(logical_counter(e.time), us_per_ms - 1);
        list.push_back(
            json::object{{"name", e.kind},
                         {"cat", e.kind.substr(0, e.kind.find('.'))},
                         {"ph", "i"},
                         {"s", "p"},
                         {"ts", us},
                         {"pid", e.host.value},
                         {"tid", 0},
                         {"args", json::object{{"subject", e.subject}, {"detail", e.detail}}}});
    }
    out << json::serialize(json::object{{"traceEvents", list}, {"displayTimeUnit", "ms"}}) << '\n';
}

} // namespace chivelever::client
