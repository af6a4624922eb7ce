#include "stand_ins/platform_state.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

namespace chicorylink::stand_ins {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::string_view parts_prefix = "/v1/config/parts/";
constexpr std::string_view weights_prefix = "/v1/weights/";
constexpr std::string_view control_prefix = "/control/";
constexpr std::chrono::milliseconds poll_interval{50};
constexpr std::chrono::milliseconds max_wait{60'000};
constexpr std::size_t weights_size = 65'536;
constexpr const char* default_salt = "9f86d081884c7d65";

std::uint64_t number_of(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_response text_response(std::string body)
{
    http_response response;
    response.content_type = "text/plain";
    response.body = std::move(body);
    return response;
}

void increment_sequence(nlohmann::json& list)
{
    list["sequence"] = list["sequence"].get<std::uint64_t>() + 1;
}

} // namespace

http_response platform_state::respond(const http_request& request)
{
    if (!request.path.starts_with(control_prefix)) {
        return handle_platform(request);
    }
    try {
        return handle_control(request);
    }
    catch (const nlohmann::json::exception& failure) {
        return error_response(400, failure.what());
    }
}

http_response platform_state::handle_platform(const http_request& request)
{
    std::unique_lock lock(m_mutex);
    if (m_mode == mode::drop) {
        ++m_counts["dropped"];
        http_response response;
        response.drop = true;
        return response;
    }
    if (m_mode == mode::error) {
        ++m_counts["failed"];
        return error_response(503, "the service is down");
    }
    if (request.path.starts_with(weights_prefix)) {
        return handle_weights(request);
    }
    if (!m_calls.take(clock::now())) {
        ++m_counts["refused"];
        return error_response(429, "over the rate of the service");
    }
    if (request.path == "/v1/config/manifest") {
        return handle_manifest(request, lock);
    }
    if (request.path.starts_with(parts_prefix)) {
        return handle_part(request);
    }
    if (request.path == "/v1/vms") {
        ++m_counts["vms"];
        return json_response(200, m_vms);
    }
    if (request.path == "/v1/targets") {
        ++m_counts["targets"];
        return json_response(200, m_targets);
    }
    if (request.path == "/v1/directory") {
        ++m_counts["directory"];
        return json_response(200, m_directory);
    }
    return error_response(404, "no such call");
}

http_response platform_state::handle_manifest(const http_request& request,
                                              std::unique_lock<std::mutex>& lock)
{
    ++m_counts["manifest"];
    const auto after = number_of(request.argument("after"));
    const std::chrono::milliseconds wait(number_of(request.argument("wait_ms")));
    const auto deadline = clock::now() + std::min(wait, max_wait);
    while (true) {
        if (!m_folder.empty()) {
            m_config.load(m_folder);
        }
        const auto newest = m_config.newest();
        if (newest && newest->first > after) {
            return text_response(newest->second);
        }
        if (clock::now() >= deadline || m_mode != mode::up || request.client_closed()) {
            http_response response;
            response.status = 304;
            response.drop = m_mode == mode::drop;
            return response;
        }
        m_published.wait_until(lock, std::min(deadline, clock::now() + poll_interval));
    }
}

http_response platform_state::handle_part(const http_request& request)
{
    ++m_counts["parts"];
    auto contents = m_config.part(request.path.substr(parts_prefix.size()));
    if (!contents) {
        return error_response(404, "no such part");
    }
    m_counts["part_bytes"] += contents->size();
    return text_response(std::move(*contents));
}

http_response platform_state::handle_weights(const http_request& request)
{
    const std::string region(request.argument("region"));
    const auto bucket = m_weight_calls.try_emplace(region, m_weight_rate).first;
    if (!bucket->second.take(clock::now())) {
        ++m_counts["weights_refused"];
        return error_response(429, "over the rate of the weight store");
    }
    ++m_counts["weights"];
    auto response = text_response(std::string(weights_size, 'w'));
    response.content_type = "application/octet-stream";
    return response;
}

http_response platform_state::handle_control(const http_request& request)
{
    const std::lock_guard lock(m_mutex);
    const auto call = request.path.substr(control_prefix.size());
    if (call == "calls") {
        return json_response(200, m_counts);
    }
    if (call == "rules") {
        return control_rules(request);
    }
    const auto body = nlohmann::json::parse(request.body);
    if (call == "mode") {
        return control_mode(body.at("mode").get<std::string>());
    }
    if (call == "stale") {
        m_config.set_max_version(body.at("version").get<std::uint64_t>());
        return json_response(200, body);
    }
    if (call == "corrupt") {
        m_config.corrupt(body.at("part").get<std::string>());
        return json_response(200, body);
    }
    if (call == "rate") {
        return control_rates(body);
    }
    if (call == "vm") {
        return control_entry(m_vms, body);
    }
    if (call == "target") {
        return control_entry(m_targets, body);
    }
    return control_list(call, body);
}

http_response platform_state::control_mode(const std::string& name)
{
    if (name != "up" && name != "drop" && name != "error") {
        return error_response(400, "mode is one of up, drop, error");
    }
    m_mode = name == "up" ? mode::up : name == "drop" ? mode::drop : mode::error;
    m_published.notify_all();
    return json_response(200, {{"mode", name}});
}

http_response platform_state::control_rules(const http_request& request)
{
    const auto salt = request.argument("salt");
    const auto published = m_config.publish(request.body, number_of(request.argument("version")),
                                            std::string(salt.empty() ? default_salt : salt));
    m_published.notify_all();
    return json_response(200, {{"version", published.version.value()},
                               {"salt", published.key_salt},
                               {"parts", published.parts.size()}});
}

http_response platform_state::control_list(const std::string& name, const nlohmann::json& body)
{
    if (name == "vms") {
        m_vms["vms"] = body.value("vms", m_vms["vms"]);
        m_vms["age_ms"] = body.value("age_ms", m_vms["age_ms"]);
        increment_sequence(m_vms);
        return json_response(200, m_vms);
    }
    if (name == "targets") {
        m_targets["targets"] = body.at("targets");
        increment_sequence(m_targets);
        return json_response(200, m_targets);
    }
    if (name == "directory") {
        m_directory["entries"] = body.at("entries");
        return json_response(200, m_directory);
    }
    return error_response(404, "no such control call");
}

/// Merges an entry into the one with the same name, or removes that one when its state is `gone`.
http_response platform_state::control_entry(nlohmann::json& list, const nlohmann::json& entry)
{
    auto& entries = list.contains("vms") ? list["vms"] : list["targets"];
    const auto& name = entry.at("name");
    auto updated = nlohmann::json::array();
    nlohmann::json merged;
    for (const auto& each : entries) {
        if (each.at("name") == name) {
            merged = each;
        }
        else {
            updated.push_back(each);
        }
    }
    merged.update(entry);
    if (merged.value("state", "live") != "gone") {
        updated.push_back(merged);
    }
    entries = std::move(updated);
    increment_sequence(list);
    return json_response(200, list);
}

http_response platform_state::control_rates(const nlohmann::json& body)
{
    if (body.contains("calls_per_second")) {
        m_calls = token_bucket{body["calls_per_second"].get<double>()};
    }
    if (body.contains("weights_per_second")) {
        m_weight_rate = body["weights_per_second"].get<double>();
        m_weight_calls.clear();
    }
    return json_response(200, body);
}

} // namespace chicorylink::stand_ins
