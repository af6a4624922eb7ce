#ifndef CHICORYLINK_FLEET_PROMPT_HPP
#define CHICORYLINK_FLEET_PROMPT_HPP

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chicorylink::fleet {

/// @brief A leading part of a prompt that other prompts may share.
struct prompt_part {
    /// Hash of this part and all before it: an engine reuses a part only behind the same parts.
    std::uint64_t chain = 0;
    std::uint32_t tokens = 0;
};

/// @brief What a request says of its prompt.
struct prompt {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
    std::vector<prompt_part> parts;
    /// The chain hash that places the request: its session's, which is the last part.
    std::uint64_t session = 0;
};

/// @brief Tokens of all parts but the last, which belongs to the request itself.
[[nodiscard]] std::uint32_t shared_tokens(const prompt& asked);

/// @brief Reads `PROMPT,ANSWER` token counts; none when the text is anything else.
struct token_counts {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
};
[[nodiscard]] std::optional<token_counts> parse_token_counts(std::string_view text);

/// @brief Reads `ID:TOKENS,ID:TOKENS...`; stops at the first entry that can't be read.
[[nodiscard]] std::vector<prompt_part> parse_prompt_parts(std::string_view model,
                                                          std::string_view text);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PROMPT_HPP
