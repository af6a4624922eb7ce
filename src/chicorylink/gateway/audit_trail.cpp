#include "chicorylink/gateway/audit_trail.hpp"

#include "chicorylink/base/log.hpp"

#include <chrono>
#include <string>
#include <utility>

#include <fmt/chrono.h>

namespace chicorylink::gateway {
namespace {

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)));
}

} // namespace

void audit_trail::add(std::string_view event, const nlohmann::ordered_json& fields)
{
    base::audit(event, nlohmann::json(fields));
    nlohmann::ordered_json entry{{"time", timestamp()}, {"event", event}};
    entry.update(fields);
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > max_entries) {
        m_entries.pop_front();
    }
}

nlohmann::ordered_json audit_trail::rows() const
{
    const std::lock_guard lock(m_mutex);
    auto rows = nlohmann::ordered_json::array();
    for (const auto& entry : m_entries) {
        rows.push_back(entry);
    }
    return rows;
}

} // namespace chicorylink::gateway
