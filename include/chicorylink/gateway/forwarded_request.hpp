#ifndef CHICORYLINK_GATEWAY_FORWARDED_REQUEST_HPP
#define CHICORYLINK_GATEWAY_FORWARDED_REQUEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/platform/http_request.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::gateway {

/// @brief What the receiving VM does with a forwarded request.
enum class forward_purpose : std::uint8_t {
    /// Run the request on a target of the receiver's region.
    run = 0,
    /// Issue a ticket for the route.
    issue_ticket = 1,
};

/// @brief A request that one VM forwards to another. It is never forwarded again.
struct forwarded_request {
    forward_purpose purpose = forward_purpose::run;
    base::team_id team;
    /// The digest of the caller's key; empty on routes that are open to all.
    std::optional<base::digest> key_digest;
    base::route_id route;
    /// The version of the rules by which the sender decided.
    base::config_version version;
    /// Correlates the response; made of the sender's incarnation and a counter.
    std::string request_id;
    std::string method;
    std::string path;
    std::string query;
    platform::header_list headers;
    bool stream = false;
    /// The body follows on the stream with this length.
    std::uint32_t body_bytes = 0;
    /// Time left until the deadline.
    base::milliseconds deadline{0};
    base::tokens prompt_tokens;
    base::tokens answer_tokens;
    /// Attempts before this one, over all VMs.
    std::uint8_t attempt = 0;
    std::string ticket;
    std::uint8_t hop = 1;
    /// Salted prefix hashes of the prompt.
    std::uint64_t session = 0;
    std::vector<std::uint64_t> blocks;
    base::vm_id origin;
    /// Tokens of a streamed response that earlier attempts have delivered.
    std::uint64_t resume_from = 0;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FORWARDED_REQUEST_HPP
