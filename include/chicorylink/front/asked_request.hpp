#ifndef CHICORYLINK_FRONT_ASKED_REQUEST_HPP
#define CHICORYLINK_FRONT_ASKED_REQUEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/front/message_head.hpp"

#include <optional>
#include <string>

namespace chicorylink::front {

/// @brief A whole request as it came, from a caller or from another VM.
struct asked_request {
    message_head head;
    std::string body;
    std::string id;
    base::time_point arrived_at{};
    /// Set when another VM forwarded it: the version under which that VM decided.
    std::optional<base::config_version> forwarded_under;

    /// Whether the address that it came from is a known VM's. One that claims to forward and is
    /// not known is charged like a caller.
    bool from_member = false;

    [[nodiscard]] bool from_peer() const { return forwarded_under.has_value(); }
    [[nodiscard]] bool is_charged_elsewhere() const { return from_peer() && from_member; }
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_ASKED_REQUEST_HPP
