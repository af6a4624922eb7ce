#ifndef CHICORYLINK_ROUTING_POOL_HPP
#define CHICORYLINK_ROUTING_POOL_HPP

#include "chicorylink/routing/admission_queue.hpp"
#include "chicorylink/routing/choose.hpp"
#include "chicorylink/routing/region_state.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/route.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::routing {

/// The shortest nonzero `retry_after` of a refusal.
inline constexpr base::milliseconds min_retry_after{50};

/// @brief One route at one VM: its targets, queue and in-flight requests, under one lock.
class pool {
public:
    pool(const router_settings& settings, base::route_id route);

    std::vector<decision> on_rules(const std::shared_ptr<const rules::rulebook>& book,
                                   std::uint32_t vm_count, base::time_point now);
    void on_region_vms(std::uint32_t vm_count);
    std::vector<decision> on_target_report(base::target_id target, const load_report& report,
                                           base::time_point now);
    void on_target_state(base::target_id target, target_availability state, base::time_point now);
    void on_cache_hint(base::target_id target, std::span<const prefix_hash> blocks,
                       base::time_point now);
    void on_region_summary(base::region_id region, const route_summary& entry,
                           base::time_point now);
    [[nodiscard]] route_summary summary(base::time_point now);
    decision submit(const request& req, base::time_point now);
    void on_first_token(request_id id, base::nanoseconds latency, base::time_point now);
    std::vector<decision> on_attempt_finished(const finished_attempt& attempt,
                                              base::time_point now);
    void on_forward_finished(request_id id, bool reached, base::bytes transferred,
                             base::time_point now);
    std::vector<decision> tick(base::time_point now);
    bool cancel(request_id id);
    [[nodiscard]] std::size_t queued() const;

private:
    /// A request that was sent to a target.
    struct in_flight_request {
        base::target_id target;
        base::team_id team;
        base::tokens work;
        /// Prompt tokens that are probably not cached at the target.
        base::tokens uncached_prompt;
        bool first_token_seen = false;
    };

    /// The in-flight requests of one team.
    struct team_use {
        std::uint32_t in_flight = 0;
        std::uint32_t weight = 1;
    };

    [[nodiscard]] target_state* find(base::target_id id);
    [[nodiscard]] std::size_t index_of(base::target_id id) const;
    [[nodiscard]] const rules::team* team_of(const request& req) const;
    [[nodiscard]] bool exceeds_share(base::team_id team, std::uint32_t weight,
                                     const pool_capacity& capacity) const;
    [[nodiscard]] bool may_start(const request& req, const pool_capacity& capacity) const;
    [[nodiscard]] double fallback_rate(const pool_capacity& capacity) const;
    [[nodiscard]] base::milliseconds expected_prefill_time(const request& req) const;
    [[nodiscard]] bool must_wait(const request& req, const pool_capacity& capacity) const;
    [[nodiscard]] decision refuse(const request& req, refusal_reason reason,
                                  base::milliseconds retry_after) const;
    decision dispatch(const request& req, const choice& selected, base::time_point now);
    decision enqueue(const request& req, const rules::team& team, base::time_point now);
    decision forward(const request& req, base::region_id destination, base::time_point now);
    void take_expired(std::vector<decision>& decisions, base::time_point now);
    void forward_queued(std::vector<decision>& decisions, base::time_point now);
    [[nodiscard]] bool has_live_target() const;
    void refuse_all(std::vector<decision>& decisions);
    void end_forwarding(base::time_point now);
    void drain(std::vector<decision>& decisions, base::time_point now);
    void update_prefill_pace(base::tokens uncached, base::nanoseconds latency);
    void remove_in_flight(request_id id);
    std::uint64_t random_bits();

    mutable std::mutex m_mutex;
    router_settings m_settings;
    region_state m_state;
    admission_queue m_queue;
    std::shared_ptr<const rules::rulebook> m_book;
    /// The team used for callers without a key on a route that is open to all.
    rules::team m_keyless_team;
    bool m_open_to_all = false;
    std::unordered_map<request_id, in_flight_request> m_in_flight;
    std::unordered_map<request_id, base::region_id> m_forwards;
    std::unordered_map<base::team_id, team_use> m_teams;
    /// Smoothed duration of a request at a target, in milliseconds.
    double m_service_ms;
    std::uint64_t m_random;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_POOL_HPP
