#include "transport/log.hpp"

#include "transport/bounded_output.hpp"

#include <array>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <unistd.h>

namespace chivelever::log
{

namespace
{

namespace bl = boost::log;

// Enough to show a recurring event; a diskless host cannot store more.
constexpr int default_lines_per_second = 20;
constexpr std::array<std::string_view, 4> severity_names{"debug", "info", "warning", "error"};

// Rate limit state of one event; the window is one second.
struct event_rate
{
    std::chrono::steady_clock::time_point window_start;
    int lines{};
    int suppressed{};
};

std::mutex rate_mutex;
std::map<std::string, event_rate, std::less<>> rates;
std::string host_name;
int lines_per_second = default_lines_per_second;
std::uint64_t suppressed_total = 0;

bounded_output& standard_output()
{
    static bounded_output out(STDOUT_FILENO);
    return out;
}

// Boost.Log backend that passes formatted lines to the bounded output.
class nonblocking_backend
    : public bl::sinks::basic_formatted_sink_backend<char, bl::sinks::concurrent_feeding>
{
public:
    static void consume(bl::record_view const&, std::string const& line)
    {
        standard_output().append(line);
    }
};

// Returns whether the event is within its rate limit, and if so sets the number of its lines that
// were suppressed since the last one.
bool within_rate_limit(std::string_view event, int& suppressed)
{
    auto const now = std::chrono::steady_clock::now();
    std::lock_guard const lock(rate_mutex);
    auto it = rates.find(event);
    if (it == rates.end())
        it = rates.emplace(event, event_rate{now, 0, 0}).first;
    event_rate& r = it->second;
    if (now - r.window_start >= std::chrono::seconds(1))
    {
        r.window_start = now;
        r.lines = 0;
    }
    if (++r.lines > lines_per_second)
    {
        ++r.suppressed;
        ++suppressed_total;
        return false;
    }
    suppressed = std::exchange(r.suppressed, 0);
    return true;
}

// Quotes values with spaces or special characters, so that a line can be parsed.
std::string quote(std::string const& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos)
        return value;
    std::string out = "\"";
    for (char const c : value)
    {
        if (c == '"' || c == '\\')
            out += '\\';
        out += c == '\n' ? ' ' : c;
    }
    return out + "\"";
}

bl::sources::severity_logger_mt<severity>& logger()
{
    static bl::sources::severity_logger_mt<severity> l;
    return l;
}

} // namespace

namespace
{

auto line_format()
{
    return bl::expressions::stream << "time="
                                   << bl::expressions::format_date_time<boost::posix_time::ptime>(
                                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                   << " " << bl::expressions::smessage;
}

} // namespace

void start(severity min_severity, std::string host)
{
    host_name = std::move(host);
    bl::add_common_attributes();
    bl::add_console_log(std::clog, bl::keywords::auto_flush = true,
                        bl::keywords::format = line_format());
    set_severity(min_severity);
}

void start_nonblocking(severity min_severity, std::string host, int max_lines_per_second)
{
    host_name = std::move(host);
    lines_per_second = max_lines_per_second;
    bl::add_common_attributes();
    auto sink = boost::make_shared<bl::sinks::unlocked_sink<nonblocking_backend>>();
    sink->set_formatter(line_format());
    bl::core::get()->add_sink(sink);
    set_severity(min_severity);
}

void flush()
{
    standard_output().flush();
}

std::uint64_t dropped_lines()
{
    return standard_output().dropped();
}

std::uint64_t suppressed_lines()
{
    std::lock_guard const lock(rate_mutex);
    return suppressed_total;
}

void set_severity(severity min_severity)
{
    bl::core::get()->set_filter(bl::expressions::attr<severity>("Severity") >= min_severity);
}

bool parse_severity(std::string_view text, severity& out)
{
    for (std::size_t i = 0; i < severity_names.size(); ++i)
        if (severity_names[i] == text)
        {
            out = static_cast<severity>(i);
            return true;
        }
    return false;
}

void write(severity s, std::string_view event, std::initializer_list<field> fields)
{
    bl::record record = logger().open_record(bl::keywords::severity = s);
    int suppressed = 0;
    if (!record || !within_rate_limit(event, suppressed))
        return;
    bl::record_ostream line(record);
    line << "severity=" << severity_names[static_cast<std::size_t>(s)] << " host=" << host_name
         << " event=" << event;
    for (field const& f : fields)
        line << " " << f.key << "=" << quote(f.value);
    if (suppressed > 0)
        line << " suppressed=" << suppressed;
    line.flush();
    logger().push_record(std::move(record));
}

} // namespace chivelever::log
