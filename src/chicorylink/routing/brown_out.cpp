#include "chicorylink/routing/brown_out.hpp"

#include "chicorylink/routing/request.hpp"

#include <algorithm>

namespace chicorylink::routing {
namespace {

/// Policy weights are in hundredths; 100 is neutral.
constexpr double neutral_weight = 100.0;

/// Thresholds of the further levels, as multiples of the first threshold.
constexpr double second_level = 1.25;
constexpr double third_level = 1.5;

} // namespace

brown_out_level level_of(base::milliseconds queue_delay, base::milliseconds time_left,
                         const rules::policy& weights)
{
    if (queue_delay <= base::milliseconds{0}) {
        return brown_out_level::none;
    }
    const auto delay_factor = std::max(weights.refusal_weight / neutral_weight, 1.0);
    const auto first =
        static_cast<double>(time_left.count()) * std::min(1.0, shedding_starts_at * delay_factor);
    const auto delay = static_cast<double>(queue_delay.count());
    if (delay < first) {
        return brown_out_level::none;
    }
    if (delay < first * second_level) {
        return brown_out_level::low_long;
    }
    return delay < first * third_level ? brown_out_level::low : brown_out_level::normal_long;
}

bool sheds(brown_out_level level, const request& req)
{
    const auto is_long = req.answer_tokens > long_response;
    switch (req.order) {
    case rules::priority::high:
        return false;
    case rules::priority::normal:
        return level >= brown_out_level::normal_long && is_long;
    case rules::priority::low:
        return level >= brown_out_level::low || (level >= brown_out_level::low_long && is_long);
    }
    return false;
}

} // namespace chicorylink::routing
