// What the daemons do alike with their command lines. Header only, and not part of transport.hpp:
// only programs link Boost.Program_options.
#ifndef CHIVELEVER_TRANSPORT_COMMAND_LINE_HPP
#define CHIVELEVER_TRANSPORT_COMMAND_LINE_HPP

#include <boost/program_options.hpp>
#include <iostream>
#include <optional>
#include <string_view>

namespace chivelever
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;

// Reads the options into `values`. Returns a code if the program is to end with it: the help was
// asked for, or the options are wrong.
inline std::optional<int>
read_command_line(int argc, char** argv, std::string_view program, std::string_view usage,
                  boost::program_options::options_description const& described,
                  boost::program_options::variables_map& values)
{
    namespace po = boost::program_options;
    try
    {
        po::store(po::parse_command_line(argc, argv, described), values);
        po::notify(values);
    }
    catch (po::error const& e)
    {
        std::cerr << program << ": " << e.what() << "\nTry " << program << " --help.\n";
        return exit_usage;
    }
    if (values.count("help") == 0)
        return std::nullopt;
    std::cout << "Usage: " << program << " " << usage << "\n" << described;
    return exit_ok;
}

} // namespace chivelever

#endif
