#ifndef CHICORYLINK_FRONT_MESSAGE_PARSER_HPP
#define CHICORYLINK_FRONT_MESSAGE_PARSER_HPP

#include "chicorylink/front/message_head.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::front {

enum class message_kind { request, response };

/// @brief Why a message can't be parsed.
enum class parse_problem { none, malformed, header_too_large, body_too_large, truncated };

/// @brief Incremental parser for one HTTP/1.1 message.
///
/// Strict where two parsers could disagree on where a message ends: duplicate lengths, a length
/// together with chunked encoding, folded lines and field names with blanks or control bytes are
/// malformed. So is a response with a status below 100.
class message_parser {
public:
    /// @param header_limit Maximum bytes of the head, and of a line between two chunks.
    /// @param body_limit Maximum bytes of the body; unlimited if absent.
    message_parser(message_kind kind, std::size_t header_limit,
                   std::optional<std::uint64_t> body_limit);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) = delete;
    message_parser& operator=(message_parser&&) = delete;

    /// @brief Parses the next bytes received on the connection.
    void feed(std::string_view bytes);

    /// @brief Handles a clean close of the connection, which ends a body without a length.
    void feed_eof();

    [[nodiscard]] bool has_begun() const { return m_has_begun; }
    [[nodiscard]] bool has_head() const { return m_has_head; }
    [[nodiscard]] bool is_complete() const { return m_is_complete; }
    [[nodiscard]] parse_problem problem() const { return m_problem; }
    [[nodiscard]] const message_head& head() const { return m_head; }

    /// @brief Bytes that were fed and not taken: of an unfinished head or line, and of the body.
    [[nodiscard]] std::size_t held() const
    {
        return m_buffer.capacity() + m_body.size() + m_head_bytes;
    }

    /// @brief Moves out the body bytes decoded since the last call.
    [[nodiscard]] std::string take_body();

    /// @brief Moves out the bytes that follow a complete message.
    [[nodiscard]] std::string take_remaining();

private:
    class impl;
    template <bool IsRequest>
    class beast_impl;

    bool prepare_head();
    void parse_buffered();
    [[nodiscard]] bool has_too_much_framing() const;
    void fail(parse_problem problem);

    std::unique_ptr<impl> m_impl;
    std::string m_buffer;
    std::string m_body;
    message_head m_head;
    std::size_t m_header_limit;
    std::size_t m_blank_bytes = 0;
    /// Bytes of the head, which is kept in `m_head`.
    std::size_t m_head_bytes = 0;
    /// Bytes of chunk sizes, chunk extensions and trailers.
    std::uint64_t m_framing_bytes = 0;
    std::uint64_t m_body_bytes = 0;
    bool m_is_request;
    bool m_has_begun = false;
    bool m_has_head = false;
    bool m_is_complete = false;
    parse_problem m_problem = parse_problem::none;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_MESSAGE_PARSER_HPP
