#include "chicorylink/dispatch/engine_reconciler.hpp"

namespace chicorylink::dispatch {

void engine_reconciler::set_desired(base::target_id target, const std::string& item,
                                    const std::string& state)
{
    auto& entry = m_desired[{target, item}];
    if (entry.state != state) {
        entry = desired_state{.state = state, .confirmed = false, .next_at = {}};
    }
}

std::vector<engine_command> engine_reconciler::take_due(base::target_id target,
                                                        base::config_version version,
                                                        base::time_point now)
{
    std::vector<engine_command> due;
    for (auto at = m_desired.lower_bound({target, {}});
         at != m_desired.end() && at->first.first == target; ++at) {
        auto& entry = at->second;
        if (entry.confirmed || now < entry.next_at) {
            continue;
        }
        entry.next_at = now + resend_interval;
        due.push_back({.target = target,
                       .token = {version, m_process_start, ++m_last_counter},
                       .item = at->first.second,
                       .state = entry.state});
    }
    return due;
}

void engine_reconciler::confirm(const engine_command& command)
{
    const auto found = m_desired.find({command.target, command.item});
    if (found != m_desired.end() && found->second.state == command.state) {
        found->second.confirmed = true;
    }
}

void engine_reconciler::on_superseded(base::target_id target)
{
    std::erase_if(m_desired, [&](const auto& entry) { return entry.first.first == target; });
}

} // namespace chicorylink::dispatch
