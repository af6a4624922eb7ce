#ifndef CHICORYLINK_SCHEDULING_PREFIX_TRANSFER_HPP
#define CHICORYLINK_SCHEDULING_PREFIX_TRANSFER_HPP

#include <cstdint>

namespace chicorylink::scheduling {

/// @brief How fast an engine gets the tokens of a prompt.
struct prefix_rates {
    /// Prompt tokens that it reads per millisecond.
    double read_tokens_per_ms = 0;
    /// Prompt tokens that it fetches per millisecond from another engine's cache; 0 if it can't.
    double fetch_tokens_per_ms = 0;
};

/// @brief A prompt, an engine that may run it, and another engine that has parts of it cached.
struct prefix_request {
    std::uint32_t prompt_tokens = 0;
    /// Leading tokens that the engine itself has cached, and those that the other one has.
    std::uint32_t own_tokens = 0;
    std::uint32_t holder_tokens = 0;
    /// Milliseconds until the engine reads the prompt, and until the links of both are free.
    double queue_wait_ms = 0;
    double link_wait_ms = 0;
};

/// @brief How an engine gets the leading tokens of a prompt.
struct prefix_plan {
    /// Whether it fetches what the other engine has cached and it has not.
    bool is_fetched = false;
    /// Tokens that it reads.
    std::uint32_t unread_tokens = 0;
    /// Milliseconds until a fetched prefix has arrived; 0 without a transfer.
    double transfer_ms = 0;
    /// Milliseconds for which the transfer occupies both links.
    double link_ms = 0;
    /// Milliseconds until the whole prompt is there.
    double ready_ms = 0;
};

/// @brief Chooses between reading and fetching: a prefix is fetched if the prompt is ready no later
/// than by reading it, since a fetch leaves the engine's time to other prompts.
[[nodiscard]] prefix_plan plan_prefix(const prefix_request& request, const prefix_rates& rates);

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_PREFIX_TRANSFER_HPP
