#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <utility>

// The part of `exchange` that charges a request to its team's quota and refunds it.

namespace chicorylink::front {

scheduling::quota_demand exchange::quota_demand() const
{
    std::optional<std::uint64_t> tokens;
    if (m_prompt) {
        tokens = std::uint64_t{m_prompt->prompt_tokens} + m_prompt->answer_tokens;
    }
    // The team's own priority is the same for all its requests and orders none of them.
    return {static_cast<double>(fleet::units_of(m_resolved.team->limit, tokens)),
            m_resolved.route->priority};
}

std::optional<refusal> exchange::check_quota(base::time_point now)
{
    if (m_request.is_charged_elsewhere() || m_resolved.team == nullptr || m_charged) {
        return std::nullopt;
    }
    const auto demand = quota_demand();
    const auto& team = *m_resolved.team;
    if (m_core.quota.has_room(team, now, demand)) {
        m_quota_charge = m_core.quota.hold_credit(team, demand, now);
        return std::nullopt;
    }
    const bool is_preferred = scheduling::is_preferred(demand, team.limit.burst);
    m_core.counters.add(is_preferred ? "quota_refusals_total{kind=\"urgent\"}"
                                     : "quota_refusals_total{kind=\"less_urgent\"}");
    return refusal{
        too_many_requests_status, "quota",
        retry_delay(m_core.quota.time_until_room(team, now, demand), fleet::retry_jitter::queue)};
}

void exchange::charge_quota(base::time_point now)
{
    if (!m_charged && !m_request.is_charged_elsewhere() && m_resolved.team != nullptr) {
        m_quota_charge = m_core.quota.charge(*m_resolved.team, quota_demand(), m_quota_charge, now);
        if (m_quota_charge.from_credit > 0) {
            m_core.counters.add("quota_credit_units_total", m_quota_charge.from_credit);
        }
    }
    m_charged = true;
}

void exchange::refund_quota(base::time_point now)
{
    // Another attempt that is not over may run the request yet.
    const bool may_have_run = m_history.runs > 0 || m_response_begun ||
                              m_silent_attempt != nullptr || running_call() != nullptr;
    if (may_have_run || m_resolved.team == nullptr) {
        return;
    }
    m_refunded_units =
        m_core.quota.refund(*m_resolved.team, std::exchange(m_quota_charge, {}), now);
    if (m_refunded_units > 0) {
        m_core.counters.add("quota_refunds_total");
        m_core.counters.add("quota_refunded_units_total", m_refunded_units);
    }
}

void exchange::log_quota(base::log_line& line, int status, base::time_point now) const
{
    if (m_refunded_units > 0) {
        line.add("quota_refunded", m_refunded_units);
    }
    if (m_quota_charge.from_credit > 0) {
        line.add("quota_credit", m_quota_charge.from_credit);
    }
    if (status != too_many_requests_status || m_resolved.team == nullptr) {
        return;
    }
    if (const auto state = m_core.quota.state_of(*m_resolved.team, now)) {
        const auto demand = quota_demand();
        line.add("quota_units", demand.units).add("quota_priority", demand.priority);
        line.add("quota_balance", state->balance).add("quota_share", state->share);
        line.add("quota_burst", state->burst).add("quota_per_second", state->per_second);
    }
}

} // namespace chicorylink::front
