#ifndef CHICORYLINK_SCHEDULING_PREFILL_BUDGET_HPP
#define CHICORYLINK_SCHEDULING_PREFILL_BUDGET_HPP

#include "chicorylink/base/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace chicorylink::scheduling {

/// Number of urgency levels; an engine reads prompts with the lowest number first.
inline constexpr std::size_t urgency_levels = 10;

/// @brief The part of an engine's time that is left to reading prompts, as a virtual queue.
///
/// An engine reads prompts between the tokens of its running streams. While it reads without a
/// pause, a token takes several times as long, and streams reach their deadlines before their ends.
/// The virtual queue is served at a share of the engine's speed, so that admission by its wait
/// keeps the rest of the time for tokens.
struct prefill_budget {
    /// Prompt tokens placed and not served by the virtual queue, for each urgency those of all
    /// levels that go before it and its own.
    std::array<double, urgency_levels> backlog{};
    base::time_point served_at{};
};

/// @brief Serves the virtual queue up to now.
/// @param tokens_per_ms Speed at which the engine reads while it does nothing else.
void serve(prefill_budget& budget, double tokens_per_ms, base::time_point now);

/// @brief Counts a prompt that is placed at the engine.
void place(prefill_budget& budget, std::uint32_t unread_tokens, std::uint8_t urgency);

/// @brief Takes back a prompt that ended before the engine read it.
void cancel(prefill_budget& budget, std::uint32_t unread_tokens, std::uint8_t urgency);

/// @brief Milliseconds that a new prompt waits in the virtual queue; none for a short burst.
[[nodiscard]] double wait_ms(const prefill_budget& budget, std::uint8_t urgency,
                             double tokens_per_ms, base::time_point now);

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_PREFILL_BUDGET_HPP
