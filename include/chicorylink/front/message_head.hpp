#ifndef CHICORYLINK_FRONT_MESSAGE_HEAD_HPP
#define CHICORYLINK_FRONT_MESSAGE_HEAD_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

/// @brief One header field; the name keeps its original case.
struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// @brief The start line and header fields of an HTTP/1.1 request or response.
struct message_head {
    /// Set for a request.
    std::string method;
    std::string target;
    /// Set for a response.
    int status = 0;
    std::string reason;

    header_fields fields;
    bool keep_alive = true;
    bool chunked = false;
    /// Absent for a chunked body and for a response that ends when the connection closes.
    std::optional<std::uint64_t> content_length;
};

/// @brief Compares two header names, ignoring case.
[[nodiscard]] bool same_name(std::string_view a, std::string_view b);

/// @brief The value of the first field with this name; null if there is none.
[[nodiscard]] const std::string* find_field(const header_fields& fields, std::string_view name);

/// @brief The media type of a `Content-Type` field without its parameters; empty if there is none.
[[nodiscard]] std::string_view media_type(const header_fields& fields);

/// @brief Removes all fields with this name.
void remove_fields(header_fields& fields, std::string_view name);

/// @brief Removes hop-by-hop fields: those listed in `Connection`, framing fields and the like.
void remove_hop_by_hop_fields(header_fields& fields);

/// @brief Appends `name: value` and a line end.
void append_field(std::string& out, std::string_view name, std::string_view value);

/// @brief Appends all fields.
void append_fields(std::string& out, const header_fields& fields);

/// @brief The standard reason phrase of a status code.
[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_MESSAGE_HEAD_HPP
