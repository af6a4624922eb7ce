#ifndef CHICORYLINK_SCENARIO_ENVELOPE_HPP
#define CHICORYLINK_SCENARIO_ENVELOPE_HPP

#include "chicorylink/base/ids.hpp"

#include <any>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chicorylink::scenario {

/// @brief One message in flight between two VMs.
struct envelope {
    /// Identifies the message in scripts; a duplicate gets its own number.
    std::uint64_t number = 0;
    std::string from;
    std::string to;
    /// The sending process.
    base::incarnation sender;
    /// The module, then a dot, then the kind of message: `budget.loan`.
    std::string kind;
    /// The message itself, usually the encoded bytes.
    std::any body;
    /// Encoded size, for traffic counters.
    std::size_t size_bytes = 0;
};

/// @brief Selects messages in flight; empty fields match all.
struct envelope_filter {
    std::uint64_t number = 0;
    std::string from;
    std::string to;
    /// Matches the whole kind or its module.
    std::string kind;
};

/// @brief Whether a filter matches a message.
[[nodiscard]] bool matches(const envelope_filter& filter, const envelope& message);

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_ENVELOPE_HPP
