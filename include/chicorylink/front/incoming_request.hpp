#ifndef CHICORYLINK_FRONT_INCOMING_REQUEST_HPP
#define CHICORYLINK_FRONT_INCOMING_REQUEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/front/message_head.hpp"

#include <optional>
#include <string>

namespace chicorylink::front {

/// @brief A complete request as received from a caller or from another VM.
struct incoming_request {
    message_head head;
    std::string body;
    std::string id;
    base::time_point arrived_at{};
    /// Set when another VM forwarded the request: the configuration version that VM applied.
    std::optional<base::config_version> forwarder_version;

    /// Whether it came from the address of a known VM. A sender that claims to forward but is not
    /// known is charged like a caller.
    bool from_known_vm = false;

    /// Whether all places for connections are taken, so that the request is only refused.
    bool is_beyond_places = false;

    [[nodiscard]] bool from_peer() const { return forwarder_version.has_value(); }
    [[nodiscard]] bool is_charged_elsewhere() const { return from_peer() && from_known_vm; }
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_INCOMING_REQUEST_HPP
