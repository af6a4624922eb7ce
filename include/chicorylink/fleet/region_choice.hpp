#ifndef CHICORYLINK_FLEET_REGION_CHOICE_HPP
#define CHICORYLINK_FLEET_REGION_CHOICE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/region_digest.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chicorylink::fleet {

/// @brief State of a service in another region.
struct remote_region {
    region_name region;
    /// Expected wait there, including this VM's own recent requests.
    base::milliseconds wait{0};
    base::milliseconds round_trip{0};
    std::uint32_t usable_targets = 0;
};

/// @brief The inputs for choosing a region for a request.
struct region_request {
    bool is_engine = false;
    /// Tokens of the whole prompt.
    std::uint32_t prompt_tokens = 0;
    /// Those of them in shared parts, which this region's targets may have cached and those of
    /// another region may not.
    std::uint32_t shared_tokens = 0;
    /// Hash of the prompt's session; its requests go to the same region where possible.
    std::uint64_t session = 0;
    base::milliseconds latency_objective{0};
    base::milliseconds time_left{0};
    /// Whether the caller retries after a refusal.
    bool is_retry = false;
    region_name own_region;
    /// Targets of this region that can serve the request.
    std::uint32_t own_targets = 0;
    /// Whether an attempt in another region was refused or failed: the request is not sent to its
    /// home region for the cached parts again.
    bool remote_attempt_failed = false;
    /// How much longer the request waits in this region than a target's queue tells, because
    /// refused callers return before it.
    base::milliseconds reserved_wait{0};
};

/// @brief Where a request goes: to a target of this region, to another region, or nowhere.
enum class region_decision_kind { local, remote, none };

/// @brief The chosen region of a request and the expected times there.
struct region_decision {
    region_decision_kind kind = region_decision_kind::none;
    region_name region;
    /// Round trip to the region, when it is another one.
    base::milliseconds round_trip{0};
    /// The expected wait there, or the shortest wait in any region when none takes the request.
    base::milliseconds wait{0};
    /// In another region: the expected start, and the prompt tokens to be read.
    base::milliseconds start{0};
    std::uint32_t tokens = 0;
};

/// @brief Chooses between this region, others and none.
///
/// Each session has a home region, by rendezvous hash weighted by the regions' targets. A request
/// goes there when reading its shared parts takes longer than the transfer, unless this region has
/// the parts cached too or the home region is loaded. Without home regions, each region would read
/// the parts of all sessions, and a region would have only its own targets for its peak load.
/// @param local_choice The best target of this region; none when there is none or the region is not
/// allowed.
/// @param others Other regions that the request may go to.
[[nodiscard]] region_decision choose_region(const std::optional<placement_choice>& local_choice,
                                            const std::vector<remote_region>& others,
                                            const region_request& request);

/// @brief The decision to send a request to another region whose targets have none of its prompt
/// cached.
[[nodiscard]] region_decision decide_for_region(const remote_region& destination,
                                                const region_request& request);

/// @brief Limits within which a request stays in this region.
struct local_limits {
    /// What `longest_wait` leaves beside the reserved wait. A target that is idle always does.
    base::milliseconds wait{0};
    /// Unlimited when no other region can serve the request in time.
    base::milliseconds start{0};
    /// Shared prompt tokens that may be read here although the home region has them cached.
    std::uint32_t reread_tokens = std::numeric_limits<std::uint32_t>::max();
};
[[nodiscard]] local_limits local_limits_for(const std::vector<remote_region>& others,
                                            const region_request& request);

/// @brief The longest expected wait with which a request is accepted.
///
/// When capacity is short, a caller that retries after a refusal, as it was told to, takes
/// precedence over a new one.
[[nodiscard]] base::milliseconds longest_wait(const region_request& request);

/// @brief Prompt tokens that this VM sent to other regions since their last digests.
class remote_sends {
public:
    void note(const region_name& region, const service_name& service, std::uint32_t tokens,
              base::time_point now);

    /// @brief Tokens that this VM sent within the last digest interval.
    [[nodiscard]] std::uint64_t recent_tokens(const region_name& region,
                                              const service_name& service,
                                              base::time_point now) const;

private:
    struct sent {
        base::time_point at{};
        std::uint32_t tokens = 0;
    };
    std::map<std::pair<region_name, service_name>, std::vector<sent>> m_sent;
};

/// @brief The newest digest of each other region.
class region_digests {
public:
    /// Digests older than this are ignored; they don't tell the present load.
    static constexpr base::milliseconds max_digest_age{2500};

    /// @brief Stores a digest unless a newer one of its region is known.
    void note(const region_digest& digest, base::time_point now);

    /// @brief Whether a recent digest of a region is known.
    [[nodiscard]] bool knows(const region_name& region, base::time_point now) const;

    /// @brief All recent digests, with their present age.
    [[nodiscard]] std::vector<region_digest> recent(base::time_point now) const;

private:
    struct entry {
        region_digest digest;
        base::time_point made_at{};
    };
    std::map<region_name, entry> m_entries;
};

/// @brief The assumed state of a region with known VMs but without a recent digest.
[[nodiscard]] remote_region region_without_digest(const region_name& region);

/// @brief The other regions in which a service has usable targets.
[[nodiscard]] std::vector<remote_region> remote_regions(const region_digests& digests,
                                                        const service_name& service,
                                                        const remote_sends& sends,
                                                        base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_REGION_CHOICE_HPP
