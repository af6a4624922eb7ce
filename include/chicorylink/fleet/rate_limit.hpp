#ifndef CHICORYLINK_FLEET_RATE_LIMIT_HPP
#define CHICORYLINK_FLEET_RATE_LIMIT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::fleet {

/// @brief What a target last stated about the rate that it takes.
struct limit_statement {
    /// Requests per second from all VMs together; none while it states no limit.
    std::optional<double> per_second;
    /// For a limit when the response arrived, for its absence when the request was sent: the
    /// response may have been made at any time in between, and a limit outweighs its absence.
    base::time_point at{};
};

/// @brief The rate that one run of a target takes from all VMs together.
struct rate_limit {
    /// From a response, or from the VM that got the response.
    limit_statement told;
    /// From a digest. It is not passed on: each VM that did so would make it look newer.
    limit_statement relayed;
    /// When this VM last reported a statement to the region's delegates.
    base::time_point reported_at{};
};

/// @brief A target's statement, as sent from the VM that got it to the VMs of the region.
struct limit_report {
    base::target_id target;
    /// Run of the target that sent it: calendar time of its start, in milliseconds.
    std::int64_t started_ms = 0;
    std::optional<double> per_second;
    /// Time since the statement.
    base::milliseconds age{0};
};

/// How long a statement holds without a newer one. Longer than the time between two requests at the
/// lowest rate, whose responses repeat it.
inline constexpr base::milliseconds limit_lifetime{60'000};

/// Rate at which a target that takes less, or nothing, still gets requests: only their responses
/// tell when the limit ends.
inline constexpr double min_requests_per_second = 0.1;

/// How often a statement that doesn't change is reported to the region's delegates.
inline constexpr base::milliseconds limit_report_interval{1'000};

/// A statement that a digest has relayed is not reported again for this long: many VMs get the same
/// statement, and the delegates need it once.
inline constexpr base::milliseconds limit_relay_time{2'000};

/// @brief The requests per second that a target takes from all VMs now; none without a limit.
[[nodiscard]] std::optional<double> limit_at(const rate_limit& limit, base::time_point now);

/// @brief Mean time between two requests at a rate.
[[nodiscard]] base::milliseconds request_interval(double per_second);

/// @brief Replaces a statement by a newer one; an older one is ignored.
void update_statement(limit_statement& known, const limit_statement& newer);

/// @brief Whether a target stated so recently that it has a limit, or none any more, that other VMs
/// may not know it.
[[nodiscard]] bool is_recent(const limit_statement& statement, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RATE_LIMIT_HPP
