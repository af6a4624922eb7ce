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

/// @brief Prompt tokens that an engine reads in a millisecond, before any was measured.
inline constexpr double default_prompt_speed = 60.0;

/// @brief Milliseconds from the end of a prompt to its first token with an idle batch.
inline constexpr double first_token_ms = 36.0;

/// @brief How much more than its reading time a shared part costs that is read a second time: the
/// memory that its copy takes evicts other parts, which are then read again too.
inline constexpr double reread_factor = 3.0;

/// @brief What a request's way to another data center of the region counts, as time. The way itself
/// takes a few milliseconds; its bytes share a link with those of all others.
inline constexpr double crossing_cost_ms = 25.0;

/// @brief What a request needs of a target.
struct placement_request {
    service_name service;
    /// Null at a plain service.
    const prompt* asked = nullptr;
    /// Spreads requests that have no prompt over the targets, such as a hash of their id.
    std::uint64_t spread = 0;
    /// VMs that send to the same targets, this one included.
    std::size_t sharers = 1;
    /// Whether this VM places all requests of its region, so that what is reserved here is all
    /// that there is; `sharers` is 1 then.
    bool by_desk = false;
    /// 0 is read first by engines.
    std::uint8_t urgency = 0;
    /// Of the VM that sends the request; unknown is near all targets.
    data_center_mark data_center;
    /// Targets that earlier attempts used; they are chosen again only when no other is left.
    std::vector<target_name> tried;
    /// Whether a target that is still cold, or has no connection left, may be used now.
    std::function<bool(const tracked_target&)> may_use;
};

/// @brief A target and what is expected of it.
struct placement_choice {
    target_name target;
    std::string address;
    /// How long the request waits until its own prompt is read or its work begins.
    base::milliseconds wait{0};
    /// The expected time to the first token or to the end of a plain answer.
    base::milliseconds start{0};
    /// Tokens of the prompt that have to be read.
    std::uint32_t unread_tokens = 0;
    /// `start` in milliseconds, with what the choice costs later requests.
    double cost = 0;
    /// Whether an earlier attempt of the request went to the same target.
    bool is_repeat = false;
};

/// @brief Chooses the target where a request is expected to begin first.
///
/// The parts of a session are kept together: its place by rendezvous hash is taken to hold them,
/// besides the targets that this VM sent them to. What other VMs sent is known late; if all of them
/// took the least loaded target at the same moment, they would flood it. So the more VMs share the
/// targets, the fewer of them a request considers: the first ones by its own rendezvous hash.
/// Targets that were ejected are used only when no other is left. A target that asked this VM to
/// wait gets nothing, one that asked another VM or whose wait is just over gets one request at a
/// time.
/// @return None when no target of the region takes the request.
[[nodiscard]] std::optional<placement_choice>
choose_target(const target_pool& pool, const placement_request& request, base::time_point now);

/// @brief The shared tokens of a prompt among those that a target has yet to read.
[[nodiscard]] inline std::uint32_t
reread_tokens(std::uint32_t prompt_tokens, std::uint32_t shared_tokens, std::uint32_t unread_tokens)
{
    const auto own = prompt_tokens - std::min(prompt_tokens, shared_tokens);
    return unread_tokens - std::min(unread_tokens, own);
}

/// @brief Targets of a service in this region that take work now and are not cold.
[[nodiscard]] std::uint32_t usable_targets(const target_pool& pool, const service_name& service,
                                           base::time_point now);

/// @brief How long work waits at a service in this region, for the VMs of others.
/// @param by_desk Whether this VM places all requests of its region.
[[nodiscard]] service_outlook outlook_of(const target_pool& pool, const service_name& service,
                                         bool by_desk, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_HPP
