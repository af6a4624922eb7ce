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

/// @brief The settings of a router.
struct router_settings {
    base::region_id region;
    base::vm_id self;
    base::incarnation process;
    /// Seed of the pseudo-random choices; random in a daemon, fixed in a test.
    std::uint64_t seed = 1;
    /// The routing policy for arriving requests.
    policy_function policy = &choose;
};

/// @brief How an attempt at a target ended.
struct finished_attempt {
    request_id id;
    base::route_id route;
    attempt_outcome outcome = attempt_outcome::succeeded;
    /// From sending the request to the end of the response.
    base::nanoseconds latency{0};
};

/// @brief Routes requests at one VM, with a target pool and a queue for each route.
///
/// Thread-safe: each pool has its own lock and no call blocks on anything else. Decisions are
/// returned for the caller to carry out.
class router {
public:
    explicit router(router_settings settings);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;
    router(router&&) = delete;
    router& operator=(router&&) = delete;

    /// @brief Applies a version of the rules; keeps the state of targets that remain.
    /// @return Decisions about queued requests that the new rules refuse or allow to start.
    [[nodiscard]] std::vector<decision> on_rules(const std::shared_ptr<const rules::rulebook>& book,
                                                 base::time_point now);

    /// @brief Sets the number of live VMs in this region, including this one.
    void on_region_vms(std::uint32_t count);

    [[nodiscard]] std::vector<decision>
    on_target_report(base::target_id target, const load_report& report, base::time_point now);
    /// @brief Handles a live or leaving target, by the platform's list or a refused command.
    void on_target_state(base::target_id target, target_availability state, base::time_point now);

    /// @brief Handles a cache event, possibly late: a target caches a prompt prefix.
    void on_cache_hint(base::route_id route, base::target_id target,
                       std::span<const prefix_hash> blocks, base::time_point now);

    /// @brief Handles a capacity summary from a VM of another region.
    void on_region_summary(const region_summary& message, base::time_point now);

    /// @brief Creates the summary for VMs of other regions, sent about once per second.
    [[nodiscard]] region_summary summary(base::time_point now);

    /// @brief Routes a request that arrives or is retried.
    [[nodiscard]] decision submit(const request& req, base::time_point now);

    /// @brief Handles the first token of a dispatched request.
    void on_first_token(request_id id, base::route_id route, base::nanoseconds latency,
                        base::time_point now);

    /// @brief Handles the end of an attempt at a target, which frees a slot.
    [[nodiscard]] std::vector<decision> on_attempt_finished(const finished_attempt& attempt,
                                                            base::time_point now);

    /// @brief Handles the end of a forwarded request.
    /// @param reached Whether the other VM accepted it; an unreachable region is avoided for a
    /// while.
    /// @param transferred Bytes of the request and response on the link.
    void on_forward_finished(request_id id, base::route_id route, bool reached,
                             base::bytes transferred, base::time_point now);

    /// @brief Dispatches, forwards or refuses queued requests; call about every 10 ms.
    [[nodiscard]] std::vector<decision> tick(base::time_point now);

    /// @brief Removes a queued request whose caller disconnected.
    /// @return Whether it was queued. A dispatched request ends with `on_attempt_finished`.
    bool cancel(request_id id, base::route_id route);

    /// @brief The number of requests waiting in all queues.
    [[nodiscard]] std::size_t queued() const;

private:
    [[nodiscard]] std::shared_ptr<pool> find(base::route_id route) const;
    [[nodiscard]] std::vector<std::shared_ptr<pool>> all_pools() const;

    router_settings m_settings;
    /// Guards only the table of pools and the rules; each pool has its own lock.
    mutable std::mutex m_mutex;
    std::unordered_map<base::route_id, std::shared_ptr<pool>> m_pools;
    std::uint32_t m_region_vms = 1;
    std::uint64_t m_sequence = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_ROUTER_HPP
