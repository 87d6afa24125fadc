// Strict reader of JSON objects: members that are missing, invalid or never requested are findings.
#ifndef CHIVELEVER_PROTOCOL_JSON_READER_HPP
#define CHIVELEVER_PROTOCOL_JSON_READER_HPP

#include "state/state.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace chivelever
{

// Parses one JSON object of at most `limit` bytes and bounded depth. On failure adds a finding and
// returns nullopt.
std::optional<boost::json::value> parse_object(std::string_view text, std::size_t limit,
                                               findings& found);

// Replaces each element of the arrays in the top-level object that cannot be parsed by itself, as
// one with excessive nesting or numbers, with null, so that it does not make the others unreadable.
std::string replace_invalid_elements(std::string_view text);

class json_reader
{
public:
    // `location` names the object in findings, for example "upstream 3".
    json_reader(boost::json::value const& value, std::string location, findings& found);

    bool has(std::string_view key);
    std::string text(std::string_view key, std::size_t max_bytes = 512);
    template<class Int>
    Int integer(std::string_view key, std::uint64_t maximum = std::numeric_limits<Int>::max())
    {
        return static_cast<Int>(unsigned_integer(key, maximum));
    }
    std::int64_t signed_integer(std::string_view key);
    bool boolean(std::string_view key);
    endpoint address(std::string_view key, bool may_be_empty = false);
    // Index of the value in `names`; adds a finding and returns 0 if it is not one of them.
    std::size_t enum_index(std::string_view key, std::span<std::string_view const> names);
    boost::json::array const& array(std::string_view key, std::size_t max_items);
    boost::json::value const* member(std::string_view key);

    void add_finding(std::string_view key, std::string message);
    // Adds a finding for each member that was never requested.
    void report_unknown_keys();

private:
    std::uint64_t unsigned_integer(std::string_view key, std::uint64_t maximum);
    // The member; adds a finding and returns nullptr if it is missing.
    boost::json::value const* required_member(std::string_view key);

    boost::json::object const* object_{};
    std::string location_;
    findings& findings_;
    std::set<std::string, std::less<>> requested_keys_;
};

} // namespace chivelever

#endif
