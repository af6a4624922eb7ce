#include "chicorylink/scheduling/start_window.hpp"

#include <algorithm>

namespace chicorylink::scheduling {

void begin_window(start_window& window, std::uint32_t slots, base::time_point now)
{
    const double share = static_cast<double>(slots) / first_window_divisor;
    window = {};
    window.first_size = std::max(min_first_window, share);
    window.size = window.first_size;
    window.is_limiting = window.size < static_cast<double>(slots);
    window.begun_at = now;
    window.shrunk_at = now;
}

bool is_filled(const start_window& window, std::uint32_t in_progress)
{
    return window.is_limiting && static_cast<double>(in_progress) + 1 > window.size;
}

double fill_of(const start_window& window, std::uint32_t in_progress)
{
    return window.is_limiting ? static_cast<double>(in_progress) / window.size : 0;
}

bool is_late(double measured_ms, double expected_ms)
{
    return measured_ms > on_time_multiple * expected_ms + on_time_allowance_ms;
}

window_change note_good_response(start_window& window, std::uint32_t slots)
{
    if (!window.is_limiting) {
        return window_change::none;
    }
    window.size += 1;
    if (window.size < static_cast<double>(slots)) {
        return window_change::grown;
    }
    window.is_limiting = false;
    return window_change::full;
}

window_change note_bad_response(start_window& window, base::time_point sent_at,
                                base::time_point now)
{
    if (!window.is_limiting || sent_at < window.shrunk_at) {
        return window_change::none;
    }
    window.size = std::max(window.first_size, window.size / 2);
    window.shrunk_at = now;
    return window_change::shrunk;
}

window_change expire_window(start_window& window, base::time_point now)
{
    if (!window.is_limiting || now - window.begun_at < max_window_time) {
        return window_change::none;
    }
    window.is_limiting = false;
    return window_change::expired;
}

} // namespace chicorylink::scheduling
