// Strict reading of JSON objects: each member is asked for once, and what is left over is a
// finding.
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

// Parses a text of at most `limit` bytes that holds one object of bounded depth.
std::optional<boost::json::value> parse_object(std::string_view text, std::size_t limit,
                                               findings& found);

class json_reader
{
public:
    // `where` names the object in findings, for example "upstreams 3".
    json_reader(boost::json::value const& value, std::string where, findings& found);

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
    // The index of the value among `names`; a finding and 0 if it is none of them.
    std::size_t one_of(std::string_view key, std::span<std::string_view const> names);
    boost::json::array const& array(std::string_view key, std::size_t max_items);
    boost::json::value const* member(std::string_view key);

    void problem(std::string_view key, std::string message);
    // Reports members that nobody asked for.
    void finish();

private:
    std::uint64_t unsigned_integer(std::string_view key, std::uint64_t maximum);
    // The member, or a finding and nothing if it is missing.
    boost::json::value const* need(std::string_view key);

    boost::json::object const* object_{};
    std::string where_;
    findings& found_;
    std::set<std::string, std::less<>> asked_;
};

} // namespace chivelever

#endif
