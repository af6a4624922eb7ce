#ifndef CHICORYLINK_PLATFORM_TARGET_LIST_HPP
#define CHICORYLINK_PLATFORM_TARGET_LIST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorylink::platform {

/// @brief One row of the platform's list of targets.
struct listed_target {
    base::target_id id;
    bool leaving = false;
};

/// @brief The platform's list of targets; a target that is gone is absent.
struct target_list {
    std::uint64_t sequence = 0;
    std::vector<listed_target> targets;
};

/// @brief Reads the answer of `GET /v1/targets`.
/// @return An `invalid_message` error when the text is not such an answer.
[[nodiscard]] base::result<target_list> parse_target_list(std::string_view text);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_TARGET_LIST_HPP
