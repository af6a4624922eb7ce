#ifndef CHICORYLINK_SCENARIO_RUNNER_HPP
#define CHICORYLINK_SCENARIO_RUNNER_HPP

#include <cstdint>
#include <string>

namespace chicorylink::scenario {

/// @brief Result of a scenario.
struct outcome {
    bool passed = false;
    std::uint64_t checks = 0;
    /// Why it failed, with file and line.
    std::string message;
};

/// @brief Runs a scenario from a file in a new world. A scenario without a check fails.
[[nodiscard]] outcome run_file(const std::string& path);

/// @brief Runs a scenario from text, under the name given.
[[nodiscard]] outcome run_text(const std::string& text, const std::string& name);

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_RUNNER_HPP
