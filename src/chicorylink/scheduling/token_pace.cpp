#include "chicorylink/scheduling/token_pace.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorylink::scheduling {
namespace {

/// Time after which a sample has lost two thirds of its weight.
constexpr double recent_window_ms = 1'000;

/// The same for a pace that is slower than the usual one; a faster one counts at once, since it
/// shows what the engine can do.
constexpr double usual_window_ms = 60'000;

/// Without streams for this time, the load of the engine has changed.
constexpr base::milliseconds max_age{3'000};

/// Tokens that take this many times as long as usual come from an engine that reads prompts almost
/// without a pause.
constexpr double slow_factor = 2.0;

/// Shortest time for which a slow period is expected to go on.
constexpr double min_slow_ms = 1'000;

double ms_between(base::time_point from, base::time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void note_tokens(token_pace& pace, std::uint32_t tokens, double elapsed_ms, base::time_point now)
{
    if (tokens == 0) {
        return;
    }
    const double age_ms = std::max(0.0, ms_between(pace.noted_at, now));
    const double kept = std::exp(-age_ms / recent_window_ms);
    pace.recent_tokens = kept * pace.recent_tokens + tokens;
    pace.recent_elapsed_ms = kept * pace.recent_elapsed_ms + elapsed_ms;
    const double recent = recent_ms(pace);
    const double usual_kept =
        pace.usual_ms > 0 && recent > pace.usual_ms ? std::exp(-age_ms / usual_window_ms) : 0;
    pace.usual_ms = usual_kept * pace.usual_ms + (1 - usual_kept) * recent;
    pace.noted_at = std::max(pace.noted_at, now);
    if (recent < slow_factor * pace.usual_ms) {
        pace.slow_since.reset();
    }
    else if (!pace.slow_since) {
        pace.slow_since = now;
    }
}

std::optional<double> decode_time_ms(const token_pace& pace, std::uint32_t tokens,
                                     base::time_point now)
{
    const double recent = recent_ms(pace);
    if (recent <= 0 || now - pace.noted_at > max_age) {
        return std::nullopt;
    }
    const double at_recent_pace = recent * tokens;
    if (!pace.slow_since) {
        return at_recent_pace;
    }
    const double slow_left_ms = std::max(min_slow_ms, ms_between(*pace.slow_since, now));
    if (at_recent_pace <= slow_left_ms) {
        return at_recent_pace;
    }
    const double tokens_left = tokens - slow_left_ms / recent;
    return slow_left_ms + tokens_left * pace.usual_ms;
}

} // namespace chicorylink::scheduling
