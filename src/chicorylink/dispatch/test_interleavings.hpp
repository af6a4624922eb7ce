#ifndef CHICORYLINK_DISPATCH_TEST_INTERLEAVINGS_HPP
#define CHICORYLINK_DISPATCH_TEST_INTERLEAVINGS_HPP

#include <cstddef>
#include <string>

namespace chicorylink::dispatch::testing {

/// @brief A rule that the modeled VMs skip, to show that the checks can fail.
enum class removed_rule {
    none,
    /// Without it, a new process run accepts tickets of the previous one.
    tickets_are_bound_to_an_incarnation,
    /// Used tickets are recorded.
    used_tickets_are_recorded,
    /// A response of `not_run` voids the ticket.
    not_run_voids_the_ticket,
    /// A lost attempt that may have been sent has the outcome `unknown`.
    possibly_sent_is_unknown,
    /// An attempt that may have been sent is not retried.
    unknown_is_not_retried,
    /// A ticket whose record may have been discarded is not used.
    forgotten_is_not_started,
    /// An entry VM reports `not_run` on its own only for first attempts.
    entry_reports_not_run_for_first_attempts_only,
};

/// @brief The limits of one enumeration.
struct enumeration {
    removed_rule removed = removed_rule::none;
    /// How many times the caller sends its request.
    int caller_attempts = 2;
    /// How many messages are duplicated.
    int duplicated = 1;
    /// How many times each VM crashes.
    int crashes = 1;
    /// Whether the caller marks its first attempt.
    bool marks_first_attempt = false;
    /// Whether messages from the caller to a VM may be duplicated.
    bool duplicates_requests = true;
};

/// @brief What an enumeration found.
struct enumeration_result {
    std::size_t states = 0;
    /// Empty when no state violates a check.
    std::string violation;
};

/// @brief Visits every reachable state of two VMs, a target and a caller that repeats its booking.
///
/// Any message in flight may be delivered at any time or never, and a limited number twice; any
/// process may pause between any two steps, abandon its attempt, or crash and restart; the ticket
/// may expire at any time. Messages between a VM and the target aren't duplicated, because they
/// belong to one TCP connection.
enumeration_result enumerate(const enumeration& bounds);

} // namespace chicorylink::dispatch::testing

#endif // CHICORYLINK_DISPATCH_TEST_INTERLEAVINGS_HPP
