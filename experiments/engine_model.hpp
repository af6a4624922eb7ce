#ifndef CHICORYLINK_EXPERIMENTS_ENGINE_MODEL_HPP
#define CHICORYLINK_EXPERIMENTS_ENGINE_MODEL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/load_report.hpp"
#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/rules/route.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicorylink::experiment {

/// @brief The speed and the size of one engine.
struct engine_traits {
    std::uint32_t slots = 16;
    /// Time of one decoding step of an empty batch, and what each request in it adds.
    double step_ms = 18.0;
    double step_ms_per_request = 0.7;
    /// Prompts are worked on one after the other.
    double prefill_tokens_per_ms = 10.0;
    /// Blocks that the prefix cache holds.
    std::size_t cache_blocks = 512;
    /// Multiplies all times.
    double slowness = 1.0;
};

/// @brief One request at an engine.
struct engine_job {
    std::uint64_t id = 0;
    std::vector<routing::prefix_hash> blocks;
    std::int64_t prompt_tokens = 0;
    std::int64_t answer_tokens = 1;
    rules::priority order = rules::priority::normal;
};

/// @brief Something that happened at an engine.
struct engine_event {
    enum class kind { first_token, finished };
    kind what = kind::first_token;
    std::uint64_t id = 0;
    base::time_point at{};
};

/// @brief A model engine in virtual time: continuous batching, serial prefill, a prefix cache.
///
/// All requests that decode advance together, each by one token a step; the step grows with the
/// number of requests. The caller advances it to the time of its next event.
class engine_model {
public:
    explicit engine_model(engine_traits traits);

    void submit(engine_job job, base::time_point now);

    /// @brief Takes a request out, wherever it stands.
    void cancel(std::uint64_t id, base::time_point now);

    /// @brief When something happens next; none while the engine is idle.
    [[nodiscard]] std::optional<base::time_point> next_event() const;

    /// @brief Advances to `now` and returns what happened.
    [[nodiscard]] std::vector<engine_event> advance(base::time_point now);

    /// @brief Ends all work and empties the cache, as a restart does.
    /// @return The requests that were lost.
    std::vector<std::uint64_t> restart(base::time_point now);

    void set_slowness(double factor, base::time_point now);

    [[nodiscard]] routing::load_report report() const;

    /// Sum over requests of the time that they held a slot, as a part of the whole engine.
    [[nodiscard]] double target_seconds() const;
    /// Tokens of prompts that were computed, cached ones left out.
    [[nodiscard]] std::int64_t prefilled_tokens() const { return m_prefilled_tokens; }

private:
    struct running_job {
        engine_job job;
        base::time_point slot_since{};
        /// Steps at which its last token comes; set when decoding begins.
        double finish_step = 0;
        bool decoding = false;
    };

    [[nodiscard]] double step_nanoseconds() const;
    void advance_steps(base::time_point now);
    void fill_slots(base::time_point now);
    void begin_prefill(base::time_point now);
    void release(std::uint64_t id, base::time_point now);
    [[nodiscard]] std::size_t cached_blocks(const std::vector<routing::prefix_hash>& blocks);
    void remember(const std::vector<routing::prefix_hash>& blocks);

    engine_traits m_traits;
    std::array<std::deque<engine_job>, 3> m_waiting;
    std::unordered_map<std::uint64_t, running_job> m_running;
    std::deque<std::uint64_t> m_prefill;
    std::optional<base::time_point> m_prefill_done;
    std::multimap<double, std::uint64_t> m_decoding;
    double m_steps = 0;
    base::time_point m_steps_at{};
    std::list<routing::prefix_hash> m_recency;
    std::unordered_map<routing::prefix_hash, std::list<routing::prefix_hash>::iterator> m_cache;
    double m_slot_seconds = 0;
    std::int64_t m_prefilled_tokens = 0;
};

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_ENGINE_MODEL_HPP
