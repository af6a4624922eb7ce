#ifndef CHICORYLINK_DISPATCH_KEY_MEMORY_HPP
#define CHICORYLINK_DISPATCH_KEY_MEMORY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string_view>
#include <utility>

namespace chicorylink::dispatch {

/// @brief Requests with a caller-made `Idempotency-Key` and no ticket that this process has run.
///
/// Recognises repeats that come to this process only; a repeat through another VM or after a
/// restart is not recognised, which is what tickets are for. Thread-safe, bounded: when it is
/// full, new keys are refused and none is forgotten early.
class key_memory {
public:
    /// @param capacity Keys that are remembered at once.
    /// @param retention How long each is remembered after its first use.
    key_memory(std::size_t capacity, base::milliseconds retention);

    /// @brief The name of a caller's key, for `begin` and `end`.
    [[nodiscard]] static base::digest name_of(base::team_id team, base::route_id route,
                                              std::string_view key);

    /// @brief Decides on a request. After the verdict `run`, `end` must be called.
    /// @return `forgotten` when the memory is full: the key may have been used at another VM, so
    /// that nothing better than `unknown` is true.
    [[nodiscard]] ticket_decision begin(const base::digest& name, const base::digest& request,
                                        const attempt_id& holder, base::time_point now);

    /// @brief Notes how the holder's attempt ended. Answers are kept by the caller's bound.
    void end(const base::digest& name, const attempt_id& holder, outcome result,
             std::shared_ptr<const stored_answer> answer);

    [[nodiscard]] std::size_t size() const;

private:
    void forget_expired(base::time_point now);

    std::size_t m_capacity;
    base::milliseconds m_retention;
    mutable std::mutex m_mutex;
    std::map<base::digest, ticket_slot> m_slots;
    /// Oldest first.
    std::deque<std::pair<base::time_point, base::digest>> m_order;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_KEY_MEMORY_HPP
