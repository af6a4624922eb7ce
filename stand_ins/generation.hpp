#ifndef CHICORYLINK_STAND_INS_GENERATION_HPP
#define CHICORYLINK_STAND_INS_GENERATION_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace chicorylink::stand_ins {

/// @brief One chat request as the engine understands it.
struct generation {
    std::string request_id;
    std::string model;
    std::string prompt;
    std::uint64_t prompt_tokens = 0;
    /// Tokens of the whole answer.
    std::uint64_t total_tokens = 0;
    /// The first token to send.
    std::uint64_t first_token = 0;
    bool stream = false;
};

/// @brief Reads a chat request; empty when the body is not one.
[[nodiscard]] std::optional<generation> read_generation(const std::string& body,
                                                        std::uint64_t default_tokens);

/// @brief The text of one token; it depends on the request id and its place alone.
[[nodiscard]] std::string token_text(const std::string& request_id, std::uint64_t index);

/// @brief The event of one token; the last one carries the usage.
[[nodiscard]] std::string token_event(const generation& of, std::uint64_t index);

/// @brief The event of an answer that has no token left to send.
[[nodiscard]] std::string empty_event(const generation& of);

/// @brief The complete plain answer.
[[nodiscard]] std::string plain_answer(const generation& of);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_GENERATION_HPP
