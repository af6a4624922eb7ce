#ifndef CHICORYLINK_PLATFORM_LOAD_REPORT_HPP
#define CHICORYLINK_PLATFORM_LOAD_REPORT_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chicorylink::platform {

/// @brief What a target says of its own load.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// How old the figures are by the target's own account.
    base::milliseconds age{0};
    /// Hashes of the prompt prefixes that it holds; a hint that may be late.
    std::vector<std::uint64_t> cached;
};

/// @brief Reads the answer of a target's `GET /v1/load`.
/// @return An `invalid_message` error when the text is not such an answer.
[[nodiscard]] base::result<load_report> parse_load_report(std::string_view text);

/// @brief Reads the value of the response header `X-Load`, such as `running=3;waiting=0;slots=8`.
/// @return Empty when a field is missing or is not a number.
[[nodiscard]] std::optional<load_report> parse_load_header(std::string_view value);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_LOAD_REPORT_HPP
