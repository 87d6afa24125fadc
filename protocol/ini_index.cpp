#include "protocol/ini_index.hpp"

namespace chivelever
{

namespace
{

std::string_view trim(std::string_view s)
{
    constexpr std::string_view whitespace = " \t\r\v\f";
    auto const first = s.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return s.substr(first, s.find_last_not_of(whitespace) - first + 1);
}

// Adds one line to the index. Returns the reason if the line is invalid, otherwise an empty text.
std::string_view index_line(std::string_view line, int number, std::string& section, ini_index& out)
{
    if (line.front() == '[')
    {
        auto const end = line.find(']');
        if (end == std::string_view::npos)
            return "section header lacks a closing ']'";
        std::string_view const name = trim(line.substr(1, end - 1));
        if (name.empty() || end + 1 != line.size())
            return "invalid section header";
        section = name;
        if (!out.sections.emplace(section, number).second)
            return "section occurs twice";
        return {};
    }
    auto const equals = line.find('=');
    std::string_view const key = trim(line.substr(0, equals));
    if (equals == std::string_view::npos || key.empty())
        return "neither a section nor KEY = VALUE";
    if (!out.keys.emplace(std::pair(section, std::string(key)), number).second)
        return "key occurs twice";
    return {};
}

} // namespace

ini_index scan_ini(std::string_view text, std::string const& file)
{
    ini_index out;
    std::string section;
    int number = 0;
    while (!text.empty())
    {
        ++number;
        auto const end = text.find('\n');
        std::string_view const line = trim(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        std::string_view error;
        if (line.find('\0') != std::string_view::npos)
            error = "contains a NUL byte";
        else if (!line.empty() && line.front() != ';' && line.front() != '#')
            error = index_line(line, number, section, out);
        if (!error.empty())
        {
            auto const equals = line.find('=');
            std::string const key(equals == std::string_view::npos ? std::string_view{}
                                                                   : trim(line.substr(0, equals)));
            out.found.push_back({file, section, key, number, std::string(error)});
        }
        else
            out.text += line;
        out.text += '\n';
    }
    return out;
}

} // namespace chivelever
