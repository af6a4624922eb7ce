#ifndef CHICORYLINK_SCHEDULING_TARGET_SPEED_HPP
#define CHICORYLINK_SCHEDULING_TARGET_SPEED_HPP

#include "chicorylink/base/units.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace chicorylink::scheduling {

/// @brief Bounds of each factor by which a target's times may differ from the usual ones.
inline constexpr double min_time_factor = 0.25;
inline constexpr double max_time_factor = 4.0;

/// @brief What a target states about its times is valid for this long; it changes many times a
/// second.
inline constexpr base::milliseconds max_statement_age{500};

/// @brief Learned samples are valid for this long, so that a target that gets little work because
/// it was slow is tried again. An overload, during which nothing is learned, is shorter.
inline constexpr base::milliseconds max_speed_sample_age{300'000};

/// @brief Number of the newest samples that a target's factor is learned from.
inline constexpr std::size_t max_speed_samples = 32;

/// @brief Samples that a target needs before its factor departs from 1.
inline constexpr std::size_t min_speed_samples = 8;

/// @brief Learned factors that differ from 1 by less than this count as 1: the quantile of 32
/// samples of equal targets varies by about 5%.
inline constexpr double speed_dead_band = 0.1;

/// @brief A target is reported as slow from the first of these learned factors on, until it falls
/// below the second.
inline constexpr double slow_factor = 1.4;
inline constexpr double recovered_factor = 1.2;

/// @brief The ratio of a measured time to the expected one.
struct speed_sample {
    double ratio = 0;
    base::time_point measured_at{};
};

/// @brief What is known about how long work takes at one target.
struct target_speed {
    /// The factor that the target stated, clamped, and when.
    double stated = 1;
    std::optional<base::time_point> stated_at;
    /// The newest samples, as a ring; `next_sample` is overwritten next.
    std::array<speed_sample, max_speed_samples> samples{};
    std::size_t next_sample = 0;
    /// The low quantile of the samples that were valid when the last one was taken, and their
    /// number.
    double low = 0;
    std::size_t valid_samples = 0;
    /// Times at this target relative to those of its service, learned from the samples; and when
    /// the last of them was taken.
    double learned = 1;
    base::time_point learned_at{};
    /// Whether the target was reported as slow.
    bool is_slow = false;
};

/// @brief A request whose response has begun, for comparing its time with the expected one.
struct measured_start {
    /// The expected time at usual speed, and how much of it was spent waiting.
    double expected_ms = 0;
    double expected_wait_ms = 0;
    double measured_ms = 0;
    /// What the target stated when the request was placed and when its response began.
    std::optional<double> stated_before;
    std::optional<double> stated_after;
};

/// @brief Records what a target stated: 100 means that work takes as long as usual.
/// @return Whether it is newer than what was known, and recent.
bool note_statement(target_speed& speed, double percent, base::time_point stated_at,
                    base::time_point now);

/// @brief The factor that a target stated; none if the statement has expired.
[[nodiscard]] std::optional<double> stated_factor(const target_speed& speed, base::time_point now);

/// @brief The ratio of a measured time to the expected one, without what the target stated.
/// @return None if the time says little about the target's speed: the request had to wait, or the
/// stated factor changed meanwhile.
[[nodiscard]] std::optional<double> start_ratio(const measured_start& start);

/// @brief Adds a sample.
void add_sample(target_speed& speed, double ratio, base::time_point now);

/// @brief A low quantile of the valid samples: evicted prompt parts only lengthen times.
/// @return None with too few samples.
[[nodiscard]] std::optional<double> low_ratio(const target_speed& speed, base::time_point now);

/// @brief The ratio that counts as usual for a service: the median of its targets' low ratios.
[[nodiscard]] double usual_ratio(std::vector<double> low_ratios);

/// @brief Updates a target's learned factor.
/// @param usual The ratio that counts as usual for the service.
/// @return Whether the target has become noticeably slow, or is no longer.
bool update_learned(target_speed& speed, double usual, base::time_point now);

/// @brief Factor for the expected times of a target: 1 if nothing is known.
[[nodiscard]] double time_factor(const target_speed& speed, base::time_point now);

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_TARGET_SPEED_HPP
