#include "chicorylink/fleet/limit_watch.hpp"

namespace chicorylink::fleet {

bool limit_watch::note_sent(const target_name& target, double per_second, base::time_point now)
{
    std::erase_if(m_sent, [&](const auto& entry) {
        return entry.second.empty() || now - entry.second.back() >= limit_window;
    });
    auto& sent = m_sent[target];
    while (!sent.empty() && now - sent.front() >= limit_window) {
        sent.pop_front();
    }
    sent.push_back(now);
    const double allowed =
        limit_overage * per_second * std::chrono::duration<double>(limit_window).count() +
        limit_slack;
    if (static_cast<double>(sent.size()) <= allowed) {
        return false;
    }
    sent.clear();
    return true;
}

} // namespace chicorylink::fleet
