#include "chicorylink/dispatch/key_memory.hpp"

#include <fmt/format.h>

namespace chicorylink::dispatch {

key_memory::key_memory(std::size_t capacity, base::milliseconds retention)
    : m_capacity(capacity), m_retention(retention)
{
}

base::digest key_memory::name_of(base::team_id team, base::route_id route, std::string_view key)
{
    return base::sha256(fmt::format("{:016x}{:016x}", team.value(), route.value()), key);
}

ticket_decision key_memory::begin(const base::digest& name, const base::digest& request,
                                  const attempt_id& holder, base::time_point now)
{
    const std::lock_guard lock{m_mutex};
    forget_expired(now);
    const auto found = m_slots.find(name);
    if (found == m_slots.end() && m_slots.size() >= m_capacity) {
        return {ticket_verdict::forgotten, outcome::unknown, nullptr};
    }
    auto& slot = m_slots[name];
    const auto forget_at = now + m_retention;
    auto decision = begin_request(slot, {forget_at, forget_at}, request, holder, now);
    if (decision.verdict == ticket_verdict::run) {
        m_order.emplace_back(forget_at, name);
    }
    return decision;
}

void key_memory::end(const base::digest& name, const attempt_id& holder, outcome result,
                     std::shared_ptr<const stored_answer> answer)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_slots.find(name);
    if (found != m_slots.end()) {
        end_request(found->second, holder, result, std::move(answer));
    }
}

std::size_t key_memory::size() const
{
    const std::lock_guard lock{m_mutex};
    return m_slots.size();
}

void key_memory::forget_expired(base::time_point now)
{
    while (!m_order.empty() && m_order.front().first <= now) {
        m_slots.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace chicorylink::dispatch
