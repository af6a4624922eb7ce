#ifndef CHICORYLINK_GATEWAY_CHAT_REQUEST_HPP
#define CHICORYLINK_GATEWAY_CHAT_REQUEST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief The parts of a chat completion request that the gateway uses.
struct chat_request {
    std::string model;
    bool stream = false;
    /// The messages in order, each with its role, for prefix hashes. Never logged.
    std::vector<std::string> messages;
    /// Number of messages up to and including the first one of the user.
    std::size_t opening = 0;
    /// Upper bound of the prompt's tokens: a token has at least one byte.
    base::tokens prompt_bound;
    /// Maximum number of tokens of the response.
    base::tokens answer_bound;
    /// The body for the engine: as received, with `max_tokens` set.
    std::string body;
};

/// @brief Parses the body of `POST /v1/chat/completions`.
/// @param default_answer_bound Set as `max_tokens` when the body sets no limit.
/// @return An `invalid_message` error that says what is wrong with the body.
[[nodiscard]] base::result<chat_request> parse_chat_request(std::string_view body,
                                                            base::tokens default_answer_bound);

/// @brief What one streamed event contains of the response.
struct chat_event {
    /// Tokens of the response that the event carries.
    base::tokens content;
    /// Tokens of prompt and response together when the event carries the usage; else zero.
    base::tokens usage;
    /// The event marks the end of the stream.
    bool done = false;
};

/// @brief Parses one server-sent event of an engine; malformed events count as empty.
[[nodiscard]] chat_event read_chat_event(std::string_view event);

/// @brief Tokens of prompt and response by the `usage` of a non-streamed response; zero when
/// absent.
[[nodiscard]] base::tokens read_usage(std::string_view body);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CHAT_REQUEST_HPP
