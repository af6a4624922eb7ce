#ifndef CHICORYLINK_DISPATCH_ENGINE_RECONCILER_HPP
#define CHICORYLINK_DISPATCH_ENGINE_RECONCILER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/engine_command.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicorylink::dispatch {

/// @brief Desired states of the engines and the commands that establish them.
///
/// Not thread-safe. Holds desired states for all targets; commands are created only for targets
/// that the caller passes to `take_due`, after `may_command`.
class engine_reconciler {
public:
    /// @param process_start Start of this process, in milliseconds since 1970.
    explicit engine_reconciler(std::uint64_t process_start) : m_process_start(process_start) {}

    /// @brief Sets the desired state of an item of a target; replaces an earlier one.
    void set_desired(base::target_id target, const std::string& item, const std::string& state);

    /// @brief Creates the commands that are due for a target: those not confirmed, each at most
    /// once within `resend_interval`.
    [[nodiscard]] std::vector<engine_command>
    take_due(base::target_id target, base::config_version version, base::time_point now);

    /// @brief Records that the engine accepted a command. Ignored when a newer desired state
    /// replaced it.
    void confirm(const engine_command& command);

    /// @brief Records that the engine refused a command as older than one it has seen, because
    /// another VM controls it. Drops its desired states; they are set again by `set_desired` when
    /// this VM is its controller again.
    void on_superseded(base::target_id target);

    /// Minimum time between two transmissions of one command.
    static constexpr base::milliseconds resend_interval{5'000};

private:
    struct desired_state {
        std::string state;
        bool confirmed = false;
        base::time_point next_at{};
    };

    using item_key = std::pair<base::target_id, std::string>;

    std::uint64_t m_process_start;
    std::uint64_t m_last_counter = 0;
    std::map<item_key, desired_state> m_desired;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ENGINE_RECONCILER_HPP
