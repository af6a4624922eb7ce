#ifndef CHICORYLINK_ROUTING_ROUTER_HPP
#define CHICORYLINK_ROUTING_ROUTER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/choose.hpp"
#include "chicorylink/routing/decision.hpp"
#include "chicorylink/routing/load_report.hpp"
#include "chicorylink/routing/outcome.hpp"
#include "chicorylink/routing/region_summary.hpp"
#include "chicorylink/routing/request.hpp"
#include "chicorylink/routing/target_state.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::routing {

class pool;

/// @brief What a router is told at its start.
struct router_settings {
    base::region_id region;
    base::vm_id self;
    base::incarnation process;
    /// Seed of the pseudo-random choices; random in a daemon, fixed in a test.
    std::uint64_t seed = 1;
    /// The decision about a request that arrives.
    policy_function policy = &choose;
};

/// @brief How an attempt at a target ended.
struct finished_attempt {
    request_id id;
    base::route_id route;
    attempt_outcome outcome = attempt_outcome::succeeded;
    /// From the sending to the end of the answer.
    base::nanoseconds latency{0};
};

/// @brief Routing at one VM: a pool of targets and a queue for each route.
///
/// Thread-safe: each pool is guarded by its own lock and no call blocks on anything else. All
/// effects are returned as decisions, which the caller carries out.
class router {
public:
    explicit router(router_settings settings);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;

    /// @brief Takes a version of the rules over; what is known of targets that remain is kept.
    /// @return Decisions about queued requests that the new rules refuse or let through.
    [[nodiscard]] std::vector<decision> on_rules(const std::shared_ptr<const rules::rulebook>& book,
                                                 base::time_point now);

    /// @brief Sets the number of live VMs of this region, this one included.
    void on_region_vms(std::uint32_t count);

    [[nodiscard]] std::vector<decision>
    on_target_report(base::target_id target, const load_report& report, base::time_point now);
    /// @brief The platform's list or a refused order says that a target is live or leaving.
    void on_target_state(base::target_id target, target_availability state, base::time_point now);

    /// @brief A target holds a prompt's beginning, by a cache event that may be late.
    void on_cache_hint(base::route_id route, base::target_id target,
                       std::span<const prefix_hash> blocks, base::time_point now);

    /// @brief A VM of another region tells of its capacity.
    void on_region_summary(const region_summary& message, base::time_point now);

    /// @brief What this VM tells VMs of other regions, about once a second.
    [[nodiscard]] region_summary summary(base::time_point now);

    /// @brief Decides about a request that arrives or is tried again.
    [[nodiscard]] decision submit(const request& asked, base::time_point now);

    /// @brief The first token of a dispatched request came.
    void on_first_token(request_id id, base::route_id route, base::nanoseconds latency,
                        base::time_point now);

    /// @brief An attempt at a target ended; a slot is free.
    [[nodiscard]] std::vector<decision> on_attempt_finished(const finished_attempt& attempt,
                                                            base::time_point now);

    /// @brief A forwarded request ended.
    /// @param reached Whether the other VM took it; a region that can't be reached is left alone.
    /// @param transferred Bytes of request and answer on the link.
    void on_forward_finished(request_id id, base::route_id route, bool reached,
                             base::bytes transferred, base::time_point now);

    /// @brief To be called about every 10 ms: queued requests that now go or are given up on.
    [[nodiscard]] std::vector<decision> tick(base::time_point now);

    /// @brief The caller of a queued request went away.
    /// @return Whether it was queued. A dispatched one ends by `on_attempt_finished`.
    bool cancel(request_id id, base::route_id route);

    /// @brief The number of requests that wait in all queues.
    [[nodiscard]] std::size_t queued() const;

private:
    [[nodiscard]] std::shared_ptr<pool> find(base::route_id route) const;
    [[nodiscard]] std::vector<std::shared_ptr<pool>> all() const;

    router_settings m_settings;
    /// Guards the table of pools and the rules only; each pool has a lock of its own.
    mutable std::mutex m_mutex;
    std::unordered_map<base::route_id, std::shared_ptr<pool>> m_pools;
    std::uint32_t m_region_vms = 1;
    std::uint64_t m_sequence = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_ROUTER_HPP
