#include "chicorylink/dispatch/order_book.hpp"

namespace chicorylink::dispatch {

void order_book::want(base::target_id target, const std::string& item, const std::string& state)
{
    auto& entry = m_wishes[{target, item}];
    if (entry.state != state) {
        entry = wish{.state = state, .confirmed = false, .next_at = {}};
    }
}

std::vector<engine_order> order_book::take_due(base::target_id target, base::config_version version,
                                               base::time_point now)
{
    std::vector<engine_order> due;
    for (auto at = m_wishes.lower_bound({target, {}});
         at != m_wishes.end() && at->first.first == target; ++at) {
        auto& entry = at->second;
        if (entry.confirmed || now < entry.next_at) {
            continue;
        }
        entry.next_at = now + repeat_after;
        due.push_back({.target = target,
                       .token = {version, m_process_start, ++m_last_counter},
                       .item = at->first.second,
                       .state = entry.state});
    }
    return due;
}

void order_book::confirm(const engine_order& order)
{
    const auto found = m_wishes.find({order.target, order.item});
    if (found != m_wishes.end() && found->second.state == order.state) {
        found->second.confirmed = true;
    }
}

void order_book::superseded(base::target_id target)
{
    std::erase_if(m_wishes, [&](const auto& entry) { return entry.first.first == target; });
}

} // namespace chicorylink::dispatch
