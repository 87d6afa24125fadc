#include "protocol/json_reader.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>

namespace chivelever
{

namespace
{
constexpr std::size_t max_depth = 8; // a change has 4 nested levels
boost::json::array const empty_array;
constexpr std::size_t array_depth = 2; // of the arrays in the top-level object

boost::json::parse_options bounded_depth(std::size_t depth)
{
    boost::json::parse_options options;
    options.max_depth = depth;
    return options;
}

bool parses(std::string_view text)
{
    boost::json::error_code error;
    boost::json::parse(text, error, {}, bounded_depth(max_depth - array_depth));
    return !error;
}

bool is_blank(std::string_view text)
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}
} // namespace

std::optional<boost::json::value> parse_object(std::string_view text, std::size_t limit,
                                               findings& found)
{
    if (text.size() > limit)
    {
        found.push_back({"", "", "", 0, "larger than " + std::to_string(limit) + " bytes"});
        return {};
    }
    boost::json::error_code error;
    boost::json::value value = boost::json::parse(text, error, {}, bounded_depth(max_depth));
    if (error)
    {
        found.push_back({"", "", "", 0, "not JSON: " + error.message()});
        return {};
    }
    if (!value.is_object())
    {
        found.push_back({"", "", "", 0, "not a JSON object"});
        return {};
    }
    return value;
}

std::string replace_invalid_elements(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    std::size_t copied = 0; // bytes of the text that are in `out`
    std::size_t depth = 0;
    bool in_string = false;
    bool in_array = false; // directly, in an array of the top-level object
    auto const end_element = [&](std::size_t end)
    {
        std::string_view const element = text.substr(copied, end - copied);
        out += is_blank(element) || parses(element) ? element : "null";
        copied = end;
    };
    auto const copy_until = [&](std::size_t end)
    {
        out += text.substr(copied, end - copied);
        copied = end;
    };
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        char const c = text[i];
        if (in_string)
        {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        }
        else if (c == '"')
            in_string = true;
        else if (c == '[' || c == '{')
        {
            ++depth;
            if (depth == array_depth && c == '[')
            {
                in_array = true;
                copy_until(i + 1);
            }
        }
        else if (depth == array_depth && in_array && (c == ',' || c == ']'))
        {
            end_element(i);
            copy_until(i + 1);
            in_array = c == ',';
            depth -= c == ']' ? 1 : 0;
        }
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
    }
    copy_until(text.size());
    return out;
}

json_reader::json_reader(boost::json::value const& value, std::string location, findings& found)
    : object_(value.if_object()), location_(std::move(location)), findings_(found)
{
    if (object_ == nullptr)
        add_finding("", "not an object");
}

void json_reader::add_finding(std::string_view key, std::string message)
{
    findings_.push_back({"", location_, std::string(key), 0, std::move(message)});
}

boost::json::value const* json_reader::member(std::string_view key)
{
    requested_keys_.emplace(key);
    return object_ == nullptr ? nullptr : object_->if_contains(key);
}

bool json_reader::has(std::string_view key)
{
    return member(key) != nullptr;
}

boost::json::value const* json_reader::required_member(std::string_view key)
{
    auto const* v = member(key);
    if (v == nullptr && object_ != nullptr)
        add_finding(key, "missing");
    return v;
}

std::string json_reader::text(std::string_view key, std::size_t max_bytes)
{
    auto const* v = required_member(key);
    if (v == nullptr)
        return {};
    auto const* s = v->if_string();
    if (s == nullptr || s->size() > max_bytes)
    {
        add_finding(key, "not a string of at most " + std::to_string(max_bytes) + " bytes");
        return {};
    }
    return {s->data(), s->size()};
}

std::uint64_t json_reader::unsigned_integer(std::string_view key, std::uint64_t maximum)
{
    auto const* v = required_member(key);
    if (v == nullptr)
        return 0;
    std::optional<std::uint64_t> n;
    if (v->is_uint64())
        n = v->get_uint64();
    else if (v->is_int64() && v->get_int64() >= 0)
        n = static_cast<std::uint64_t>(v->get_int64());
    if (!n || *n > maximum)
    {
        add_finding(key, "not an integer from 0 to " + std::to_string(maximum));
        return 0;
    }
    return *n;
}

std::int64_t json_reader::signed_integer(std::string_view key)
{
    auto const* v = required_member(key);
    if (v == nullptr)
        return 0;
    if (v->is_int64())
        return v->get_int64();
    add_finding(key, "not a signed 64-bit integer");
    return 0;
}

bool json_reader::boolean(std::string_view key)
{
    auto const* v = required_member(key);
    if (v == nullptr)
        return false;
    if (v->is_bool())
        return v->get_bool();
    add_finding(key, "not a boolean");
    return false;
}

endpoint json_reader::address(std::string_view key, bool may_be_empty)
{
    auto const before = findings_.size();
    std::string const s = text(key);
    if (findings_.size() != before || (may_be_empty && s.empty()))
        return {};
    endpoint const e = parse_endpoint(s);
    if (!e.is_set())
        add_finding(key, "not IPv4:port");
    return e;
}

std::size_t json_reader::enum_index(std::string_view key, std::span<std::string_view const> names)
{
    auto const before = findings_.size();
    std::string const s = text(key);
    if (findings_.size() != before)
        return 0;
    auto const it = std::find(names.begin(), names.end(), s);
    if (it != names.end())
        return static_cast<std::size_t>(it - names.begin());
    std::string all;
    for (std::string_view n : names)
        all += (all.empty() ? "" : ", ") + std::string(n);
    add_finding(key, "'" + s.substr(0, 64) + "' is not one of " + all);
    return 0;
}

boost::json::array const& json_reader::array(std::string_view key, std::size_t max_items)
{
    auto const* v = required_member(key);
    if (v == nullptr)
        return empty_array;
    auto const* a = v->if_array();
    if (a == nullptr || a->size() > max_items)
    {
        add_finding(key, "not an array of at most " + std::to_string(max_items) + " items");
        return empty_array;
    }
    return *a;
}

void json_reader::report_unknown_keys()
{
    if (object_ == nullptr)
        return;
    for (auto const& member : *object_)
        if (!requested_keys_.contains(std::string_view(member.key())))
            add_finding(std::string_view(member.key()).substr(0, 64), "unknown key");
}

} // namespace chivelever
