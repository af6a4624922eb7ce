#ifndef CHICORYLINK_SCENARIO_DISPATCH_PROCESS_HPP
#define CHICORYLINK_SCENARIO_DISPATCH_PROCESS_HPP

#include "chicorylink/dispatch/attempt.hpp"
#include "chicorylink/dispatch/ticket_table.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chicorylink::scenario {

/// @brief A request at one VM, as caller, entry VM or executor.
struct dispatch_task {
    dispatch::attempt current_attempt;
    dispatch::ticket ticket;
    std::string body;
    /// The VM to reply to; empty for the script.
    std::string reply_to;
    /// The attempt that holds the ticket at the executor.
    dispatch::attempt_id holder;
    /// Whether it was forwarded to another VM.
    bool forwarded = false;
    bool first_attempt = false;
};

/// @brief The dispatch state of one simulated process.
struct dispatch_process {
    std::shared_ptr<dispatch::ticket_table> tickets;
    std::uint64_t last_attempt = 0;
    /// By the number of the attempt.
    std::map<std::uint64_t, dispatch_task> tasks;
};

/// @brief State for the whole world: runs counted by the target, and results sent to callers.
struct dispatch_world {
    /// How often the target ran each body.
    std::map<std::string, std::int64_t> runs;
    /// Verdict and outcome by the script's request number.
    std::map<std::int64_t, std::string> answers;
    std::int64_t last_request = 0;
    /// The script's request number of each VM and attempt.
    std::map<std::pair<std::string, dispatch::attempt_id>, std::int64_t> requests;
};

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_DISPATCH_PROCESS_HPP
