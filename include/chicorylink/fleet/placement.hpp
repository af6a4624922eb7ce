#ifndef CHICORYLINK_FLEET_PLACEMENT_HPP
#define CHICORYLINK_FLEET_PLACEMENT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/prompt.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/target_pool.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief Milliseconds from the end of reading a prompt to the first token, with an idle batch.
inline constexpr double first_token_ms = 36.0;

/// @brief Weight of the time to read a shared part a second time. The second copy evicts other
/// parts, which are then read again too.
inline constexpr double reread_factor = 3.0;

/// @brief Cost of sending a request to another data center of the region, in milliseconds. The
/// transfer itself takes a few milliseconds; its bytes share a link with all other traffic.
inline constexpr double cross_data_center_cost_ms = 25.0;

/// @brief The inputs for choosing a target for a request.
struct placement_request {
    service_name service;
    /// The request's prompt; null for a plain service.
    const prompt* engine_prompt = nullptr;
    /// Spreads requests without a prompt over the targets, such as a hash of the request id.
    std::uint64_t spread = 0;
    /// Number of VMs that send to the same targets, including this one.
    std::size_t vm_count = 1;
    /// Whether this VM is its region's coordinator and places all requests, so that its
    /// reservations are the whole load; `vm_count` is 1 then.
    bool by_coordinator = false;
    /// Engines read requests with 0 first.
    std::uint8_t urgency = 0;
    /// How long the caller waits for the end of a stream; none if its output is unknown.
    std::optional<base::milliseconds> time_left;
    /// Data center of the sending VM; an unknown one counts as near to all targets.
    data_center_hash data_center;
    /// Targets of earlier attempts; they are chosen again only when no other is left.
    std::vector<target_name> tried;
    /// Additional check whether a target may be used now, such as for cold targets and connection
    /// limits.
    std::function<bool(const tracked_target&)> may_use;
};

/// @brief A target and the expected times of a request there.
struct placement_choice {
    target_name target;
    std::string address;
    /// Time until the target starts to read the prompt or to work on the request.
    base::milliseconds wait{0};
    /// Expected time to the first token, or to the end of the response of a plain service.
    base::milliseconds start{0};
    /// Prompt tokens that the target has to read.
    std::uint32_t unread_tokens = 0;
    /// `start` in milliseconds plus penalties for rereads, failures and another data center.
    double cost = 0;
    /// Whether an earlier attempt of the request used the same target.
    bool is_repeat = false;
    /// Whether the coordinator counted the request toward the rate that the target states.
    bool is_paced = false;
    /// Factor of the target's times, contained in the expected ones.
    double time_factor = 1;
    /// Another target from whose cache this one fetches the rest of the prompt; may be empty.
    target_name prefix_holder;
    std::string prefix_holder_address;
    /// Time until the transfer ends; the links of both are busy until then.
    base::milliseconds transfer{0};
    /// Expected time to the end of a stream; 0 if unknown.
    base::milliseconds end{0};
};

/// @brief Whether a stream is expected to end after the caller's deadline.
[[nodiscard]] inline bool ends_late(const placement_choice& choice,
                                    const std::optional<base::milliseconds>& time_left)
{
    return time_left && choice.end > *time_left;
}

/// @brief Chooses the target with the lowest expected cost.
///
/// Prompt parts of a session are kept together: they are assumed to be cached at the session's home
/// target by rendezvous hash and at the targets that this VM sent them to. Load from other VMs is
/// known late; if all VMs chose the least loaded target at the same moment, they would overload it.
/// The more VMs share the targets, the fewer targets a request considers: the first ones by its own
/// rendezvous hash. Ejected targets are used only when no other is left. A target that asked this
/// VM to wait gets no request; one that asked another VM, or whose wait has just ended, gets one
/// request at a time.
/// @return None when no target of the region can take the request.
[[nodiscard]] std::optional<placement_choice>
choose_target(const target_pool& pool, const placement_request& request, base::time_point now);

/// @brief The part of a target's unread prompt tokens that belongs to shared parts.
[[nodiscard]] inline std::uint32_t
reread_tokens(std::uint32_t prompt_tokens, std::uint32_t shared_tokens, std::uint32_t unread_tokens)
{
    const auto own = prompt_tokens - std::min(prompt_tokens, shared_tokens);
    return unread_tokens - std::min(unread_tokens, own);
}

/// @brief Number of targets of a service in this region that take requests now, are not cold and
/// state no limit on their rate.
[[nodiscard]] std::uint32_t usable_targets(const target_pool& pool, const service_name& service,
                                           base::time_point now);

/// @brief Expected wait at a service in this region, reported to other regions.
/// @param by_coordinator Whether this VM is its region's coordinator and places all requests.
[[nodiscard]] service_outlook outlook_of(const target_pool& pool, const service_name& service,
                                         bool by_coordinator, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_HPP
