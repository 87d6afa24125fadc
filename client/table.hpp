// Text output: tables, and JSON values for people.
#ifndef CHIVELEVER_CLIENT_TABLE_HPP
#define CHIVELEVER_CLIENT_TABLE_HPP

#include <boost/json/value.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace chivelever::client
{

// Rows of cells in aligned columns; the first row is the head.
void print_table(std::ostream& out, std::vector<std::vector<std::string>> const& rows);

// An object as "key: value" lines; lists of objects as tables.
void print_value(std::ostream& out, boost::json::value const& value, int indent = 0);

} // namespace chivelever::client

#endif
