// Structured logging: one event per line as key=value pairs, on standard error or, without ever
// blocking, on standard output.
#ifndef CHIVELEVER_TRANSPORT_LOG_HPP
#define CHIVELEVER_TRANSPORT_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chivelever::log
{

enum class severity
{
    debug,
    info,
    warning,
    error
};

struct field
{
    std::string_view key;
    std::string value;
    auto operator<=>(field const&) const = default;
};

// Sets up logging to standard error; `host` is a field of every line. The severity filter can be
// changed at any time.
void start(severity min_severity, std::string host);
// Sets up logging to standard output. Lines are buffered until flush(), and dropped and counted if
// the reader falls behind. For single-threaded processes.
void start_nonblocking(severity min_severity, std::string host, int max_lines_per_second);
void flush();
// Lines dropped because the reader fell behind, and lines suppressed by the rate limit of their
// event.
std::uint64_t dropped_lines();
std::uint64_t suppressed_lines();
void set_severity(severity min_severity);
// Returns false if the text is not the name of a severity.
bool parse_severity(std::string_view text, severity& out);

// Writes one line. Lines of an event above its rate limit are suppressed, and their number is added
// to its next line, so that a recurring fault cannot flood the log of a diskless host.
void write(severity s, std::string_view event, std::initializer_list<field> fields = {});

inline void info(std::string_view event, std::initializer_list<field> f = {})
{
    write(severity::info, event, f);
}
inline void warning(std::string_view event, std::initializer_list<field> f = {})
{
    write(severity::warning, event, f);
}
inline void error(std::string_view event, std::initializer_list<field> f = {})
{
    write(severity::error, event, f);
}
inline void debug(std::string_view event, std::initializer_list<field> f = {})
{
    write(severity::debug, event, f);
}

} // namespace chivelever::log

#endif
