#ifndef CHICORYLINK_GATEWAY_DIRECTORY_RESPONSE_HPP
#define CHICORYLINK_GATEWAY_DIRECTORY_RESPONSE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/gateway/http_response.hpp"
#include "chicorylink/gateway/identity.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

/// @brief Addresses for callers of the live VMs in some regions, except this VM.
[[nodiscard]] std::vector<std::string> other_vms(const services& deps,
                                                 const std::vector<base::region_id>& regions);

/// @brief The response to `GET /v1/vms`: which VMs a team's callers should use, best first.
/// @param caller_hash Hash of the caller, to spread a team's callers over VMs.
[[nodiscard]] http_response directory_response(const services& deps, const rules::rulebook& book,
                                               const identity& caller_identity,
                                               std::uint64_t caller_hash);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_DIRECTORY_RESPONSE_HPP
