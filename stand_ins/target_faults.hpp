#ifndef CHICORYLINK_STAND_INS_TARGET_FAULTS_HPP
#define CHICORYLINK_STAND_INS_TARGET_FAULTS_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::stand_ins {

/// @brief Faults injected into requests at a target.
struct target_faults {
    /// Delay before a request is processed.
    std::chrono::milliseconds delay{0};
    /// Responds with this status instead of the regular response; 0 for none.
    int status = 0;
    /// Closes the connection after this many tokens (engines) or body bytes (services).
    std::optional<std::uint64_t> close_after;
    /// Closes the connection without a response.
    bool drop = false;
    /// Whether a request with `status` or `drop` is run anyway.
    bool run = false;
    /// Responds with the correlation id of another request.
    bool wrong_request_id = false;
    /// Leaves request bodies unread until the faults are set again.
    bool stop_reading = false;
    /// The number of further requests to which the faults apply; all when empty.
    std::optional<std::uint64_t> count;
};

/// @brief Reads the faults from a JSON object; absent fields keep their defaults.
[[nodiscard]] target_faults faults_from_json(const nlohmann::json& value);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_TARGET_FAULTS_HPP
