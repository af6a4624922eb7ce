#ifndef CHICORYLINK_SCHEDULING_TOKEN_PACE_HPP
#define CHICORYLINK_SCHEDULING_TOKEN_PACE_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::scheduling {

/// @brief How long running streams wait for a token at one engine.
struct token_pace {
    /// Tokens of the last second or two and the milliseconds that streams waited for them.
    double recent_tokens = 0;
    double recent_elapsed_ms = 0;
    /// Milliseconds a token while the engine reads few prompts; 0 while unknown.
    double usual_ms = 0;
    base::time_point noted_at{};
    /// Since when tokens take far longer than usual.
    std::optional<base::time_point> slow_since;
};

/// @brief Milliseconds a token of the last second or two; 0 while unknown.
[[nodiscard]] inline double recent_ms(const token_pace& pace)
{
    return pace.recent_tokens > 0 ? pace.recent_elapsed_ms / pace.recent_tokens : 0;
}

/// @brief Records tokens of running streams.
/// @param elapsed_ms Milliseconds from the event before them to their own, over all streams.
void note_tokens(token_pace& pace, std::uint32_t tokens, double elapsed_ms, base::time_point now);

/// @brief Milliseconds from the first token of a stream to its last; none while the pace is unknown
/// or too old to tell.
///
/// A slow period is expected to last for as long again as it has lasted; the rest of the stream
/// comes at the usual pace.
[[nodiscard]] std::optional<double> decode_time_ms(const token_pace& pace, std::uint32_t tokens,
                                                   base::time_point now);

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_TOKEN_PACE_HPP
