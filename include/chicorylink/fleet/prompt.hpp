#ifndef CHICORYLINK_FLEET_PROMPT_HPP
#define CHICORYLINK_FLEET_PROMPT_HPP

#include "chicorylink/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace chicorylink::fleet {

struct prompt_part_tag;

/// Identifies a part of a prompt, whatever precedes it: the hash of its id in the request.
using prompt_part_id = base::strong_id<prompt_part_tag>;

/// @brief A part of a prompt that other prompts may share as a prefix.
struct prompt_part {
    /// Hash of this part and all before it: an engine reuses a part only after the same prefix.
    std::uint64_t chain = 0;
    std::uint32_t tokens = 0;
    /// Not part of placement messages.
    prompt_part_id id{};
};

/// @brief Description of a prompt, as stated in the request.
struct prompt {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
    /// Expected tokens of the answer; 0 if unknown.
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> parts;
    /// Chain hash of the session, the last shared part; it decides where the request goes.
    std::uint64_t session = 0;
};

/// @brief Tokens of all parts except the last, which only this request has.
[[nodiscard]] std::uint32_t shared_tokens(const prompt& request_prompt);

/// @brief The ids of all parts except the last, at most `max_shared_parts` of them.
[[nodiscard]] std::vector<prompt_part_id> shared_part_ids(const prompt& request_prompt);

inline constexpr std::size_t max_shared_parts = 64;

/// @brief Token counts of a prompt and its answer.
struct token_counts {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t answer_tokens = 0;
};

/// @brief Parses `PROMPT,ANSWER` token counts; none when the text has another form.
[[nodiscard]] std::optional<token_counts> parse_token_counts(std::string_view text);

/// @brief Parses `ID:TOKENS,ID:TOKENS...`; stops at the first malformed entry.
[[nodiscard]] std::vector<prompt_part> parse_prompt_parts(std::string_view model,
                                                          std::string_view text);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PROMPT_HPP
