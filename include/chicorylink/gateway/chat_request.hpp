#ifndef CHICORYLINK_GATEWAY_CHAT_REQUEST_HPP
#define CHICORYLINK_GATEWAY_CHAT_REQUEST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief What the gateway needs to know of a chat completion request.
struct chat_request {
    std::string model;
    bool stream = false;
    /// The messages in order, each with its role, for prefix hashes. Never logged.
    std::vector<std::string> messages;
    /// How many messages open the conversation: up to and with the first one of the user.
    std::size_t opening = 0;
    /// An upper bound of the prompt's tokens: a token has at least one byte.
    base::tokens prompt_bound;
    /// The most tokens that the answer may have.
    base::tokens answer_bound;
    /// The body for the engine: as it came, with `max_tokens` set.
    std::string body;
};

/// @brief Reads the body of `POST /v1/chat/completions`.
/// @param default_answer_bound Set as `max_tokens` when the body names none.
/// @return An `invalid_message` error that says what is wrong with the body.
[[nodiscard]] base::result<chat_request> parse_chat_request(std::string_view body,
                                                            base::tokens default_answer_bound);

/// @brief What one streamed event tells of the answer.
struct chat_event {
    /// Tokens of the answer that the event carries.
    base::tokens content;
    /// The tokens of prompt and answer together, when the event carries the usage; else zero.
    base::tokens usage;
    /// The event is the stream's end mark.
    bool done = false;
};

/// @brief Reads one server-sent event of an engine; unreadable events count as empty.
[[nodiscard]] chat_event read_chat_event(std::string_view event);

/// @brief The tokens of prompt and answer by the `usage` of a plain answer; zero when absent.
[[nodiscard]] base::tokens read_usage(std::string_view body);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CHAT_REQUEST_HPP
