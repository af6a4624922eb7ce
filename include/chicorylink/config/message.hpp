#ifndef CHICORYLINK_CONFIG_MESSAGE_HPP
#define CHICORYLINK_CONFIG_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace chicorylink::config {

/// Maximum number of bytes of a part in one message.
constexpr std::size_t chunk_size_bytes = 65'536;

/// @brief The process that sends a message.
struct sender {
    base::vm_id vm;
    base::incarnation process;
};

/// @brief Announces that the sender has a version in force that came from outside the receiver's
/// data center.
struct announcement {
    sender from;
    base::config_version version;
};

/// @brief Sent while catching up: asks which version the receiver has in force.
struct version_query {
    sender from;
};

/// @brief Answers a version query; the version is zero when none is in force.
struct version_answer {
    sender from;
    base::config_version version;
};

/// @brief Requests the manifest in force if its version is at least `at_least`.
struct manifest_request {
    sender from;
    base::config_version at_least;
};

/// @brief The manifest text as published; empty when the sender has no such version.
struct manifest_reply {
    sender from;
    std::string text;
};

/// @brief Requests the bytes of a part starting at an offset.
struct part_request {
    sender from;
    base::digest digest{};
    std::uint64_t offset = 0;
};

/// @brief One chunk of a part; `total` is zero when the sender does not have the part.
struct part_reply {
    sender from;
    base::digest digest{};
    std::uint64_t total = 0;
    std::uint64_t offset = 0;
    std::string content;
};

using message = std::variant<announcement, version_query, version_answer, manifest_request,
                             manifest_reply, part_request, part_reply>;

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_MESSAGE_HPP
