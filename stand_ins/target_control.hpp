#ifndef CHICORYLINK_STAND_INS_TARGET_CONTROL_HPP
#define CHICORYLINK_STAND_INS_TARGET_CONTROL_HPP

#include "stand_ins/http_request.hpp"
#include "stand_ins/http_response.hpp"
#include "stand_ins/target_faults.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace chicorylink::stand_ins {

/// @brief The faults, counters and received texts of a target, and the control calls for them.
class target_control {
public:
    /// @brief Handles a call below `/control/`; empty for other calls.
    [[nodiscard]] std::optional<http_response> respond(const http_request& request);

    /// @brief Records a request and returns the faults to apply to it.
    [[nodiscard]] target_faults receive(const http_request& request);

    /// @brief Blocks while request bodies must stay unread.
    void wait_until_reading(const http_request& request);

    /// @brief Increments a counter.
    void count(const std::string& name);

    /// @brief Counts one run of a request, by its id and by its body.
    /// @return The number of runs with this body.
    std::uint64_t count_run(const http_request& request);

    [[nodiscard]] bool leaving() const;

private:
    http_response counters_response() const;
    http_response received_response(std::string_view search_text) const;
    void record(const http_request& request);

    mutable std::mutex m_mutex;
    target_faults m_faults;
    bool m_leaving = false;
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_runs_by_body;
    std::map<std::string, std::uint64_t> m_runs_by_id;
    /// Received texts by the part of the request that contained them.
    std::map<std::string, std::set<std::string>> m_received;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_TARGET_CONTROL_HPP
