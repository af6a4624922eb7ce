#include "chicorylink/gateway/retry_guard.hpp"

#include <algorithm>

namespace chicorylink::gateway {

void retry_guard::on_first_attempt()
{
    const std::lock_guard lock(m_mutex);
    m_rights = std::min(reserve, m_rights + retries_per_attempt);
}

bool retry_guard::take()
{
    const std::lock_guard lock(m_mutex);
    if (m_rights < 1.0) {
        return false;
    }
    m_rights -= 1.0;
    return true;
}

} // namespace chicorylink::gateway
