// Human-readable output of tables and JSON values.
#ifndef CHIVELEVER_CLIENT_TABLE_HPP
#define CHIVELEVER_CLIENT_TABLE_HPP

#include <boost/json/value.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace chivelever::client
{

// Prints rows with aligned columns; the first row is the header.
void print_table(std::ostream& out, std::vector<std::vector<std::string>> const& rows);

// Prints objects as "key: value" lines and lists of objects as tables.
void print_value(std::ostream& out, boost::json::value const& value, int indent = 0);

} // namespace chivelever::client

#endif
