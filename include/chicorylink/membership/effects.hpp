#ifndef CHICORYLINK_MEMBERSHIP_EFFECTS_HPP
#define CHICORYLINK_MEMBERSHIP_EFFECTS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/message.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::membership {

/// @brief A message to send.
struct outgoing {
    base::vm_id to;
    /// The receiver's `IP:port` for peer links.
    std::string address;
    message content;
};

/// @brief Kinds of events, for logs and metrics.
enum class event_kind {
    member_joined,
    member_suspected,
    member_recovered,
    member_leaving,
    member_gone,
    woke_from_pause,
    membership_lapsed,
};

/// @brief An event that concerns one VM.
struct event {
    event_kind kind = event_kind::member_joined;
    base::vm_id vm;
    base::incarnation process;
    gone_proof proof = gone_proof::none;
};

/// @brief The actions that the caller must perform after a call to the table.
struct effects {
    std::vector<outgoing> send;
    std::vector<event> events;
};

/// @brief Returns the stable name of an event kind, for logs.
[[nodiscard]] std::string_view to_string(event_kind kind);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_EFFECTS_HPP
