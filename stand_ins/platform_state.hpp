#ifndef CHICORYLINK_STAND_INS_PLATFORM_STATE_HPP
#define CHICORYLINK_STAND_INS_PLATFORM_STATE_HPP

#include "stand_ins/config_store.hpp"
#include "stand_ins/http_request.hpp"
#include "stand_ins/http_response.hpp"
#include "stand_ins/token_bucket.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace chicorylink::stand_ins {

/// @brief The services of the platform and the control calls that let tests change them.
class platform_state {
public:
    /// @param folder Folder of published rules; empty for none.
    explicit platform_state(std::string folder) : m_folder(std::move(folder)) {}

    /// @brief Handles one call of docs/PLATFORM.md or one control call.
    [[nodiscard]] http_response respond(const http_request& request);

private:
    /// Whether the platform responds, drops connections or fails each call.
    enum class mode { up, drop, error };

    http_response handle_platform(const http_request& request);
    http_response handle_manifest(const http_request& request, std::unique_lock<std::mutex>& lock);
    http_response handle_part(const http_request& request);
    http_response handle_weights(const http_request& request);
    http_response handle_control(const http_request& request);
    http_response control_mode(const std::string& name);
    http_response control_rules(const http_request& request);
    http_response control_list(const std::string& name, const nlohmann::json& body);
    http_response control_entry(nlohmann::json& list, const nlohmann::json& entry);
    http_response control_rates(const nlohmann::json& body);

    std::mutex m_mutex;
    std::condition_variable m_published;
    std::string m_folder;
    config_store m_config;
    mode m_mode = mode::up;
    nlohmann::json m_vms = {{"sequence", 1}, {"age_ms", 0}, {"vms", nlohmann::json::array()}};
    nlohmann::json m_targets = {{"sequence", 1}, {"targets", nlohmann::json::array()}};
    nlohmann::json m_directory = {{"entries", nlohmann::json::array()}};
    token_bucket m_calls{2000};
    double m_weight_rate = 10;
    std::map<std::string, token_bucket> m_weight_calls;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_PLATFORM_STATE_HPP
