#include "state/findings.hpp"

namespace chivelever
{

std::string to_string(finding const& f)
{
    std::string text;
    if (!f.file.empty())
        text += f.file + (f.line > 0 ? ":" + std::to_string(f.line) : "") + ": ";
    if (!f.section.empty())
        text += "[" + f.section + "] ";
    if (!f.key.empty())
        text += f.key + ": ";
    return text + f.message;
}

} // namespace chivelever
