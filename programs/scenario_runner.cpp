#include "chicorylink/scenario/runner.hpp"

#include <cstdio>

#include <fmt/format.h>

namespace {

constexpr int exit_passed = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

} // namespace

/// Runs one scenario; exit code 0 when it passed, 1 when it failed.
int main(int argc, char** argv)
{
    if (argc != 2) {
        fmt::print(stderr, "usage: scenario_runner FILE.lua\n");
        return exit_usage;
    }
    const auto result = chicorylink::scenario::run_file(argv[1]);
    if (!result.passed) {
        fmt::print(stderr, "{}\n", result.message);
        return exit_failed;
    }
    fmt::print("passed, {} checks\n", result.checks);
    return exit_passed;
}
