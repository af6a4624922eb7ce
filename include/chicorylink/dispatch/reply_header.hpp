#ifndef CHICORYLINK_DISPATCH_REPLY_HEADER_HPP
#define CHICORYLINK_DISPATCH_REPLY_HEADER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/dispatch/ticket_decision.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::dispatch {

/// The status by which an executor asks for the body once it has a slot at a target. Until the VM
/// that hands the request over has written the first byte of the body, nothing can run.
inline constexpr std::uint16_t send_body_status = 100;

/// @brief What stands before the body of the answer that a VM gives another.
struct reply_header {
    /// The attempt that it answers.
    attempt_id attempt;
    outcome result = outcome::unknown;
    /// Of a request with a ticket; `run` when it was run for this attempt.
    ticket_verdict verdict = ticket_verdict::run;
    /// The HTTP status.
    std::uint16_t status = 0;
    std::string content_type;
    /// Zero when there is no sense in a time.
    base::milliseconds retry_after{0};
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_REPLY_HEADER_HPP
