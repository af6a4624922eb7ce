#include "chicorylink/scheduling/prefix_transfer.hpp"

#include <algorithm>

namespace chicorylink::scheduling {
namespace {

/// Time to set up one transfer between two engines.
constexpr double setup_ms = 8;

/// A shorter prefix is read while its transfer would still be set up.
constexpr std::uint32_t min_fetched_tokens = 256;

} // namespace

prefix_plan plan_prefix(const prefix_request& request, const prefix_rates& rates)
{
    const auto own = std::min(request.own_tokens, request.prompt_tokens);
    prefix_plan reading;
    reading.unread_tokens = request.prompt_tokens - own;
    reading.ready_ms = request.queue_wait_ms +
                       static_cast<double>(reading.unread_tokens) / rates.read_tokens_per_ms;
    const auto held = std::min(request.holder_tokens, request.prompt_tokens);
    if (rates.fetch_tokens_per_ms <= 0 || held < own + min_fetched_tokens) {
        return reading;
    }
    prefix_plan fetching;
    fetching.is_fetched = true;
    fetching.unread_tokens = request.prompt_tokens - held;
    fetching.link_ms = setup_ms + static_cast<double>(held - own) / rates.fetch_tokens_per_ms;
    fetching.transfer_ms = request.link_wait_ms + fetching.link_ms;
    fetching.ready_ms = std::max(request.queue_wait_ms, fetching.transfer_ms) +
                        static_cast<double>(fetching.unread_tokens) / rates.read_tokens_per_ms;
    return fetching.ready_ms <= reading.ready_ms ? fetching : reading;
}

} // namespace chicorylink::scheduling
