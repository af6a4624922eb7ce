#ifndef CHICORYLINK_SCHEDULING_START_WINDOW_HPP
#define CHICORYLINK_SCHEDULING_START_WINDOW_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::scheduling {

/// @brief A window ends after this time, however many responses came: a target that gets few
/// requests can't grow it.
inline constexpr base::milliseconds max_window_time{10'000};

/// @brief A response that begins within this multiple of its expected time, and the allowance for
/// the network and a batch step, lets the window grow. Interference is up to 2.5 times as long.
inline constexpr double on_time_multiple = 3.0;
inline constexpr double on_time_allowance_ms = 30.0;

/// @brief The part of a target's slots that a window begins with, and the least requests.
inline constexpr std::uint32_t first_window_divisor = 16;
inline constexpr double min_first_window = 2;

/// @brief The limit on the requests in progress at a target that starts or returns.
struct start_window {
    bool is_limiting = false;
    /// The limit, and the one that it began with.
    double size = 0;
    double first_size = 0;
    base::time_point begun_at{};
    /// Requests sent before this moment were counted when the window shrank.
    base::time_point shrunk_at{};
};

/// @brief How a window changed.
enum class window_change : std::uint8_t {
    none,
    grown,
    shrunk,
    /// It has reached the target's slots.
    full,
    /// Its time is up.
    expired,
};

/// @brief Begins a window for a target with a number of slots.
void begin_window(start_window& window, std::uint32_t slots, base::time_point now);

/// @brief Whether requests in progress reach the limit.
[[nodiscard]] bool is_filled(const start_window& window, std::uint32_t in_progress);

/// @brief The part of a window that is in use.
[[nodiscard]] double fill_of(const start_window& window, std::uint32_t in_progress);

/// @brief Whether a response that takes this long has missed its expected time.
[[nodiscard]] bool is_late(double measured_ms, double expected_ms);

/// @brief A response began in time: each one adds one request, so that a window of them doubles it.
window_change note_good_response(start_window& window, std::uint32_t slots);

/// @brief A request failed, or its response is late: halves the window, but not below its first
/// size. Requests that were sent before it shrank don't shrink it again.
window_change note_bad_response(start_window& window, base::time_point sent_at,
                                base::time_point now);

/// @brief Ends a window whose time is up.
window_change expire_window(start_window& window, base::time_point now);

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_START_WINDOW_HPP
