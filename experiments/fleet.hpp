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

/// VMs of the system in each region.
inline constexpr std::size_t vms_per_region = 3;

/// @brief One run: the routers of all VMs, the engines and the links, in virtual time.
class fleet {
public:
    fleet(const user& who, const experiment_case& what, routing::policy_function policy,
          std::uint64_t seed);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;

    /// @brief Runs a schedule to its end.
    [[nodiscard]] run_record run(const std::vector<call>& calls);

private:
    struct engine_place;
    struct request_state;

    struct timed {
        base::time_point at{};
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const timed& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void after(base::nanoseconds span, std::function<void()> act);
    void run_until(base::time_point end);
    void start_clocks();
    void poll_engine(std::size_t engine);
    void exchange_summaries(std::size_t vm);
    void tick(std::size_t vm);
    void apply_fault(const fault& one);
    void lose_engine(engine_place& place);
    void return_engine(engine_place& place);
    [[nodiscard]] engine_place& engine_of(std::size_t region, std::size_t engine);
    [[nodiscard]] bool parted(std::size_t a, std::size_t b) const;

    void arrive(std::uint64_t id);
    void submit(std::uint64_t id, std::size_t vm);
    void apply(std::size_t vm, const routing::decision& made);
    void apply(std::size_t vm, const std::vector<routing::decision>& made);
    void dispatch(std::uint64_t id, std::size_t vm, base::target_id target);
    void begin_at_engine(std::uint64_t id, std::uint64_t attempt);
    void forward(std::uint64_t id, std::size_t vm, base::region_id where);
    void return_to_entry(std::uint64_t id);
    void refuse(std::uint64_t id);
    void give_up(std::uint64_t id);
    void end_attempt(std::uint64_t id, routing::attempt_outcome outcome);
    void retry_elsewhere(std::uint64_t id);
    void on_engine_event(engine_place& place, const engine_event& event);
    void watch(engine_place& place);
    void publish_cache(const engine_place& place, const call& asked);
    base::nanoseconds transfer(std::size_t from, std::size_t to, double size);
    [[nodiscard]] base::route_id route_of(const request_state& state) const;
    [[nodiscard]] bool counts(const call& asked) const;
    void note_prefill(const call& asked);

    const user& m_user;
    const experiment_case& m_case;
    std::mt19937_64 m_random;
    base::time_point m_now = epoch;
    std::uint64_t m_order = 0;
    std::priority_queue<timed> m_events;
    std::vector<std::unique_ptr<routing::router>> m_routers;
    std::vector<std::unique_ptr<engine_place>> m_engines;
    std::unordered_map<base::target_id, engine_place*> m_by_id;
    std::vector<std::unique_ptr<request_state>> m_requests;
    std::unordered_map<std::uint64_t, std::uint64_t> m_by_attempt;
    std::array<bool, region_count> m_parted{};
    std::array<std::array<base::time_point, region_count>, region_count> m_link_free{};
    std::unordered_set<routing::prefix_hash> m_seen_blocks;
    std::int64_t m_needed_prefill = 0;
    run_record m_record;
};

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_FLEET_HPP
