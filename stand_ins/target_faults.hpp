#ifndef CHICORYLINK_STAND_INS_TARGET_FAULTS_HPP
#define CHICORYLINK_STAND_INS_TARGET_FAULTS_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::stand_ins {

/// @brief What goes wrong with a request at a target.
struct target_faults {
    /// Waits before anything is done.
    std::chrono::milliseconds delay{0};
    /// Answers this status instead of the right answer; 0 for none.
    int status = 0;
    /// Breaks the connection after this many tokens (engines) or body bytes (services).
    std::optional<std::uint64_t> close_after;
    /// Closes the connection without an answer.
    bool drop = false;
    /// Whether a request with `status` or `drop` is run all the same.
    bool run = false;
    /// Answers with the correlation id of another request.
    bool wrong_request_id = false;
    /// Leaves request bodies unread until the faults are set anew.
    bool stop_reading = false;
    /// To how many more requests the faults happen; all when empty.
    std::optional<std::uint64_t> count;
};

/// @brief Reads the faults from a JSON object; fields that are absent keep their defaults.
[[nodiscard]] target_faults faults_from_json(const nlohmann::json& value);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_TARGET_FAULTS_HPP
