#ifndef CHICORYLINK_WIRE_TLS_SESSION_HPP
#define CHICORYLINK_WIRE_TLS_SESSION_HPP

#include "chicorylink/base/error.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

// Types of OpenSSL.
struct bio_st;
struct ssl_st;

namespace chicorylink::wire {

class tls_context;

/// @brief TLS of one connection over memory buffers, without I/O.
class tls_session {
public:
    /// @param dials Whether this process opened the connection.
    tls_session(const tls_context& context, bool is_client);
    ~tls_session();
    tls_session(const tls_session&) = delete;
    tls_session& operator=(const tls_session&) = delete;
    tls_session(tls_session&&) = delete;
    tls_session& operator=(tls_session&&) = delete;

    /// @brief Processes bytes from the network and continues the handshake.
    /// @param plain Decrypted bytes are appended here.
    /// @return `not_allowed` when the peer's certificate is rejected or TLS fails otherwise.
    [[nodiscard]] base::result<void> receive(std::span<const std::uint8_t> encrypted,
                                             std::vector<std::uint8_t>& plain);

    [[nodiscard]] bool handshake_done() const { return m_handshake_done; }

    /// @brief Encrypts bytes; only once the handshake is done.
    [[nodiscard]] base::result<void> send(std::span<const std::uint8_t> plain);

    /// @brief Appends the encrypted bytes to send.
    void take_output(std::vector<std::uint8_t>& out);

    /// @brief The common name of the peer's certificate; empty before the handshake is done.
    [[nodiscard]] std::string peer_name() const;

private:
    [[nodiscard]] base::result<void> process_input(std::vector<std::uint8_t>& plain);

    ssl_st* m_ssl = nullptr;
    /// Owned by `m_ssl`.
    bio_st* m_input = nullptr;
    bio_st* m_output = nullptr;
    bool m_handshake_done = false;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_TLS_SESSION_HPP
