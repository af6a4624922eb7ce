#ifndef CHICORYLINK_FRONT_RESOLUTION_HPP
#define CHICORYLINK_FRONT_RESOLUTION_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/prompt.hpp"
#include "chicorylink/front/asked_request.hpp"
#include "chicorylink/front/wire_names.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <variant>

namespace chicorylink::front {

/// @brief A request that one version of the configuration allows, and what it says of it.
struct resolved_request {
    /// Keeps the pointers below alive.
    std::shared_ptr<const fleet::configuration> config;
    const fleet::route* route = nullptr;
    /// Null on a public route.
    const fleet::team* team = nullptr;
    const fleet::service* service = nullptr;
    int priority = 0;
};

/// @brief An answer of the gateway's own.
struct refusal {
    int status = 503;
    /// The stable name of the reason, for the answer's body, the log and the counters.
    std::string_view reason;
    /// When to come back; none when that would not help.
    std::optional<base::milliseconds> retry_after;
};

using resolution = std::variant<resolved_request, refusal>;

/// @brief Finds route, team and service of a request under a configuration.
[[nodiscard]] resolution resolve(const std::shared_ptr<const fleet::configuration>& config,
                                 const asked_request& asked, const wire_names& names);

/// @brief How urgent a request is to an engine, 0 the most: engines read the most urgent first.
[[nodiscard]] std::uint8_t urgency_of(const resolved_request& resolved);

/// @brief What the request says of its prompt; none when it says nothing.
[[nodiscard]] std::optional<fleet::prompt> prompt_of(const message_head& head,
                                                     const wire_names& names);

/// @brief The milliseconds that the sender will wait; none when it does not say.
[[nodiscard]] std::optional<base::milliseconds> patience_of(const message_head& head,
                                                            const wire_names& names);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_RESOLUTION_HPP
