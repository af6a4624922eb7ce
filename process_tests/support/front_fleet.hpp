#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_FRONT_FLEET_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_FRONT_FLEET_HPP

#include "child_process.hpp"
#include "http_call.hpp"
#include "stand_ins/published_store.hpp"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {

/// @brief Daemons of the users' platform as separate processes that read a stand-in store.
///
/// Each VM has its own loopback address; the ports are the same on all. Without other seeds the VM
/// at the first address is the seed of the others.
class front_fleet {
public:
    static constexpr int callers_port = 21821;
    static constexpr int ready_port = 21824;
    static constexpr int directory_port = 21820;
    static constexpr int control_port = 21829;
    static constexpr int peer_port = 21760;
    /// How long a withdrawn key may still work; set in the daemons' settings.
    static constexpr std::chrono::milliseconds withdrawal_bound{5000};

    /// @param binaries The build folder.
    /// @param name Name of the folder for settings and logs; it is removed at the end.
    front_fleet(const std::string& binaries, const std::string& name);
    ~front_fleet();
    front_fleet(const front_fleet&) = delete;
    front_fleet& operator=(const front_fleet&) = delete;
    front_fleet(front_fleet&&) = delete;
    front_fleet& operator=(front_fleet&&) = delete;

    /// @brief Starts a daemon at a loopback address and ends the one running there.
    void start(const std::string& ip, const std::string& region);

    /// @brief Sets the addresses of the VMs by which daemons started afterwards find the others.
    void set_seeds(std::vector<std::string> ips) { m_seeds = std::move(ips); }

    /// @brief Sets the store that daemons started afterwards read; by default the fleet's own.
    void set_store_address(std::string address) { m_store_address = std::move(address); }

    /// @brief Sets the retries beyond their ratio to requests, for daemons started afterwards.
    void set_retry_slack(double slack) { m_retry_slack = slack; }

    /// @brief Sets the memory that daemons started afterwards may use.
    void set_memory_mb(long memory_mb) { m_memory_mb = memory_mb; }

    /// @brief Publishes a target that is ready in data center `zone`.
    /// @param started_ms The start of its run, which tells runs of one name apart.
    /// @param version The version of its software.
    void publish_target(const std::string& name, const std::string& address,
                        const std::string& zone, std::int64_t started_ms = 1,
                        const std::string& version = "v1");

    /// @brief Publishes routes `/safe/`, `/unsafe/`, `/stream/`, `/west/` and `/west-stream/`, of
    /// which the last two run in region `west` only, and one team with these keys. The last one has
    /// 15 s, the others 4 s.
    /// @param dropped_path A route that is left out.
    void publish_config(int version, const std::vector<std::string>& keys,
                        const std::string& dropped_path = {});

    [[nodiscard]] static bool is_ready(const std::string& ip);

    /// @brief The VM addresses that a VM's directory lists for a region.
    /// @param host As it stands in the query.
    [[nodiscard]] static nlohmann::json directory(const std::string& ip, const std::string& region,
                                                  const std::string& host = "h");

    /// @brief A request of a caller to the VM at an address.
    [[nodiscard]] static call request(const std::string& ip, const std::string& path,
                                      const std::string& id, const std::string& key = "secret");

    [[nodiscard]] child_process& at(const std::string& ip) { return *m_vms.at(ip); }
    [[nodiscard]] const std::map<std::string, std::unique_ptr<child_process>>& vms() const
    {
        return m_vms;
    }
    void end_all() { m_vms.clear(); }
    [[nodiscard]] stand_ins::published_store& store() { return m_store; }
    [[nodiscard]] const std::filesystem::path& folder() const { return m_folder; }

private:
    std::string m_program;
    std::filesystem::path m_folder;
    std::vector<std::string> m_seeds;
    stand_ins::published_store m_store{"127.0.0.1:0"};
    std::string m_store_address = m_store.address();
    double m_retry_slack = 58;
    long m_memory_mb = 260;
    std::map<std::string, std::unique_ptr<child_process>> m_vms;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_FRONT_FLEET_HPP
