#include "stand_ins/target_control.hpp"

#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::stand_ins {
namespace {

constexpr std::string_view control_prefix = "/control/";
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::size_t max_recorded_texts = 20'000;

void record_text(std::set<std::string>& texts, const std::string& text)
{
    if (texts.size() < max_recorded_texts) {
        texts.insert(text);
    }
}

} // namespace

target_faults faults_from_json(const nlohmann::json& value)
{
    target_faults faults;
    faults.delay = std::chrono::milliseconds{value.value("delay_ms", 0)};
    faults.status = value.value("status", 0);
    faults.drop = value.value("drop", false);
    faults.run = value.value("run", false);
    faults.wrong_request_id = value.value("wrong_request_id", false);
    faults.stop_reading = value.value("stop_reading", false);
    if (value.contains("close_after")) {
        faults.close_after = value["close_after"].get<std::uint64_t>();
    }
    if (value.contains("count")) {
        faults.count = value["count"].get<std::uint64_t>();
    }
    return faults;
}

std::optional<http_response> target_control::respond(const http_request& request)
{
    if (!request.path.starts_with(control_prefix)) {
        return std::nullopt;
    }
    const auto call = request.path.substr(control_prefix.size());
    const std::lock_guard lock(m_mutex);
    try {
        if (call == "counters") {
            return counters_response();
        }
        if (call == "received") {
            return received_response(request.argument("contains"));
        }
        if (call == "reset") {
            m_counts.clear();
            m_runs_by_body.clear();
            m_runs_by_id.clear();
            m_received.clear();
            return json_response(200, nlohmann::json::object());
        }
        const auto body = nlohmann::json::parse(request.body);
        if (call == "faults") {
            m_faults = faults_from_json(body);
            return json_response(200, body);
        }
        if (call == "leaving") {
            m_leaving = body.at("leaving").get<bool>();
            return json_response(200, body);
        }
    }
    catch (const nlohmann::json::exception& failure) {
        return error_response(400, failure.what());
    }
    return error_response(404, "no such control call");
}

target_faults target_control::receive(const http_request& request)
{
    const std::lock_guard lock(m_mutex);
    record(request);
    auto faults = m_faults;
    if (m_faults.count) {
        if (*m_faults.count == 0) {
            return {};
        }
        --*m_faults.count;
    }
    return faults;
}

void target_control::record(const http_request& request)
{
    ++m_counts["requests"];
    for (const auto& [name, value] : request.headers) {
        record_text(m_received["header_names"], name);
        record_text(m_received["header_values"], value);
    }
    for (const auto& [name, value] : request.query) {
        record_text(m_received["query"], fmt::format("{}={}", name, value));
    }
    record_text(m_received["paths"], request.path);
    record_text(m_received["bodies"], request.body);
}

void target_control::wait_until_reading(const http_request& request)
{
    if (request.path.starts_with(control_prefix)) {
        return;
    }
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_faults.stop_reading) {
                return;
            }
        }
        if (request.client_closed()) {
            return;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

void target_control::count(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[name];
}

std::uint64_t target_control::count_run(const http_request& request)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts["runs"];
    ++m_runs_by_id[std::string(request.header("X-Request-Id"))];
    return ++m_runs_by_body[request.body];
}

bool target_control::leaving() const
{
    const std::lock_guard lock(m_mutex);
    return m_leaving;
}

http_response target_control::counters_response() const
{
    nlohmann::json value = m_counts;
    value["runs_by_body"] = m_runs_by_body;
    value["runs_by_id"] = m_runs_by_id;
    return json_response(200, value);
}

/// Lists the received texts, or the request parts in which a text was found.
http_response target_control::received_response(std::string_view search_text) const
{
    if (search_text.empty()) {
        return json_response(200, m_received);
    }
    auto found_in = nlohmann::json::array();
    for (const auto& [request_part, texts] : m_received) {
        for (const auto& text : texts) {
            if (text.find(search_text) != std::string::npos) {
                found_in.push_back(request_part);
                break;
            }
        }
    }
    return json_response(200, {{"found_in", found_in}});
}

} // namespace chicorylink::stand_ins
