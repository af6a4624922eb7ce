#include "chicorylink/fleet/service_returns.hpp"

namespace chicorylink::fleet {
namespace {

constexpr double ms_per_second = 1000;

} // namespace

void service_returns::note_begun(const service_name& service, base::time_point now)
{
    m_services[service].begins.note(now);
}

std::optional<double> service_returns::per_second(const service_name& service,
                                                  base::time_point now) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? std::nullopt : known->second.begins.per_second(now);
}

std::optional<scheduling::return_time> service_returns::reserve(const service_name& service,
                                                                scheduling::return_request request,
                                                                base::time_point now)
{
    const auto rate = per_second(service, now);
    if (!rate) {
        return std::nullopt;
    }
    request.per_second = *rate;
    return m_services[service].slots.reserve(request, now);
}

base::milliseconds service_returns::reserved_wait(const service_name& service,
                                                  base::milliseconds longest_wait,
                                                  std::uint8_t urgency, base::time_point now) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        return base::milliseconds{0};
    }
    const auto due = known->second.slots.due_within(longest_wait, urgency, now);
    const auto rate = due == 0 ? std::nullopt : known->second.begins.per_second(now);
    if (!rate) {
        return base::milliseconds{0};
    }
    return base::milliseconds{static_cast<std::int64_t>(due / *rate * ms_per_second)};
}

} // namespace chicorylink::fleet
