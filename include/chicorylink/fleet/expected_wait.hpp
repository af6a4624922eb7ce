#ifndef CHICORYLINK_FLEET_EXPECTED_WAIT_HPP
#define CHICORYLINK_FLEET_EXPECTED_WAIT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/target_pool.hpp"

#include <cstdint>

// The expected times at one target, by its load and speed.

namespace chicorylink::fleet {

/// Assumed response time of a plain service before its first response.
inline constexpr double default_response_ms = 30.0;

/// @brief Load at a target ahead of a new request.
struct queued_work {
    std::uint64_t in_flight = 0;
    std::uint64_t unread_tokens = 0;
    /// How late the first waiting request is.
    base::milliseconds overdue{0};
};

/// @brief The load that this VM and others reported.
[[nodiscard]] queued_work reported_work(const tracked_target& target, base::time_point now);

/// @brief The load that this VM reserved as coordinator.
[[nodiscard]] queued_work reserved_work(const tracked_target& target, std::uint8_t urgency,
                                        base::time_point now);

/// @brief The median of the measured response times of a plain service. A target without a response
/// counts as usual; as the fastest, it would draw the requests of all others.
[[nodiscard]] double usual_response_ms(const target_pool& pool, const service_name& service);

/// @brief Response time of a plain service without what its target states about its times.
[[nodiscard]] double undisturbed_response_ms(const tracked_target& target,
                                             double usual_response_ms);

/// @brief Milliseconds until a target starts to work on a new request.
/// @param factor Factor of the target's times; see `scheduling::time_factor`.
[[nodiscard]] double wait_ms(const tracked_target& target, const queued_work& work,
                             double usual_response_ms, double factor);

/// @brief Milliseconds until a target starts to work on a request that this VM places as
/// coordinator: by its queue, or by the share of its time that is left to reading prompts.
[[nodiscard]] double coordinated_wait_ms(const tracked_target& target, std::uint8_t urgency,
                                         double usual_response_ms, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_EXPECTED_WAIT_HPP
