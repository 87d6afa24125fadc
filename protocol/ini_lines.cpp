#include "protocol/ini_lines.hpp"

namespace chivelever
{

namespace
{

std::string_view trim(std::string_view s)
{
    constexpr std::string_view blanks = " \t\r\v\f";
    auto const first = s.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return s.substr(first, s.find_last_not_of(blanks) - first + 1);
}

// Takes one line into the index. Returns why the line is refused, or an empty text.
std::string_view take_line(std::string_view line, int number, std::string& section, ini_lines& out)
{
    if (line.front() == '[')
    {
        auto const end = line.find(']');
        if (end == std::string_view::npos)
            return "a section needs a closing ']'";
        std::string_view const name = trim(line.substr(1, end - 1));
        if (name.empty() || end + 1 != line.size())
            return "not a section";
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

ini_lines scan_ini(std::string_view text, std::string const& file)
{
    ini_lines out;
    std::string section;
    int number = 0;
    while (!text.empty())
    {
        ++number;
        auto const end = text.find('\n');
        std::string_view const line = trim(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        std::string_view refused;
        if (line.find('\0') != std::string_view::npos)
            refused = "holds a zero byte";
        else if (!line.empty() && line.front() != ';' && line.front() != '#')
            refused = take_line(line, number, section, out);
        if (!refused.empty())
        {
            auto const equals = line.find('=');
            std::string const key(equals == std::string_view::npos ? std::string_view{}
                                                                   : trim(line.substr(0, equals)));
            out.problems.push_back({file, section, key, number, std::string(refused)});
        }
        else
            out.text += line;
        out.text += '\n';
    }
    return out;
}

} // namespace chivelever
