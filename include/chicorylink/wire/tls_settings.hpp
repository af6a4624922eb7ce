#ifndef CHICORYLINK_WIRE_TLS_SETTINGS_HPP
#define CHICORYLINK_WIRE_TLS_SETTINGS_HPP

#include <string>

namespace chicorylink::wire {

/// @brief PEM files for mutual TLS between the VMs.
struct tls_settings {
    /// Certificates of the authorities that sign the VMs' certificates.
    std::string authority_file;
    /// This VM's certificate chain.
    std::string certificate_file;
    /// This VM's private key.
    std::string key_file;
    /// Whether a peer's certificate must carry the peer's VM name as its common name.
    bool require_vm_name = false;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_TLS_SETTINGS_HPP
