// Structured logs: one event a line, key=value, on standard error.
#ifndef CHIVELEVER_TRANSPORT_LOG_HPP
#define CHIVELEVER_TRANSPORT_LOG_HPP

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
void set_severity(severity lowest);
// False if the text names no severity.
bool parse_severity(std::string_view text, severity& out);

// Writes one line. An event that repeats more than max_lines_per_second is counted instead, and the
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
