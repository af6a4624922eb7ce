#include "chicorylink/dispatch/ticket_table.hpp"

#include <utility>

namespace chicorylink::dispatch {
namespace {

/// Tickets issued within this time share one reservation entry.
constexpr base::milliseconds reservation_step{1'000};

const ticket_decision forgotten_decision{ticket_verdict::forgotten, outcome::unknown, nullptr};

ticket_decision decide_on_refusal(const ticket_record& record)
{
    switch (record.state) {
    case ticket_state::voided:
        return {ticket_verdict::voided, outcome::not_run, nullptr};
    case ticket_state::in_progress:
        return {ticket_verdict::in_progress, outcome::unknown, nullptr};
    case ticket_state::done:
        return {ticket_verdict::answered, outcome::ran, record.response};
    case ticket_state::uncertain:
        break;
    }
    return {ticket_verdict::uncertain, outcome::unknown, nullptr};
}

} // namespace

ticket_table::ticket_table(const ticket_settings& settings) : m_settings(settings) {}

base::result<ticket> ticket_table::issue(base::team_id team, base::route_id route,
                                         base::time_point now)
{
    if (m_closed) {
        return base::fail(base::error_kind::unavailable, "this VM is stopping",
                          "take a ticket from another VM of GET /v1/vms");
    }
    const std::lock_guard lock{m_issue_mutex};
    release_expired(now);
    if (m_reserved >= m_settings.capacity) {
        return base::fail(base::error_kind::overloaded,
                          "this VM remembers as many tickets as it can",
                          "take a ticket from another VM of GET /v1/vms, or try again later");
    }
    const ticket new_ticket{.team = team,
                            .route = route,
                            .executor = m_settings.self,
                            .process = m_settings.process,
                            .number = ticket_number{++m_last_number},
                            .begin_before = std::chrono::floor<base::milliseconds>(
                                now + m_settings.lifetime - m_settings.epoch)};
    const auto discard_at = times_of(new_ticket).discard_at;
    ++m_reserved;
    if (m_reservations.empty() || m_reservations.back().discard_at < discard_at) {
        m_reservations.push_back({discard_at + reservation_step, 0});
    }
    ++m_reservations.back().count;
    return new_ticket;
}

ticket_decision ticket_table::begin(const ticket& value, const base::digest& request,
                                    const attempt_id& holder, base::time_point now)
{
    if (!is_issued_here(value)) {
        return forgotten_decision;
    }
    if (m_closed) {
        auto decision = refuse(value, now);
        if (decision.verdict == ticket_verdict::voided) {
            return decision;
        }
    }
    auto& ticket_shard = shard_of(value.number);
    const std::lock_guard lock{ticket_shard.mutex};
    const auto found = ticket_shard.slots.find(value.number);
    ticket_slot slot = found == ticket_shard.slots.end() ? ticket_slot{} : found->second;
    auto decision = begin_request(slot, times_of(value), request, holder, now);
    if (decision.verdict == ticket_verdict::run) {
        ticket_shard.slots.insert_or_assign(value.number, std::move(slot));
        ++m_in_progress;
    }
    return decision;
}

void ticket_table::end(const ticket& value, const attempt_id& holder, outcome result,
                       std::optional<stored_response> response)
{
    std::shared_ptr<const stored_response> stored;
    if (response) {
        stored = retain(std::move(*response));
    }
    auto& ticket_shard = shard_of(value.number);
    const std::lock_guard lock{ticket_shard.mutex};
    const auto found = ticket_shard.slots.find(value.number);
    if (found != ticket_shard.slots.end() && end_request(found->second, holder, result, stored)) {
        --m_in_progress;
    }
    else if (stored != nullptr) {
        m_response_bytes -= stored->body.size();
    }
}

ticket_decision ticket_table::refuse(const ticket& value, base::time_point now)
{
    const auto times = times_of(value);
    if (!is_issued_here(value) || now >= times.discard_at) {
        return forgotten_decision;
    }
    auto& ticket_shard = shard_of(value.number);
    const std::lock_guard lock{ticket_shard.mutex};
    auto& slot = ticket_shard.slots[value.number];
    void_unused(slot, times);
    return decide_on_refusal(*slot);
}

void ticket_table::discard_expired(base::time_point now)
{
    {
        const std::lock_guard lock{m_issue_mutex};
        release_expired(now);
    }
    for (auto& ticket_shard : m_shards) {
        const std::lock_guard lock{ticket_shard.mutex};
        auto oldest = ticket_shard.slots.begin();
        while (oldest != ticket_shard.slots.end() && oldest->second->discard_at <= now) {
            if (oldest->second->state == ticket_state::in_progress) {
                --m_in_progress;
            }
            if (oldest->second->response != nullptr) {
                m_response_bytes -= oldest->second->response->body.size();
            }
            oldest = ticket_shard.slots.erase(oldest);
        }
    }
}

std::size_t ticket_table::size() const
{
    std::size_t records = 0;
    for (const auto& ticket_shard : m_shards) {
        const std::lock_guard lock{ticket_shard.mutex};
        records += ticket_shard.slots.size();
    }
    return records;
}

std::size_t ticket_table::reserved() const
{
    const std::lock_guard lock{m_issue_mutex};
    return m_reserved;
}

ticket_table::shard& ticket_table::shard_of(ticket_number number)
{
    return m_shards[number.value() % shard_count];
}

ticket_times ticket_table::times_of(const ticket& value) const
{
    const auto begin_before = m_settings.epoch + value.begin_before;
    return {begin_before, begin_before + m_settings.retention};
}

bool ticket_table::is_issued_here(const ticket& value) const
{
    return value.executor == m_settings.self && value.process == m_settings.process;
}

std::shared_ptr<const stored_response> ticket_table::retain(stored_response response)
{
    const auto size = response.body.size();
    if (size > m_settings.response_bytes ||
        m_response_bytes + size > m_settings.total_response_bytes) {
        response.body.clear();
        response.body.shrink_to_fit();
        response.has_body = false;
    }
    m_response_bytes += response.body.size();
    return std::make_shared<const stored_response>(std::move(response));
}

void ticket_table::release_expired(base::time_point now)
{
    while (!m_reservations.empty() && m_reservations.front().discard_at <= now) {
        m_reserved -= m_reservations.front().count;
        m_reservations.pop_front();
    }
}

} // namespace chicorylink::dispatch
