#ifndef CHICORYLINK_FRONT_MESSAGE_HEAD_HPP
#define CHICORYLINK_FRONT_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

/// @brief One header line, in the spelling in which it came.
struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// @brief The head of an HTTP/1.1 request or answer.
struct message_head {
    /// Of a request.
    std::string method;
    std::string target;
    /// Of an answer.
    int status = 0;
    std::string reason;

    header_fields fields;
    bool keep_alive = true;
    bool chunked = false;
    /// Absent for a chunked body and for an answer that ends with its connection.
    std::optional<std::uint64_t> content_length;
};

/// @brief Whether two header names are the same; their case does not count.
[[nodiscard]] bool same_name(std::string_view a, std::string_view b);

/// @brief The value of the first field of a name; null without one.
[[nodiscard]] const std::string* find_field(const header_fields& fields, std::string_view name);

/// @brief Removes all fields of a name.
void remove_fields(header_fields& fields, std::string_view name);

/// @brief Removes what concerns one connection only: the fields that `Connection` names, framing
/// and the like.
void remove_hop_fields(header_fields& fields);

/// @brief Appends `name: value` and a line end.
void append_field(std::string& out, std::string_view name, std::string_view value);

/// @brief Appends all fields.
void append_fields(std::string& out, const header_fields& fields);

/// @brief The standard reason phrase of a status.
[[nodiscard]] std::string_view reason_of(int status);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_MESSAGE_HEAD_HPP
