// Structured logs: one event a line, key=value, on standard error, or without ever blocking on
// standard output.
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

// Sets up Boost.Log; `host` is a field of every line. The filter may be changed at any time.
void start(severity lowest, std::string host);
// The same on standard output, where lines wait for flush() and are dropped and counted when nobody
// reads them. For a process of one thread.
void start_unblocking(severity lowest, std::string host, int max_lines_per_second);
void flush();
// Lines that were lost because nobody read them, and lines that were left out because their event
// repeated too often.
std::uint64_t dropped_lines();
std::uint64_t suppressed_lines();
void set_severity(severity lowest);
// False if the text names no severity.
bool parse_severity(std::string_view text, severity& out);

// Writes one line. An event that repeats more often than its limit is counted instead, and the
// count is added to its next line, so that a fault cannot flood a host without disks.
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
