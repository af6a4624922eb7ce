#include "chicorylink/fleet/store_contact.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

bool are_connected(const contact_span& left, const contact_span& right)
{
    return left.since <= right.until + store_contact::outage_threshold &&
           right.since <= left.until + store_contact::outage_threshold;
}

bool covers(const contact_span& span, const store_contact::gap& pause)
{
    return span.since <= pause.lost_at + store_contact::outage_threshold &&
           pause.regained_at <= span.until + store_contact::outage_threshold;
}

} // namespace

void store_contact::note(const contact_span& span)
{
    const contact_span added{span.since, std::max(span.since, span.until)};
    if (!m_span) {
        m_span = added;
        return;
    }
    if (are_connected(added, *m_span)) {
        m_span->since = std::min(m_span->since, added.since);
        m_span->until = std::max(m_span->until, added.until);
    }
    else if (added.since > m_span->until) {
        m_outage = gap{m_span->until, added.since};
        m_span = added;
    }
    if (m_outage && covers(added, *m_outage)) {
        m_outage.reset();
    }
}

void store_contact::note(const contact_report& reported)
{
    auto span = reported.span;
    if (!reported.is_local && m_failed_at) {
        span.since = std::max(span.since, *m_failed_at);
    }
    note(span);
}

void store_contact::note_failure(base::time_point at)
{
    m_failed_at = std::max(m_failed_at.value_or(at), at);
}

} // namespace chicorylink::fleet
