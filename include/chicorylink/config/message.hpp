#ifndef CHICORYLINK_CONFIG_MESSAGE_HPP
#define CHICORYLINK_CONFIG_MESSAGE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace chicorylink::config {

/// The largest piece of a part in one message.
constexpr std::size_t chunk_size_bytes = 65'536;

/// @brief The process that sends a message.
struct sender {
    base::vm_id vm;
    base::incarnation process;
};

/// @brief The sender has a version in force that came from outside the receiver's data center.
struct announcement {
    sender from;
    base::config_version version;
};

/// @brief A newcomer asks which version the receiver has in force.
struct version_query {
    sender from;
};

/// @brief Answers a version query; zero when none is in force.
struct version_answer {
    sender from;
    base::config_version version;
};

/// @brief Asks for the manifest in force, when its version is at least this.
struct manifest_request {
    sender from;
    base::config_version at_least;
};

/// @brief A manifest as published; empty when the sender has none that was asked for.
struct manifest_reply {
    sender from;
    std::string text;
};

/// @brief Asks for a part from an offset on.
struct part_request {
    sender from;
    base::digest digest{};
    std::uint64_t offset = 0;
};

/// @brief One piece of a part; a total of zero says that the sender does not have it.
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
