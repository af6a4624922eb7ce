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

/// @brief The tickets that this process issued: which were used, and with what result.
///
/// Thread-safe; records are sharded by ticket number, each shard with its own lock. Memory is
/// bounded: when all record slots are reserved, no new ticket is issued, and no record is discarded
/// before its time.
class ticket_table {
public:
    explicit ticket_table(const ticket_settings& settings);

    /// @brief Issues a ticket and reserves a slot for its record.
    /// @return `overloaded` when all slots are reserved, `unavailable` after `close`.
    [[nodiscard]] base::result<ticket> issue(base::team_id team, base::route_id route,
                                             base::time_point now);

    /// @brief Decides on a request whose ticket has a valid MAC. After the verdict `run`, `end`
    /// must be called for the same holder.
    /// @param request A digest of method, path, query and body of the request.
    [[nodiscard]] ticket_decision begin(const ticket& value, const base::digest& request,
                                        const attempt_id& holder, base::time_point now);

    /// @brief Records how the holder's attempt ended.
    /// @param response Response of a request that `ran`; set when all of it arrived.
    void end(const ticket& value, const attempt_id& holder, outcome result,
             std::optional<stored_response> response);

    /// @brief Refuses a request before it starts; voids its ticket when that was never used.
    /// @return The state of the request; its outcome is `not_run` when the ticket is voided.
    [[nodiscard]] ticket_decision refuse(const ticket& value, base::time_point now);

    /// @brief Stops issuing tickets and rejects the first use of issued ones, for a drain.
    void close() { m_closed = true; }

    /// @brief Discards the records whose retention has ended.
    void discard_expired(base::time_point now);

    /// @brief Number of records kept.
    [[nodiscard]] std::size_t size() const;

    /// @brief Number of requests running now.
    [[nodiscard]] std::size_t in_progress() const { return m_in_progress; }

    /// @brief Number of tickets issued and not yet discarded.
    [[nodiscard]] std::size_t reserved() const;

    /// @brief Total size of the kept response bodies, in bytes.
    [[nodiscard]] std::size_t response_bytes() const { return m_response_bytes; }

    /// @brief How long after its issue a ticket may be used for the first time.
    [[nodiscard]] base::milliseconds lifetime() const { return m_settings.lifetime; }

private:
    struct shard {
        mutable std::mutex mutex;
        /// Sorted by number, which is also the order in which they are discarded.
        std::map<ticket_number, ticket_slot> slots;
    };

    /// Slots reserved for tickets that are discarded at the same time.
    struct reservation {
        base::time_point discard_at{};
        std::size_t count = 0;
    };

    static constexpr std::size_t shard_count = 16;

    [[nodiscard]] shard& shard_of(ticket_number number);
    [[nodiscard]] ticket_times times_of(const ticket& value) const;
    [[nodiscard]] bool is_issued_here(const ticket& value) const;
    [[nodiscard]] std::shared_ptr<const stored_response> retain(stored_response response);
    void release_expired(base::time_point now);

    ticket_settings m_settings;
    std::atomic<bool> m_closed{false};
    std::atomic<std::size_t> m_in_progress{0};
    std::atomic<std::size_t> m_response_bytes{0};
    std::array<shard, shard_count> m_shards;

    mutable std::mutex m_issue_mutex;
    std::uint64_t m_last_number = 0;
    std::size_t m_reserved = 0;
    std::deque<reservation> m_reservations;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_TABLE_HPP
