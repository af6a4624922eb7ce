#ifndef CHICORYLINK_CONFIG_EFFECTS_HPP
#define CHICORYLINK_CONFIG_EFFECTS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/config/audit_entry.hpp"
#include "chicorylink/config/message.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::config {

/// @brief A message to send to another VM.
struct outgoing {
    base::vm_id to;
    message content;
};

/// @brief A call to the configuration service for a newer manifest.
struct watch_call {
    base::config_version after;
    base::milliseconds wait{0};
};

/// @brief Kinds of events, for logs and metrics.
enum class event_kind {
    version_in_force,
    version_rejected,
    service_lost,
    service_back,
    service_behind,
    content_corrupt,
    ready,
    catching_up,
};

/// @brief An event with a textual detail.
struct event {
    event_kind kind = event_kind::version_in_force;
    base::config_version version;
    std::string detail;
};

/// @brief Returns the stable name of an event kind, for logs.
[[nodiscard]] std::string_view to_string(event_kind kind);

/// @brief The actions that the caller must perform after a call to the store.
struct effects {
    std::optional<watch_call> watch;
    /// Parts to fetch from the configuration service.
    std::vector<base::digest> fetch;
    std::vector<outgoing> send;
    /// The rulebook to publish to all readers; null when it did not change.
    std::shared_ptr<const rules::rulebook> apply;
    std::vector<audit_entry> audit;
    std::vector<event> events;

    /// @brief Adds a message to send.
    void post(base::vm_id to, message content);
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_EFFECTS_HPP
