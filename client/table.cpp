#include "client/table.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>

namespace chivelever::client
{

namespace json = boost::json;

namespace
{

std::string scalar(json::value const& v)
{
    return v.is_string() ? std::string(v.get_string()) : json::serialize(v);
}

// Prints a list of objects as a table whose columns are the members of the first object.
void print_objects(std::ostream& out, json::array const& list)
{
    std::vector<std::vector<std::string>> rows(1);
    for (auto const& member : list.front().as_object())
        rows[0].emplace_back(member.key());
    for (json::value const& item : list)
    {
        std::vector<std::string> row;
        for (std::string const& column : rows[0])
        {
            json::value const* cell =
                item.is_object() ? item.get_object().if_contains(column) : nullptr;
            row.push_back(cell == nullptr ? "" : scalar(*cell));
        }
        rows.push_back(std::move(row));
    }
    print_table(out, rows);
}

} // namespace

void print_table(std::ostream& out, std::vector<std::vector<std::string>> const& rows)
{
    std::vector<std::size_t> widths;
    for (auto const& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (auto const& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + 2, ' ');
        }
        out << line.substr(0, line.find_last_not_of(' ') + 1) << '\n';
    }
}

void print_value(std::ostream& out, json::value const& value, int indent)
{
    std::string const margin(static_cast<std::size_t>(indent) * 2, ' ');
    if (auto const* list = value.if_array())
    {
        if (!list->empty() && list->front().is_object())
            return print_objects(out, *list);
        for (json::value const& item : *list)
            out << margin << scalar(item) << '\n';
        return;
    }
    auto const* object = value.if_object();
    if (object == nullptr)
    {
        out << margin << scalar(value) << '\n';
        return;
    }
    for (auto const& member : *object)
    {
        json::value const& v = member.value();
        bool const nested =
            (v.is_array() && !v.get_array().empty()) || (v.is_object() && !v.get_object().empty());
        out << margin << std::string_view(member.key()) << ":" << (nested ? "" : " " + scalar(v))
            << '\n';
        if (nested)
            print_value(out, v, indent + 1);
    }
}

} // namespace chivelever::client
