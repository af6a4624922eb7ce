#ifndef CHICORYLINK_EXPERIMENTS_FLEET_HPP
#define CHICORYLINK_EXPERIMENTS_FLEET_HPP

#include "cases.hpp"
#include "chicorylink/routing/choose.hpp"
#include "chicorylink/routing/router.hpp"
#include "engine_model.hpp"
#include "measures.hpp"
#include "workload.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicorylink::experiment {

/// Gateway VMs in each region.
inline constexpr std::size_t vms_per_region = 3;

/// @brief Simulates the routers of all VMs, the engines and the links in virtual time.
class fleet {
public:
    fleet(const user& profile, const experiment_case& test_case, routing::policy_function policy,
          std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// @brief Runs a schedule of calls to its end.
    [[nodiscard]] run_record run(const std::vector<call>& calls);

private:
    struct simulated_backend;
    struct request_state;

    struct timed_event {
        base::time_point at{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const timed_event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void schedule_after(base::nanoseconds delay, std::function<void()> action);
    void run_until(base::time_point end);
    void start_timers();
    void poll_engine(std::size_t engine);
    void send_summaries(std::size_t vm);
    void tick(std::size_t vm);
    void apply_fault(const fault& one);
    void crash_engine(simulated_backend& backend);
    void recover_engine(simulated_backend& backend);
    [[nodiscard]] simulated_backend& engine_of(std::size_t region, std::size_t engine);
    [[nodiscard]] bool partitioned(std::size_t a, std::size_t b) const;

    void arrive(std::uint64_t id);
    void submit(std::uint64_t id, std::size_t vm);
    void apply(std::size_t vm, const routing::decision& routed);
    void apply(std::size_t vm, const std::vector<routing::decision>& decisions);
    void dispatch(std::uint64_t id, std::size_t vm, base::target_id target);
    void start_at_backend(std::uint64_t id, std::uint64_t attempt);
    void forward(std::uint64_t id, std::size_t vm, base::region_id where);
    void return_to_entry(std::uint64_t id);
    void refuse(std::uint64_t id);
    void time_out(std::uint64_t id);
    void end_attempt(std::uint64_t id, routing::attempt_outcome outcome);
    void retry_elsewhere(std::uint64_t id);
    void on_engine_event(simulated_backend& backend, const engine_event& event);
    void schedule_next_event(simulated_backend& backend);
    void publish_cache(const simulated_backend& backend, const call& scheduled);
    base::nanoseconds transfer(std::size_t from, std::size_t to, double size);
    [[nodiscard]] base::route_id route_of(const request_state& state) const;
    [[nodiscard]] bool is_measured(const call& scheduled) const;
    void record_needed_prefill(const call& scheduled);

    const user& m_user;
    const experiment_case& m_case;
    std::mt19937_64 m_random;
    base::time_point m_now = epoch;
    std::uint64_t m_sequence = 0;
    std::priority_queue<timed_event> m_events;
    std::vector<std::unique_ptr<routing::router>> m_routers;
    std::vector<std::unique_ptr<simulated_backend>> m_backends;
    std::unordered_map<base::target_id, simulated_backend*> m_backends_by_id;
    std::vector<std::unique_ptr<request_state>> m_requests;
    std::unordered_map<std::uint64_t, std::uint64_t> m_requests_by_attempt;
    std::array<bool, region_count> m_partitioned{};
    std::array<std::array<base::time_point, region_count>, region_count> m_link_free_at{};
    std::unordered_set<routing::prefix_hash> m_seen_blocks;
    std::int64_t m_needed_prefill = 0;
    run_record m_record;
};

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_FLEET_HPP
