#include "chicorylink/platform/load_report.hpp"

#include "chicorylink/platform/json_reading.hpp"

#include <charconv>
#include <string>

namespace chicorylink::platform {
namespace {

constexpr int hexadecimal = 16;

load_report read_report(const nlohmann::json& response)
{
    load_report report;
    report.running = response.at("running").get<std::uint32_t>();
    report.waiting = response.at("waiting").get<std::uint32_t>();
    report.slots = response.at("slots").get<std::uint32_t>();
    report.leaving = response.value("leaving", false);
    report.age = base::milliseconds{response.value("age_ms", std::int64_t{0})};
    for (const auto& entry : response.value("cached", nlohmann::json::array())) {
        const auto text = entry.get<std::string>();
        std::uint64_t hash = 0;
        std::from_chars(text.data(), text.data() + text.size(), hash, hexadecimal);
        report.cached.push_back(hash);
    }
    return report;
}

std::optional<std::uint32_t> field_of(std::string_view value, std::string_view name)
{
    const auto start = value.find(name);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(start + name.size());
    std::uint32_t number = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return number;
}

} // namespace

base::result<load_report> parse_load_report(std::string_view text)
{
    return read_json(text, "the load report", read_report);
}

std::optional<load_report> parse_load_header(std::string_view value)
{
    const auto running = field_of(value, "running=");
    const auto waiting = field_of(value, "waiting=");
    const auto slots = field_of(value, "slots=");
    if (!running || !waiting || !slots) {
        return std::nullopt;
    }
    load_report report;
    report.running = *running;
    report.waiting = *waiting;
    report.slots = *slots;
    return report;
}

} // namespace chicorylink::platform
