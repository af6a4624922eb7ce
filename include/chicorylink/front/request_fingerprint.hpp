#ifndef CHICORYLINK_FRONT_REQUEST_FINGERPRINT_HPP
#define CHICORYLINK_FRONT_REQUEST_FINGERPRINT_HPP

#include "chicorylink/fleet/prompt.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::fleet {
struct team;
} // namespace chicorylink::fleet

namespace chicorylink::front {

struct incoming_request;

/// @brief Hash of what stays the same when a caller sends a request again: method, host, path with
/// query, team, body and the shared parts of the prompt. The id and the other headers may differ.
/// @param team The caller's team; null on a public route.
[[nodiscard]] std::uint64_t request_fingerprint(const incoming_request& request,
                                                const fleet::team* team,
                                                const std::optional<fleet::prompt>& prompt);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_REQUEST_FINGERPRINT_HPP
