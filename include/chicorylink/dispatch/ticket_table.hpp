#ifndef CHICORYLINK_DISPATCH_TICKET_TABLE_HPP
#define CHICORYLINK_DISPATCH_TICKET_TABLE_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/dispatch/ticket.hpp"
#include "chicorylink/dispatch/ticket_decision.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"
#include "chicorylink/dispatch/ticket_settings.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

namespace chicorylink::dispatch {

/// @brief The tickets that this process issued: which were used, and what became of them.
///
/// Thread-safe; records are in shards by ticket, each under its own lock. Memory is bounded: when
/// all places are promised no new ticket is issued, and none is forgotten before its time.
class ticket_table {
public:
    explicit ticket_table(const ticket_settings& settings);

    /// @brief Issues a ticket and sets a place aside for its record.
    /// @return `overloaded` when all places are promised, `unavailable` after `close`.
    [[nodiscard]] base::result<ticket> issue(base::team_id team, base::route_id route,
                                             base::time_point now);

    /// @brief Decides on a request with a checked ticket. After the verdict `run`, `end` must be
    /// called for the same holder.
    /// @param request A digest of method, path, query and body of the request.
    [[nodiscard]] ticket_decision begin(const ticket& value, const base::digest& request,
                                        const attempt_id& holder, base::time_point now);

    /// @brief Notes how the holder's attempt ended.
    /// @param answer Of `ran`, when the whole answer arrived.
    void end(const ticket& value, const attempt_id& holder, outcome result,
             std::optional<stored_answer> answer);

    /// @brief Refuses a request before it is begun; bars its ticket when that was never used.
    /// @return What is true of the request: `not_run` when the ticket is barred.
    [[nodiscard]] ticket_decision refuse(const ticket& value, base::time_point now);

    /// @brief Issues no more tickets and lets no unused one be begun, for a drain.
    void close() { m_closed = true; }

    /// @brief Forgets the records whose time is over.
    void forget_expired(base::time_point now);

    /// @brief Records kept.
    [[nodiscard]] std::size_t size() const;

    /// @brief Requests that run at this moment.
    [[nodiscard]] std::size_t in_progress() const { return m_in_progress; }

    /// @brief Tickets that are issued and not yet forgotten.
    [[nodiscard]] std::size_t promised() const;

    /// @brief Bytes of the answer bodies kept.
    [[nodiscard]] std::size_t answer_bytes() const { return m_answer_bytes; }

    /// @brief How long a ticket issued now may be begun.
    [[nodiscard]] base::milliseconds lifetime() const { return m_settings.lifetime; }

private:
    struct shard {
        mutable std::mutex mutex;
        /// By number, which is also the order in which they are forgotten.
        std::map<ticket_number, ticket_slot> slots;
    };

    /// Places promised to tickets that are forgotten at the same time.
    struct promise {
        base::time_point forget_at{};
        std::size_t count = 0;
    };

    static constexpr std::size_t shard_count = 16;

    [[nodiscard]] shard& shard_of(ticket_number number);
    [[nodiscard]] ticket_times times_of(const ticket& value) const;
    [[nodiscard]] bool is_own(const ticket& value) const;
    [[nodiscard]] std::shared_ptr<const stored_answer> keep(stored_answer answer);
    void drop_promises(base::time_point now);

    ticket_settings m_settings;
    std::atomic<bool> m_closed{false};
    std::atomic<std::size_t> m_in_progress{0};
    std::atomic<std::size_t> m_answer_bytes{0};
    std::array<shard, shard_count> m_shards;

    mutable std::mutex m_issue_mutex;
    std::uint64_t m_last_number = 0;
    std::size_t m_promised = 0;
    std::deque<promise> m_promises;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_TABLE_HPP
