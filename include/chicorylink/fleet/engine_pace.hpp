#ifndef CHICORYLINK_FLEET_ENGINE_PACE_HPP
#define CHICORYLINK_FLEET_ENGINE_PACE_HPP

#include "chicorylink/base/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace chicorylink::fleet {

/// @brief How fast the engines of a service begin their answers.
struct engine_pace {
    /// Prompt tokens that an engine reads in a millisecond, while others' answers run there. The
    /// default counts until it was measured.
    double tokens_per_ms = 60.0;
    /// Milliseconds from the end of a prompt to its first token.
    double first_token_ms = 36.0;

    [[nodiscard]] double reading_ms(double tokens) const { return tokens / tokens_per_ms; }

    friend bool operator==(const engine_pace&, const engine_pace&) = default;
};

/// What is measured is taken within these bounds: far slower and far faster than known engines.
inline constexpr double least_tokens_per_ms = 2.0;
inline constexpr double most_tokens_per_ms = 2000.0;
inline constexpr double most_first_token_ms = 1000.0;

/// @brief Measures the pace of a service's engines by requests that began.
///
/// Requests are kept by length, each length a factor of four from the next: rare long prompts count
/// as much as frequent short ones. Stalls, cold engines and parts that were evicted unnoticed only
/// make a request seem slow, so the faster quarter of the requests tells the pace.
class pace_meter {
public:
    /// The newest requests of a length that count. Few enough to follow a release of the engines.
    static constexpr std::size_t window = 32;
    /// Requests before anything is concluded.
    static constexpr std::size_t fewest = 8;
    /// Older ones may be of engines that were replaced since.
    static constexpr base::milliseconds memory{30'000};

    /// @param tokens The request's unread tokens and those that stood before it.
    /// @param took From the send to the first token.
    void note_begun(std::uint64_t tokens, base::milliseconds took, base::time_point now);

    /// @brief None until enough requests of different lengths began.
    [[nodiscard]] const std::optional<engine_pace>& measured() const { return m_measured; }

private:
    struct sample {
        double tokens = 0;
        double took_ms = 0;
        base::time_point at{};
    };
    struct length_class {
        std::vector<sample> samples;
        std::size_t next = 0;
    };
    /// Lengths up to four million tokens.
    static constexpr std::size_t length_classes = 11;

    void measure(base::time_point now);

    std::array<length_class, length_classes> m_lengths;
    std::optional<engine_pace> m_measured;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_ENGINE_PACE_HPP
