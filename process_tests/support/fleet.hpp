#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_FLEET_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_FLEET_HPP

#include "child_process.hpp"
#include "http_call.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicorylink::process_tests {

/// @brief One daemon of a fleet and its addresses.
struct vm {
    std::string name;
    std::string region;
    std::string data_center;
    std::string callers;
    std::string peers;
    std::string operators;
    child_process process;

    [[nodiscard]] std::string url(const std::string& path) const;
    [[nodiscard]] std::string operators_url(const std::string& path) const;
};

/// @brief A platform, targets and daemons on loopback addresses with free ports. The destructor
/// ends every process by its id.
class fleet {
public:
    /// @param binaries The build folder.
    /// @param log_folder Receives one log file per process.
    fleet(std::string binaries, std::string log_folder);

    /// @brief Starts a model engine or a plain service.
    /// @param program `stand_in_engine` or `stand_in_service`.
    /// @return The address of the target.
    std::string start_target(const std::string& name, const std::string& program,
                             const std::vector<std::string>& options = {});

    /// @brief Publishes a rules text under the next version.
    std::uint64_t publish(const std::string& rules);

    /// @brief Starts a daemon and adds it to the platform's list.
    vm& start_vm(const std::string& name, const std::string& region,
                 const std::vector<std::string>& options = {});

    /// @brief Sets the TLS flags for peer links of daemons started afterwards. Links are plain text
    /// until this is called.
    void set_peer_flags(std::vector<std::string> flags) { m_peer_flags = std::move(flags); }

    /// @brief Restarts a daemon with its previous addresses.
    vm& restart_vm(const std::string& name);

    [[nodiscard]] vm& at(const std::string& name) { return m_vms.at(name); }
    [[nodiscard]] std::map<std::string, vm>& vms() { return m_vms; }
    [[nodiscard]] child_process& target(const std::string& name) { return m_targets.at(name); }
    [[nodiscard]] std::string target_address(const std::string& name) const;
    [[nodiscard]] std::string platform_address() const;

    /// @brief Makes a control call of the stand-in platform or of a target.
    reply control_platform(const std::string& call, const nlohmann::json& body) const;
    reply control_target(const std::string& name, const std::string& call,
                         const nlohmann::json& body) const;
    /// @brief A counter of a target; zero when it was never incremented.
    [[nodiscard]] std::uint64_t counter(const std::string& target, const std::string& name) const;

    /// @brief Waits until all daemons are ready and have a rules version in force.
    /// @return Whether that happened within the bound.
    [[nodiscard]] bool wait_ready(std::uint64_t version);

    /// @brief The version in force at a daemon; zero when the daemon does not respond.
    [[nodiscard]] static std::uint64_t version_at(const vm& daemon);

private:
    [[nodiscard]] std::string log_file_of(const std::string& name) const;
    void publish_vm(const vm& daemon) const;
    vm& launch(const std::string& name, const std::string& region, const std::string& listen,
               const std::string& peers, const std::string& operators);

    std::string m_binaries;
    std::string m_log_folder;
    child_process m_platform;
    std::map<std::string, child_process> m_targets;
    std::map<std::string, vm> m_vms;
    std::map<std::string, std::vector<std::string>> m_options;
    std::vector<std::string> m_peer_flags{"--peer-plaintext"};
    std::uint64_t m_version = 0;
};

/// @brief Polls a condition until it holds.
/// @return Whether it held within the bound. The bound only ends a test that would wait forever.
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds bound = std::chrono::seconds(30));

/// @brief The digest of a key for a `key` rule line, under the salt of the stand-in platform.
[[nodiscard]] std::string digest_of(const std::string& key);

/// @brief A chat completion call with a key.
[[nodiscard]] call chat_call(const std::string& url, const std::string& key,
                             const std::string& model, const std::string& prompt,
                             bool stream = false, int max_tokens = 8);

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_FLEET_HPP
