#ifndef CHICORYLINK_WIRE_TLS_CONTEXT_HPP
#define CHICORYLINK_WIRE_TLS_CONTEXT_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/wire/tls_settings.hpp"

#include <memory>

// A type of OpenSSL.
struct ssl_ctx_st;

namespace chicorylink::wire {

/// @brief Keys and certificates for mutual TLS, loaded once. Immutable.
class tls_context {
public:
    /// @return `invalid_setting` naming the file that can't be used.
    [[nodiscard]] static base::result<std::shared_ptr<const tls_context>>
    load(const tls_settings& settings);

    ~tls_context();
    tls_context(const tls_context&) = delete;
    tls_context& operator=(const tls_context&) = delete;
    tls_context(tls_context&&) = delete;
    tls_context& operator=(tls_context&&) = delete;

    [[nodiscard]] ssl_ctx_st* raw() const { return m_raw; }
    [[nodiscard]] bool requires_vm_name() const { return m_require_vm_name; }

private:
    tls_context(ssl_ctx_st* raw, bool require_vm_name);

    ssl_ctx_st* m_raw;
    bool m_require_vm_name;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_TLS_CONTEXT_HPP
