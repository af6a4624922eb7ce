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
    /// @brief Opens the listeners and joins the other VMs.
    /// @return An `invalid_setting` error when an address or file can't be used.
    [[nodiscard]] static base::result<std::unique_ptr<daemon>> start(const settings& config);

    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;

    /// @brief One JSON line with the addresses that are in use: `callers`, `peers`, `operators`.
    [[nodiscard]] std::string addresses() const;

    /// @brief Reloads the TLS files of the callers' listener and the peer links.
    void reload_tls();

    /// @brief Shuts down gracefully: refuses new requests, finishes those in progress and hands
    /// over its budget. Requests that outlast the drain limit are aborted.
    void stop();

private:
    explicit daemon(std::unique_ptr<daemon_core> core);

    std::unique_ptr<daemon_core> m_core;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_DAEMON_HPP
