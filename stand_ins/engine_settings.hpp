#ifndef CHICORYLINK_STAND_INS_ENGINE_SETTINGS_HPP
#define CHICORYLINK_STAND_INS_ENGINE_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::stand_ins {

/// @brief The settings of a stand-in engine.
struct engine_settings {
    std::size_t slots = 8;
    std::size_t queue_limit = 64;
    std::chrono::milliseconds token_delay{5};
    /// Prefill time per prompt token that is not cached.
    std::chrono::microseconds prefill_per_token{50};
    std::size_t cached_prefixes = 64;
    /// Maximum age of a load report.
    std::chrono::milliseconds report_lag{200};
    /// Tokens of a response when the request sets no limit.
    std::uint64_t default_tokens = 16;
    bool checks_fencing = false;
    bool can_resume = true;
    /// The served models; all when empty.
    std::vector<std::string> models;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_ENGINE_SETTINGS_HPP
