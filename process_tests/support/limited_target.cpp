#include "limited_target.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

/// The promise: this many times the limit, and a few requests more.
constexpr double promised_overage = 1.5;
constexpr std::size_t promised_slack = 5;

constexpr std::chrono::milliseconds work_time{20};

} // namespace

limited_target::limited_target(std::string name)
    : m_name(std::move(name)),
      m_target([this](scripted_target::http_exchange& exchange) { return respond(exchange); })
{
}

void limited_target::state_limit(std::string value)
{
    const std::lock_guard lock(m_mutex);
    m_limit = std::move(value);
}

bool limited_target::respond(scripted_target::http_exchange& exchange)
{
    std::string fields;
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back({clock::now(), exchange.id()});
        if (!m_limit.empty()) {
            fields = fmt::format("Server-Limit: {}\r\n", m_limit);
            m_first_stated_at = m_first_stated_at.value_or(m_arrivals.back().at);
        }
    }
    return exchange.pause(work_time) && exchange.send(exchange.response(m_name, fields));
}

std::size_t limited_target::arrivals_since(clock::time_point from)
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(
        m_arrivals.begin(), m_arrivals.end(), [&](const auto& entry) { return entry.at >= from; }));
}

std::size_t limited_target::most_arrivals(clock::duration window, clock::time_point from,
                                          const std::vector<excused_sender>& excused)
{
    const std::lock_guard lock(m_mutex);
    std::vector<clock::time_point> counted;
    for (const auto& entry : m_arrivals) {
        const bool is_excused =
            std::any_of(excused.begin(), excused.end(), [&](const auto& sender) {
                return entry.request_id.starts_with(sender.id_prefix) && entry.at >= sender.from &&
                       entry.at < sender.to;
            });
        if (entry.at >= from && !is_excused) {
            counted.push_back(entry.at);
        }
    }
    std::ptrdiff_t most = 0;
    for (auto first = counted.begin(); first != counted.end(); ++first) {
        most = std::max(most, std::count_if(first, counted.end(),
                                            [&](auto at) { return at < *first + window; }));
    }
    return static_cast<std::size_t>(most);
}

std::string limited_target::list_arrivals(clock::time_point from)
{
    const std::lock_guard lock(m_mutex);
    std::string lines;
    for (const auto& entry : m_arrivals) {
        if (entry.at >= from) {
            const auto after =
                std::chrono::duration_cast<std::chrono::milliseconds>(entry.at - from);
            lines += fmt::format("{} {}\n", after.count(), entry.request_id);
        }
    }
    return lines;
}

std::optional<limited_target::clock::time_point> limited_target::first_stated_at()
{
    const std::lock_guard lock(m_mutex);
    return m_first_stated_at;
}

std::size_t promised_arrivals(double per_second, std::chrono::seconds window)
{
    return static_cast<std::size_t>(promised_overage * per_second *
                                    static_cast<double>(window.count())) +
           promised_slack;
}

} // namespace chicorylink::process_tests
