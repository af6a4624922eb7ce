#include "chicorylink/fleet/target_pool.hpp"
#include "chicorylink/scheduling/target_speed.hpp"

// The part of `target_pool` that learns how fast targets are.

namespace chicorylink::fleet {

bool target_pool::on_time_stated(const target_pace& statement, base::time_point now)
{
    const auto name = m_names.find(statement.target);
    if (name == m_names.end()) {
        return false;
    }
    auto& target = m_targets.at(name->second);
    return target.entry.started_ms == statement.started_ms &&
           scheduling::note_statement(target.speed, statement.percent, now - statement.age, now);
}

std::vector<speed_change> target_pool::on_start_measured(const target_name& name, double ratio,
                                                         base::time_point now)
{
    std::vector<speed_change> changes;
    auto* measured = find_mutable(name);
    if (measured == nullptr) {
        return changes;
    }
    scheduling::add_sample(measured->speed, ratio, now);
    std::vector<double> low_ratios;
    for (const auto& [other_name, other] : m_targets) {
        if (other.entry.service == measured->entry.service) {
            if (const auto low = scheduling::low_ratio(other.speed, now)) {
                low_ratios.push_back(*low);
            }
        }
    }
    const double usual = scheduling::usual_ratio(std::move(low_ratios));
    m_usual_start_ratios[measured->entry.service] = usual;
    if (scheduling::update_learned(measured->speed, usual, now)) {
        changes.push_back({name, measured->speed.is_slow, measured->speed.learned});
    }
    return changes;
}

double target_pool::usual_start_ratio(const service_name& service) const
{
    const auto found = m_usual_start_ratios.find(service);
    return found == m_usual_start_ratios.end() ? 1 : found->second;
}

void target_pool::on_tokens(base::target_id id, std::uint32_t tokens, base::milliseconds elapsed,
                            base::time_point now)
{
    const auto name = m_names.find(id);
    if (auto* target = name == m_names.end() ? nullptr : find_mutable(name->second)) {
        scheduling::note_tokens(target->pace, tokens, static_cast<double>(elapsed.count()), now);
    }
}

void target_pool::on_transfer(const target_name& to, const target_name& from,
                              base::time_point ends_at)
{
    for (const auto& name : {to, from}) {
        if (auto* target = find_mutable(name)) {
            target->link_free_at = std::max(target->link_free_at, ends_at);
        }
    }
}

} // namespace chicorylink::fleet
