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

/// @brief Speed and capacity of one engine.
struct engine_traits {
    std::uint32_t slots = 16;
    /// Duration of a decoding step with an empty batch, and the addition for each request.
    double step_ms = 18.0;
    double step_ms_per_request = 0.7;
    /// Prompts are prefilled one after the other.
    double prefill_tokens_per_ms = 10.0;
    /// Capacity of the prefix cache, in blocks.
    std::size_t cache_blocks = 512;
    /// Multiplies all times.
    double slowdown = 1.0;
};

/// @brief One request at an engine.
struct engine_job {
    std::uint64_t id = 0;
    std::vector<routing::prefix_hash> blocks;
    std::int64_t prompt_tokens = 0;
    std::int64_t answer_tokens = 1;
    rules::priority order = rules::priority::normal;
};

/// @brief The first token or the end of a request at an engine.
struct engine_event {
    enum class kind { first_token, finished };
    kind type = kind::first_token;
    std::uint64_t id = 0;
    base::time_point at{};
};

/// @brief A model engine in virtual time: continuous batching, serial prefill, a prefix cache.
///
/// Each step decodes one token for every decoding request; a step takes longer with more requests.
/// The caller advances the model to the time of its next event.
class engine_model {
public:
    explicit engine_model(engine_traits traits);

    void submit(engine_job job, base::time_point now);

    /// @brief Removes a request, whether it waits, prefills or decodes.
    void cancel(std::uint64_t id, base::time_point now);

    /// @brief Time of the next event; none while the engine is idle.
    [[nodiscard]] std::optional<base::time_point> next_event() const;

    /// @brief Advances to `now`.
    /// @return The events since the last call.
    [[nodiscard]] std::vector<engine_event> advance(base::time_point now);

    /// @brief Drops all requests and empties the cache.
    /// @return The requests that were lost.
    std::vector<std::uint64_t> restart(base::time_point now);

    void set_slowdown(double factor, base::time_point now);

    [[nodiscard]] routing::load_report report() const;

    /// Total time that requests occupied slots, divided by the number of slots, in seconds.
    [[nodiscard]] double target_seconds() const;
    /// Prompt tokens that were computed, without those found in the cache.
    [[nodiscard]] std::int64_t prefilled_tokens() const { return m_prefilled_tokens; }

private:
    struct running_job {
        engine_job job;
        base::time_point slot_since{};
        /// Step that produces its last token; set when decoding begins.
        double finish_step = 0;
        bool decoding = false;
    };

    [[nodiscard]] double step_nanoseconds() const;
    void advance_steps(base::time_point now);
    void fill_slots(base::time_point now);
    void begin_prefill(base::time_point now);
    void release(std::uint64_t id, base::time_point now);
    [[nodiscard]] std::size_t touch_cached_blocks(const std::vector<routing::prefix_hash>& blocks);
    void add_to_cache(const std::vector<routing::prefix_hash>& blocks);

    engine_traits m_traits;
    std::array<std::deque<engine_job>, 3> m_waiting;
    std::unordered_map<std::uint64_t, running_job> m_running;
    std::deque<std::uint64_t> m_prefill;
    std::optional<base::time_point> m_prefill_done;
    std::multimap<double, std::uint64_t> m_decoding;
    double m_steps = 0;
    base::time_point m_steps_updated_at{};
    std::list<routing::prefix_hash> m_lru_blocks;
    std::unordered_map<routing::prefix_hash, std::list<routing::prefix_hash>::iterator> m_cache;
    double m_slot_seconds = 0;
    std::int64_t m_prefilled_tokens = 0;
};

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_ENGINE_MODEL_HPP
