// Line numbers of the sections and keys of an INI text, which Boost.PropertyTree does not keep.
#ifndef CHIVELEVER_PROTOCOL_INI_INDEX_HPP
#define CHIVELEVER_PROTOCOL_INI_INDEX_HPP

#include "state/state.hpp"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace chivelever
{

struct ini_index
{
    std::map<std::pair<std::string, std::string>, int> keys; // (section, key) -> line
    std::map<std::string, int> sections;
    std::string text; // the input with invalid lines left empty, so that parsing continues
    findings found;
};

// Indexes an INI text and reports malformed lines and duplicate sections and keys.
ini_index scan_ini(std::string_view text, std::string const& file);

} // namespace chivelever

#endif
