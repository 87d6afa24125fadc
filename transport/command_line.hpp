// Command line parsing shared by the daemons.
#ifndef CHIVELEVER_TRANSPORT_COMMAND_LINE_HPP
#define CHIVELEVER_TRANSPORT_COMMAND_LINE_HPP

#include <optional>
#include <string_view>

namespace boost::program_options
{
class options_description;
class variables_map;
} // namespace boost::program_options

namespace chivelever
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

// Parses the options into `values`. Returns an exit code if the program should exit: after --help
// or on invalid options.
std::optional<int> read_command_line(int argc, char** argv, std::string_view program,
                                     std::string_view usage,
                                     boost::program_options::options_description const& options,
                                     boost::program_options::variables_map& values);

} // namespace chivelever

#endif
