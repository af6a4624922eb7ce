#ifndef CHICORYLINK_GATEWAY_DAEMON_HPP
#define CHICORYLINK_GATEWAY_DAEMON_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/gateway/settings.hpp"

#include <memory>
#include <string>

namespace chicorylink::gateway {

class daemon_core;

/// @brief One running gateway: listeners, peer links, control loop and request path.
class daemon {
public:
    /// @brief Opens the listeners and begins to take part.
    /// @return An `invalid_setting` error when an address or file can't be used.
    [[nodiscard]] static base::result<std::unique_ptr<daemon>> start(const settings& config);

    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// @brief One JSON line with the addresses that are in use: `callers`, `peers`, `operators`.
    [[nodiscard]] std::string addresses() const;

    /// @brief Loads the TLS files of callers' listener and peer links again.
    void reload_tls();

    /// @brief Leaves gracefully: takes no new requests, finishes those in progress, hands its
    /// budget over, and returns. Requests that outlast the drain limit are broken off.
    void stop();

private:
    explicit daemon(std::unique_ptr<daemon_core> core);

    std::unique_ptr<daemon_core> m_core;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_DAEMON_HPP
