#ifndef CHICORYLINK_STAND_INS_GENERATION_HPP
#define CHICORYLINK_STAND_INS_GENERATION_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace chicorylink::stand_ins {

/// @brief A parsed chat request.
struct generation {
    std::string request_id;
    std::string model;
    std::string prompt;
    std::uint64_t prompt_tokens = 0;
    /// Number of tokens of the complete response.
    std::uint64_t total_tokens = 0;
    /// Index of the first token to send; above 0 when a stream is resumed.
    std::uint64_t first_token = 0;
    bool stream = false;
};

/// @brief Parses a chat request; empty when the body is not one.
[[nodiscard]] std::optional<generation> read_generation(const std::string& body,
                                                        std::uint64_t default_tokens);

/// @brief The text of one token; it depends only on the request id and the token's index.
[[nodiscard]] std::string token_text(const std::string& request_id, std::uint64_t index);

/// @brief The SSE event of one token; the last event carries the usage.
[[nodiscard]] std::string token_event(const generation& request, std::uint64_t index);

/// @brief The SSE event of a response with no token left to send.
[[nodiscard]] std::string empty_event(const generation& request);

/// @brief The complete response when it is not streamed.
[[nodiscard]] std::string plain_response(const generation& request);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_GENERATION_HPP
