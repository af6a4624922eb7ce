#include "chicorylink/base/log.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/daemon_core.hpp"
#include "chicorylink/gateway/ticket_manager.hpp"

#include <thread>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds check_interval{20};
constexpr base::milliseconds max_budget_drain_time{5'000};

/// Waits until a condition holds; returns whether it held in time.
template <class Condition>
bool wait_for(const services& deps, base::nanoseconds timeout, Condition condition)
{
    const auto deadline = deps.now() + timeout;
    while (!condition()) {
        if (deps.now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

} // namespace

void daemon_core::stop()
{
    m_audit.add("leaving", {{"vm", m_config.vm}, {"requests", m_requests.size()}});
    m_services.leaving = true;
    m_tickets->close();
    m_loop.post([this] { m_cluster->set_leaving(); });
    wait_for_requests();
    wait_for_budget();
    m_callers->stop_listening();
    base::log(base::log_level::info, "stopped", {{"requests_left", m_requests.size()}});
}

/// The listener stays open meanwhile, so new requests get a refusal that names other VMs.
void daemon_core::wait_for_requests()
{
    const auto notice_until = m_services.now() + m_config.drain_notice;
    wait_for(m_services, m_config.drain_limit, [&] {
        const bool idle = m_requests.size() == 0 && m_callers->open_requests() == 0;
        return idle && m_services.now() >= notice_until;
    });
}

void daemon_core::wait_for_budget()
{
    m_budget->drain();
    wait_for(m_services, max_budget_drain_time, [&] { return m_budget->drained(); });
}

} // namespace chicorylink::gateway
