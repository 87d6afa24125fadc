// Findings of a validation, collected with their locations and reported together.
#ifndef CHIVELEVER_STATE_FINDINGS_HPP
#define CHIVELEVER_STATE_FINDINGS_HPP

#include <compare>
#include <string>
#include <vector>

namespace chivelever
{

struct finding
{
    std::string file;    // empty for a configuration change
    std::string section; // INI section, or "operation 3"
    std::string key;
    int line{}; // 0 if unknown
    std::string message;
    auto operator<=>(finding const&) const = default;
};
using findings = std::vector<finding>;

// Formats "file:line: [section] key: message" without the parts that are unknown.
std::string to_string(finding const& f);

} // namespace chivelever

#endif
