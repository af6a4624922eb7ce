#ifndef CHICORYLINK_PLATFORM_LOAD_REPORT_HPP
#define CHICORYLINK_PLATFORM_LOAD_REPORT_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chicorylink::platform {

/// @brief The load that a target reports.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Age of the figures as reported by the target.
    base::milliseconds age{0};
    /// Hashes of the prompt prefixes in the target's cache; a hint that may be out of date.
    std::vector<std::uint64_t> cached;
};

/// @brief Parses a target's response to `GET /v1/load`.
/// @return An `invalid_message` error when the text is not a valid load report.
[[nodiscard]] base::result<load_report> parse_load_report(std::string_view text);

/// @brief Parses the value of the response header `X-Load`, such as `running=3;waiting=0;slots=8`.
/// @return Empty when a field is missing or is not a number.
[[nodiscard]] std::optional<load_report> parse_load_header(std::string_view value);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_LOAD_REPORT_HPP
