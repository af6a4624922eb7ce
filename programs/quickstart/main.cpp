#include "show.hpp"

#include <iostream>

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app{"Starts a small fleet on loopback addresses and shows what the gateway does."};
    std::string binaries = "build";
    app.add_option("--bin", binaries, "The build folder")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        return chicorylink::quickstart::show_all(binaries) ? 0 : 1;
    }
    catch (const std::exception& failure) {
        std::cerr << "quickstart: " << failure.what() << "\n";
        return 1;
    }
}
