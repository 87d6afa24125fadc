#include "transport/command_line.hpp"

#include <boost/program_options.hpp>
#include <iostream>

namespace chivelever
{

namespace po = boost::program_options;

std::optional<int> read_command_line(int argc, char** argv, std::string_view program,
                                     std::string_view usage, po::options_description const& options,
                                     po::variables_map& values)
{
    try
    {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    }
    catch (po::error const& e)
    {
        std::cerr << program << ": " << e.what() << "\nTry " << program << " --help.\n";
        return exit_usage;
    }
    if (values.count("help") == 0)
        return std::nullopt;
    std::cout << "Usage: " << program << " " << usage << "\n" << options;
    return exit_ok;
}

} // namespace chivelever
