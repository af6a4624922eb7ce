#ifndef CHICORYLINK_GATEWAY_IDENTITY_HPP
#define CHICORYLINK_GATEWAY_IDENTITY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/refusal.hpp"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace chicorylink::rules {
class rulebook;
struct team;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

/// The team of requests without a key, on routes that are open to all.
inline constexpr std::string_view public_team_name = "public";

/// @brief The team and key on whose behalf a request runs.
struct identity {
    base::team_id team;
    /// Empty for a request without a key.
    std::optional<base::digest> key_digest;
};

/// @brief Finds the team of a request by its key.
/// @return The identity, or the refusal if there is none.
[[nodiscard]] std::variant<identity, refusal> identify(const rules::rulebook& book,
                                                       const std::vector<std::string>& keys);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_IDENTITY_HPP
