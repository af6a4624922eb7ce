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

enum class message_direction { request, answer };

/// @brief Why a message can't be read.
enum class parse_problem { none, malformed, header_too_large, body_too_large, truncated };

/// @brief Reads one HTTP/1.1 message from pieces of a byte stream.
///
/// Strict where a lenient reader and the next one could disagree on where a message ends: two
/// lengths, a length beside chunks, folded lines and blanks before a colon are malformed.
class message_parser {
public:
    /// @param header_limit Bytes of the head that are accepted, and of a line between two chunks.
    /// @param body_limit Bytes of the body that are accepted; without one all are.
    message_parser(message_direction direction, std::size_t header_limit,
                   std::optional<std::uint64_t> body_limit);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;
    message_parser(message_parser&&) = delete;
    message_parser& operator=(message_parser&&) = delete;

    /// @brief Takes the next bytes of the connection.
    void feed(std::string_view bytes);

    /// @brief The connection was closed cleanly; ends a body that has no length.
    void feed_end();

    [[nodiscard]] bool has_begun() const { return m_has_begun; }
    [[nodiscard]] bool has_head() const { return m_has_head; }
    [[nodiscard]] bool is_complete() const { return m_is_complete; }
    [[nodiscard]] parse_problem problem() const { return m_problem; }
    [[nodiscard]] const message_head& head() const { return m_head; }

    /// @brief Moves out the decoded bytes of the body that came since the last call.
    [[nodiscard]] std::string take_body();

    /// @brief Moves out the bytes behind a complete message.
    [[nodiscard]] std::string take_rest();

private:
    class engine;
    template <bool IsRequest>
    class typed_engine;

    bool begin_head();
    void pump();
    void fail(parse_problem problem);

    std::unique_ptr<engine> m_engine;
    std::string m_buffer;
    std::string m_body;
    message_head m_head;
    std::size_t m_header_limit;
    std::size_t m_blank_bytes = 0;
    bool m_is_request;
    bool m_has_begun = false;
    bool m_has_head = false;
    bool m_is_complete = false;
    parse_problem m_problem = parse_problem::none;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_MESSAGE_PARSER_HPP
