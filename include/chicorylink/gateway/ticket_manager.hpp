#ifndef CHICORYLINK_GATEWAY_TICKET_MANAGER_HPP
#define CHICORYLINK_GATEWAY_TICKET_MANAGER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/dispatch/ticket.hpp"
#include "chicorylink/dispatch/ticket_decision.hpp"
#include "chicorylink/gateway/http_response.hpp"

#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>

namespace chicorylink::dispatch {
class ticket_table;
} // namespace chicorylink::dispatch

namespace chicorylink::gateway {

struct services;

/// @brief Issues tickets and decides on requests that present one. Thread-safe.
class ticket_manager {
public:
    explicit ticket_manager(services& deps);
    ~ticket_manager();
    ticket_manager(const ticket_manager&) = delete;
    ticket_manager& operator=(const ticket_manager&) = delete;
    ticket_manager(ticket_manager&&) = delete;
    ticket_manager& operator=(ticket_manager&&) = delete;

    /// @brief Issues a ticket of this VM, as text.
    /// @return `overloaded` when no more tickets can be stored, `unavailable` while leaving.
    [[nodiscard]] base::result<std::string> issue(base::team_id team, base::route_id route);

    /// @brief Parses a ticket of any VM and verifies its signature.
    [[nodiscard]] base::result<dispatch::ticket> read(std::string_view text) const;

    /// @brief Decides on a request with a ticket of this VM; see `dispatch::ticket_table`.
    [[nodiscard]] dispatch::ticket_decision begin(const dispatch::ticket& value,
                                                  const base::digest& request,
                                                  const dispatch::attempt_id& holder);

    /// @brief Records the end of the request that holds a ticket.
    /// @param response The complete response; null when there is none.
    void end(const dispatch::ticket& value, const dispatch::attempt_id& holder,
             dispatch::outcome result, const http_response* response);

    /// @brief Voids a ticket of this VM whose request is refused before it began.
    /// @return The request's outcome.
    [[nodiscard]] dispatch::outcome refuse(const dispatch::ticket& value);

    /// @brief How long after it was issued a ticket may be used.
    [[nodiscard]] base::milliseconds lifetime() const;

    /// @brief Stops issuing tickets and rejects unused ones, for a graceful stop.
    void close();

    /// @brief Discards expired records. To be called about once a second.
    void tick();

    /// @brief Discards all records, as after a process start.
    void renew();

private:
    [[nodiscard]] std::shared_ptr<dispatch::ticket_table> make_table() const;
    [[nodiscard]] std::shared_ptr<dispatch::ticket_table> table() const;
    [[nodiscard]] dispatch::ticket_keys keys() const;

    services& m_deps;
    /// Protects the pointer only.
    mutable std::shared_mutex m_mutex;
    std::shared_ptr<dispatch::ticket_table> m_table;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TICKET_MANAGER_HPP
