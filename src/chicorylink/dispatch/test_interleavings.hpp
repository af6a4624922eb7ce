#ifndef CHICORYLINK_DISPATCH_TEST_INTERLEAVINGS_HPP
#define CHICORYLINK_DISPATCH_TEST_INTERLEAVINGS_HPP

#include <cstddef>
#include <string>

namespace chicorylink::dispatch::testing {

/// @brief A rule that the fake VMs leave out, to show that the checks can fail.
enum class removed_rule {
    none,
    /// A new process run takes tickets of the one before.
    tickets_bind_the_incarnation,
    /// Used tickets are remembered.
    used_tickets_are_remembered,
    /// An answer of not run bars the ticket.
    not_run_bars_the_ticket,
    /// A lost attempt that may have been sent is unknown.
    possibly_sent_is_unknown,
    /// An attempt that may have been sent is not sent again.
    unknown_is_not_retried,
    /// A ticket past its time of memory is not begun.
    forgotten_is_not_begun,
    /// An entry VM vouches only for first attempts.
    entry_vouches_for_first_attempts_only,
};

/// @brief The bounds of one enumeration.
struct enumeration {
    removed_rule without = removed_rule::none;
    /// How often the caller sends its request.
    int caller_attempts = 2;
    /// How many messages are doubled.
    int doubled = 1;
    /// How often each VM dies.
    int deaths = 1;
    /// Whether the caller marks its first attempt.
    bool marks_first_attempt = false;
    /// Whether messages from the caller to a VM may be doubled.
    bool doubles_requests = true;
};

/// @brief What an enumeration found.
struct findings {
    std::size_t states = 0;
    /// Empty when every state was right.
    std::string violation;
};

/// @brief Visits every state of two VMs, a target and a caller that repeats its booking.
///
/// Any message in flight may be delivered at any time or never, and a number of them twice; any
/// process may pause between any two steps, give up its attempt, or die and start again; the
/// ticket's times pass at any moment. The messages of a VM to the target aren't doubled: they
/// belong to one TCP connection.
findings enumerate(const enumeration& bounds);

} // namespace chicorylink::dispatch::testing

#endif // CHICORYLINK_DISPATCH_TEST_INTERLEAVINGS_HPP
