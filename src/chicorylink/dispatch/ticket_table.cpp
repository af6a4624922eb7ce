#include "chicorylink/dispatch/ticket_table.hpp"

#include <utility>

namespace chicorylink::dispatch {
namespace {

/// Tickets issued within this time share one count of promised places.
constexpr base::milliseconds promise_step{1'000};

const ticket_decision not_ours{ticket_verdict::forgotten, outcome::unknown, nullptr};

ticket_decision decide_on_refusal(const ticket_record& record)
{
    switch (record.state) {
    case ticket_state::voided:
        return {ticket_verdict::voided, outcome::not_run, nullptr};
    case ticket_state::in_progress:
        return {ticket_verdict::in_progress, outcome::unknown, nullptr};
    case ticket_state::done:
        return {ticket_verdict::answered, outcome::ran, record.answer};
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
    drop_promises(now);
    if (m_promised >= m_settings.capacity) {
        return base::fail(base::error_kind::overloaded,
                          "this VM remembers as many tickets as it can",
                          "take a ticket from another VM of GET /v1/vms, or try again later");
    }
    const ticket fresh{.team = team,
                       .route = route,
                       .executor = m_settings.self,
                       .process = m_settings.process,
                       .number = ticket_number{++m_last_number},
                       .begin_before = std::chrono::floor<base::milliseconds>(
                           now + m_settings.lifetime - m_settings.epoch)};
    const auto forget_at = times_of(fresh).forget_at;
    ++m_promised;
    if (m_promises.empty() || m_promises.back().forget_at < forget_at) {
        m_promises.push_back({forget_at + promise_step, 0});
    }
    ++m_promises.back().count;
    return fresh;
}

ticket_decision ticket_table::begin(const ticket& value, const base::digest& request,
                                    const attempt_id& holder, base::time_point now)
{
    if (!is_own(value)) {
        return not_ours;
    }
    if (m_closed) {
        auto decision = refuse(value, now);
        if (decision.verdict == ticket_verdict::voided) {
            return decision;
        }
    }
    auto& home = shard_of(value.number);
    const std::lock_guard lock{home.mutex};
    const auto found = home.slots.find(value.number);
    ticket_slot slot = found == home.slots.end() ? ticket_slot{} : found->second;
    auto decision = begin_request(slot, times_of(value), request, holder, now);
    if (decision.verdict == ticket_verdict::run) {
        home.slots.insert_or_assign(value.number, std::move(slot));
        ++m_in_progress;
    }
    return decision;
}

void ticket_table::end(const ticket& value, const attempt_id& holder, outcome result,
                       std::optional<stored_answer> answer)
{
    std::shared_ptr<const stored_answer> kept;
    if (answer) {
        kept = keep(std::move(*answer));
    }
    auto& home = shard_of(value.number);
    const std::lock_guard lock{home.mutex};
    const auto found = home.slots.find(value.number);
    if (found != home.slots.end() && end_request(found->second, holder, result, kept)) {
        --m_in_progress;
    }
    else if (kept != nullptr) {
        m_answer_bytes -= kept->body.size();
    }
}

ticket_decision ticket_table::refuse(const ticket& value, base::time_point now)
{
    const auto times = times_of(value);
    if (!is_own(value) || now >= times.forget_at) {
        return not_ours;
    }
    auto& home = shard_of(value.number);
    const std::lock_guard lock{home.mutex};
    auto& slot = home.slots[value.number];
    bar(slot, times);
    return decide_on_refusal(*slot);
}

void ticket_table::forget_expired(base::time_point now)
{
    {
        const std::lock_guard lock{m_issue_mutex};
        drop_promises(now);
    }
    for (auto& home : m_shards) {
        const std::lock_guard lock{home.mutex};
        auto oldest = home.slots.begin();
        while (oldest != home.slots.end() && oldest->second->forget_at <= now) {
            if (oldest->second->state == ticket_state::in_progress) {
                --m_in_progress;
            }
            if (oldest->second->answer != nullptr) {
                m_answer_bytes -= oldest->second->answer->body.size();
            }
            oldest = home.slots.erase(oldest);
        }
    }
}

std::size_t ticket_table::size() const
{
    std::size_t records = 0;
    for (const auto& home : m_shards) {
        const std::lock_guard lock{home.mutex};
        records += home.slots.size();
    }
    return records;
}

std::size_t ticket_table::promised() const
{
    const std::lock_guard lock{m_issue_mutex};
    return m_promised;
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

bool ticket_table::is_own(const ticket& value) const
{
    return value.executor == m_settings.self && value.process == m_settings.process;
}

std::shared_ptr<const stored_answer> ticket_table::keep(stored_answer answer)
{
    const auto size = answer.body.size();
    if (size > m_settings.answer_bytes || m_answer_bytes + size > m_settings.total_answer_bytes) {
        answer.body.clear();
        answer.body.shrink_to_fit();
        answer.has_body = false;
    }
    m_answer_bytes += answer.body.size();
    return std::make_shared<const stored_answer>(std::move(answer));
}

void ticket_table::drop_promises(base::time_point now)
{
    while (!m_promises.empty() && m_promises.front().forget_at <= now) {
        m_promised -= m_promises.front().count;
        m_promises.pop_front();
    }
}

} // namespace chicorylink::dispatch
