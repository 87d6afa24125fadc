// chivelever: the command-line client for operators.
#include "client/command.hpp"

#include <iostream>
#include <unistd.h>

int main(int argc, char** argv)
{
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    bool const is_terminal = ::isatty(STDERR_FILENO) != 0;
    return chivelever::client::run(arguments, {std::cout, std::cerr, is_terminal});
}
