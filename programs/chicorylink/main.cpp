// The operators' command-line tool.

#include "programs/chicorylink/command_line.hpp"

#include <iostream>

int main(int argc, char** argv)
{
    return static_cast<int>(chicorylink::cli::run_command_line(argc, argv, std::cout, std::cerr));
}
