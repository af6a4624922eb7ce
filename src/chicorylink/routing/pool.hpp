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

/// The least time that a refusal names.
inline constexpr base::milliseconds least_retry{50};

/// @brief One route at one VM: targets, queue and what is in flight, under one lock.
class pool {
public:
    pool(const router_settings& settings, base::route_id route);

    std::vector<decision> on_rules(const std::shared_ptr<const rules::rulebook>& book,
                                   std::uint32_t sharers, base::time_point now);
    void on_region_vms(std::uint32_t sharers);
    std::vector<decision> on_target_report(base::target_id target, const load_report& report,
                                           base::time_point now);
    void on_target_state(base::target_id target, target_availability state, base::time_point now);
    void on_cache_hint(base::target_id target, std::span<const prefix_hash> blocks,
                       base::time_point now);
    void on_region_summary(base::region_id region, const route_summary& entry,
                           base::time_point now);
    [[nodiscard]] route_summary summary(base::time_point now);
    decision submit(const request& asked, base::time_point now);
    void on_first_token(request_id id, base::nanoseconds latency, base::time_point now);
    std::vector<decision> on_attempt_finished(const finished_attempt& attempt,
                                              base::time_point now);
    void on_forward_finished(request_id id, bool reached, base::bytes transferred,
                             base::time_point now);
    std::vector<decision> tick(base::time_point now);
    bool cancel(request_id id);
    [[nodiscard]] std::size_t queued() const;

private:
    /// A request at a target.
    struct flight {
        base::target_id target;
        base::team_id team;
        base::tokens work;
        /// Tokens of the prompt that the target is believed not to hold.
        base::tokens cold_prompt;
        bool answered = false;
    };

    /// What is in flight of one team.
    struct team_use {
        std::uint32_t in_flight = 0;
        std::uint32_t weight = 1;
    };

    [[nodiscard]] target_state* find(base::target_id id);
    [[nodiscard]] std::size_t index_of(base::target_id id) const;
    [[nodiscard]] const rules::team* team_of(const request& asked) const;
    [[nodiscard]] bool over_share(base::team_id who, std::uint32_t weight,
                                  const pool_capacity& capacity) const;
    [[nodiscard]] bool may_begin(const request& asked, const pool_capacity& capacity) const;
    [[nodiscard]] double fallback_rate(const pool_capacity& capacity) const;
    [[nodiscard]] base::milliseconds needed_time(const request& asked) const;
    [[nodiscard]] bool must_wait(const request& asked, const pool_capacity& capacity) const;
    [[nodiscard]] decision refuse(const request& asked, refusal_reason reason,
                                  base::milliseconds retry_after) const;
    decision dispatch(const request& asked, const choice& made, base::time_point now);
    decision enqueue(const request& asked, const rules::team& who, base::time_point now);
    decision forward(const request& asked, base::region_id where, base::time_point now);
    void take_expired(std::vector<decision>& made, base::time_point now);
    void take_forwards(std::vector<decision>& made, base::time_point now);
    [[nodiscard]] bool serves() const;
    void refuse_all(std::vector<decision>& made);
    void end_spilling(base::time_point now);
    void drain(std::vector<decision>& made, base::time_point now);
    void learn_prefill_pace(base::tokens cold, base::nanoseconds latency);
    void end_flight(request_id id);
    std::uint64_t random_bits();

    mutable std::mutex m_mutex;
    router_settings m_settings;
    region_state m_state;
    admission_queue m_queue;
    std::shared_ptr<const rules::rulebook> m_book;
    /// Stands for callers without a key on a route that is open to all.
    rules::team m_anyone;
    bool m_open_to_all = false;
    std::unordered_map<request_id, flight> m_flights;
    std::unordered_map<request_id, base::region_id> m_forwards;
    std::unordered_map<base::team_id, team_use> m_teams;
    /// Smoothed time of a request at a target.
    double m_service_ms;
    std::uint64_t m_random;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_POOL_HPP
