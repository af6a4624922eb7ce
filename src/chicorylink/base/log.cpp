#include "chicorylink/base/log.hpp"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::base {
namespace {

struct log_state {
    std::atomic<log_level> min_level{log_level::info};
    std::mutex mutex;
    nlohmann::json context = nlohmann::json::object();
};

log_state& state()
{
    static log_state instance;
    return instance;
}

std::string_view level_name(log_level level)
{
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "info";
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds);
    const std::time_t utc_time = std::chrono::system_clock::to_time_t(seconds);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(utc_time), millis.count());
}

void write_line(std::string_view level, std::string_view event, const nlohmann::json& fields)
{
    nlohmann::ordered_json line;
    line["time"] = timestamp();
    line["level"] = level;
    line["event"] = event;
    const std::lock_guard lock(state().mutex);
    for (const auto& [name, value] : state().context.items()) {
        line[name] = value;
    }
    for (const auto& [name, value] : fields.items()) {
        line[name] = value;
    }
    const auto text =
        line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    fmt::print(stderr, "{}", text);
}

} // namespace

void set_log_level(log_level level)
{
    state().min_level = level;
}

void set_log_context(const nlohmann::json& fields)
{
    const std::lock_guard lock(state().mutex);
    state().context = fields;
}

void log(log_level level, std::string_view event, const nlohmann::json& fields)
{
    if (level < state().min_level.load(std::memory_order_relaxed)) {
        return;
    }
    write_line(level_name(level), event, fields);
}

void audit(std::string_view event, const nlohmann::json& fields)
{
    write_line("audit", event, fields);
}

} // namespace chicorylink::base
