#include "chicorylink/scheduling/prefill_budget.hpp"

#include <algorithm>
#include <chrono>

namespace chicorylink::scheduling {
namespace {

/// Share of an engine's time for prompts. The rest lets streams of a thousand tokens end within the
/// deadlines of their callers, who get nothing from a stream that is cut.
constexpr double prefill_share = 0.85;

/// Reading beyond the share that delays no stream by more than a pause between two events may last.
constexpr double burst_ms = 500;

double served_tokens(const prefill_budget& budget, double tokens_per_ms, base::time_point now)
{
    const auto elapsed = std::max(now - budget.served_at, base::time_point::duration{0});
    return std::chrono::duration<double, std::milli>(elapsed).count() * tokens_per_ms *
           prefill_share;
}

} // namespace

void serve(prefill_budget& budget, double tokens_per_ms, base::time_point now)
{
    const double served = served_tokens(budget, tokens_per_ms, now);
    for (auto& tokens : budget.backlog) {
        tokens = std::max(0.0, tokens - served);
    }
    budget.served_at = std::max(budget.served_at, now);
}

void place(prefill_budget& budget, std::uint32_t unread_tokens, std::uint8_t urgency)
{
    for (std::size_t level = urgency; level < urgency_levels; ++level) {
        budget.backlog.at(level) += unread_tokens;
    }
}

void cancel(prefill_budget& budget, std::uint32_t unread_tokens, std::uint8_t urgency)
{
    for (std::size_t level = urgency; level < urgency_levels; ++level) {
        budget.backlog.at(level) = std::max(0.0, budget.backlog.at(level) - unread_tokens);
    }
}

double wait_ms(const prefill_budget& budget, std::uint8_t urgency, double tokens_per_ms,
               base::time_point now)
{
    const auto level = std::min<std::size_t>(urgency, urgency_levels - 1);
    const double left =
        std::max(0.0, budget.backlog.at(level) - served_tokens(budget, tokens_per_ms, now));
    return std::max(0.0, left / (tokens_per_ms * prefill_share) - burst_ms);
}

} // namespace chicorylink::scheduling
