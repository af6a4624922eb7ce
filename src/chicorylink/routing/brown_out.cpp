#include "chicorylink/routing/brown_out.hpp"

#include "chicorylink/routing/request.hpp"

#include <algorithm>

namespace chicorylink::routing {
namespace {

/// Weights are in hundredths.
constexpr double neutral_weight = 100.0;

/// The part of the time left at which each further level begins, as a multiple of the first.
constexpr double second_level = 1.25;
constexpr double third_level = 1.5;

} // namespace

brown_out_level level_of(base::milliseconds queue_delay, base::milliseconds time_left,
                         const rules::policy& weights)
{
    if (queue_delay <= base::milliseconds{0}) {
        return brown_out_level::none;
    }
    const auto patience = std::max(weights.refusal_weight / neutral_weight, 1.0);
    const auto first =
        static_cast<double>(time_left.count()) * std::min(1.0, shedding_starts_at * patience);
    const auto delay = static_cast<double>(queue_delay.count());
    if (delay < first) {
        return brown_out_level::none;
    }
    if (delay < first * second_level) {
        return brown_out_level::low_long;
    }
    return delay < first * third_level ? brown_out_level::low : brown_out_level::normal_long;
}

bool sheds(brown_out_level level, const request& asked)
{
    const auto is_long = asked.answer_tokens > long_answer;
    switch (asked.order) {
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
