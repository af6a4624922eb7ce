#ifndef CHICORYLINK_GATEWAY_AUDIT_TRAIL_HPP
#define CHICORYLINK_GATEWAY_AUDIT_TRAIL_HPP

#include <cstddef>
#include <deque>
#include <mutex>
#include <string_view>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {

/// @brief The most recent changes that took effect on this VM. Each is logged as it is added;
/// operators can query those that are still kept.
class audit_trail {
public:
    /// Number of entries kept; older ones are in the log only.
    static constexpr std::size_t max_entries = 1'000;

    /// @brief Adds a change.
    /// @param event Stable name of the change.
    /// @param fields JSON object: who requested the change, line, old and new values, version.
    void add(std::string_view event, const nlohmann::ordered_json& fields);

    /// @brief The kept entries, oldest first.
    [[nodiscard]] nlohmann::ordered_json rows() const;

private:
    mutable std::mutex m_mutex;
    std::deque<nlohmann::ordered_json> m_entries;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_AUDIT_TRAIL_HPP
