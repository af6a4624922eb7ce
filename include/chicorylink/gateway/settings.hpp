#ifndef CHICORYLINK_GATEWAY_SETTINGS_HPP
#define CHICORYLINK_GATEWAY_SETTINGS_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::gateway {

/// @brief All settings of one daemon, as read from flags and environment variables.
struct settings {
    std::string vm;
    std::string region;
    std::string data_center;
    /// `IP:port` for callers.
    std::string listen;
    /// `IP:port` for peer links.
    std::string peer_listen;
    /// `IP:port` for operators; never open to callers.
    std::string operators_listen = "127.0.0.1:0";
    /// `http://IP:port` of the platform's services.
    std::string platform_url;

    std::string peer_ca_file;
    std::string peer_certificate_file;
    std::string peer_key_file;
    /// Disables TLS on peer links; for tests on one machine.
    bool peer_plaintext = false;
    std::string callers_certificate_file;
    std::string callers_key_file;
    /// Secrets that sign tickets; the first signs, all are accepted.
    std::vector<std::string> ticket_keys;

    std::size_t max_body_bytes = 768UL * 1024;
    std::size_t max_answer_bytes = 16UL * 1024UL * 1024;
    unsigned max_connections = 4'000;
    unsigned idle_seconds = 30;
    unsigned read_seconds = 20;
    /// Maximum time that a shutdown waits for requests in progress.
    std::chrono::seconds drain_limit{600};
    /// Minimum time that a leaving VM keeps refusing new requests with the names of other VMs.
    base::milliseconds drain_notice{1'000};
    /// Token limit of a response when the request sets none.
    std::int64_t default_answer_tokens = 1'024;
    std::string log_level = "info";
};

/// @brief Checks that all required settings are set and consistent.
/// @return An `invalid_setting` error that names the flag, variable, value and remedy.
[[nodiscard]] base::result<void> check(const settings& value);

/// @brief The environment variable of a flag, such as `CHICORYLINK_PEER_LISTEN` for
/// `--peer-listen`.
[[nodiscard]] std::string environment_variable_of(const std::string& flag);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SETTINGS_HPP
