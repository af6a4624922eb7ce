#ifndef CHICORYLINK_GATEWAY_AUDIT_TRAIL_HPP
#define CHICORYLINK_GATEWAY_AUDIT_TRAIL_HPP

#include <cstddef>
#include <deque>
#include <mutex>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {

/// @brief The last changes that came in force here. Each is written to the log as it is added;
/// operators ask for those that are still kept.
class audit_trail {
public:
    /// Entries that are kept; older ones are in the log only.
    static constexpr std::size_t max_entries = 1'000;

    /// @brief Adds a change.
    /// @param event The stable name of what changed.
    /// @param fields A JSON object: who asked, line, old and new values, version.
    void add(std::string_view event, const nlohmann::ordered_json& fields);

    /// @brief The kept entries, oldest first.
    [[nodiscard]] nlohmann::ordered_json rows() const;

private:
    mutable std::mutex m_mutex;
    std::deque<nlohmann::ordered_json> m_entries;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_AUDIT_TRAIL_HPP
