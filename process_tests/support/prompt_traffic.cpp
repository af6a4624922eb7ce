#include "prompt_traffic.hpp"

#include "front_fleet.hpp"
#include "http_call.hpp"

#include <random>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;

constexpr unsigned callers_per_vm = 3;
constexpr unsigned sessions = 4;
constexpr milliseconds deadly_interval{500};
constexpr unsigned most_pause_ms = 250;

constexpr int success_status = 200;
constexpr const char* quarantine_reason = "prompt_part_quarantined";

constexpr const char* common_part = "c0ffee01:64";

std::string session_part(unsigned number)
{
    return fmt::format("5e5510{:02x}:32", number % sessions);
}

} // namespace

prompt_traffic::prompt_traffic(std::vector<std::string> vms, std::string deadly_part, unsigned seed)
    : m_vms(std::move(vms)), m_deadly_part(std::move(deadly_part)), m_seed(seed)
{
}

prompt_traffic::~prompt_traffic()
{
    stop();
}

void prompt_traffic::start_sound()
{
    for (unsigned number = 0; number < m_vms.size() * callers_per_vm; ++number) {
        m_callers.emplace_back(
            [this, number] { send_sound(m_vms[number % m_vms.size()], number); });
    }
}

void prompt_traffic::start_deadly()
{
    m_callers.emplace_back([this] { send_deadly_in_turn(); });
}

void prompt_traffic::stop()
{
    m_is_stopping = true;
    for (auto& caller : m_callers) {
        caller.join();
    }
    m_callers.clear();
}

std::vector<prompt_traffic::outcome> prompt_traffic::outcomes()
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes;
}

void prompt_traffic::send_sound(const std::string& vm, unsigned caller)
{
    std::mt19937 random(m_seed * 1000 + caller);
    while (!m_is_stopping) {
        send(vm, "sound", fmt::format("{},{}", common_part, session_part(random() % sessions)));
        std::this_thread::sleep_for(milliseconds{random() % most_pause_ms});
    }
}

void prompt_traffic::send_deadly_in_turn()
{
    std::vector<std::thread> requests;
    for (std::size_t turn = 0; !m_is_stopping; ++turn) {
        const auto& vm = m_vms[turn % m_vms.size()];
        requests.emplace_back([this, vm] { send_deadly(vm); });
        std::this_thread::sleep_for(deadly_interval);
    }
    for (auto& request : requests) {
        request.join();
    }
}

prompt_traffic::outcome prompt_traffic::send_deadly(const std::string& vm)
{
    const auto number = m_sent.load();
    const auto session = session_part(number);
    // The deadly part may stand behind a session's part, before it, or without one.
    const auto behind_common = number % 3 == 0   ? fmt::format("{},{}:48", session, m_deadly_part)
                               : number % 3 == 1 ? fmt::format("{}:48,{}", m_deadly_part, session)
                                                 : fmt::format("{}:48", m_deadly_part);
    return send(vm, "deadly", fmt::format("{},{}", common_part, behind_common));
}

prompt_traffic::outcome prompt_traffic::send(const std::string& vm, const std::string& kind,
                                             const std::string& parts)
{
    const auto number = ++m_sent;
    outcome result;
    result.request_id = fmt::format("{}-{}-{}", vm, kind, number);
    result.vm = vm;
    result.is_deadly = kind == "deadly";
    auto outgoing = front_fleet::request(vm, "/stream/x", result.request_id);
    outgoing.headers.emplace_back("X-Chicorylink-Model: m");
    outgoing.headers.emplace_back("X-Chicorylink-Token-Count: 160,8");
    outgoing.headers.push_back(
        fmt::format("X-Chicorylink-Prompt-Prefix: {},{:08x}:16", parts, number));
    result.begin = clock::now();
    const auto response = perform(outgoing);
    result.took = clock::now() - result.begin;
    result.status = response.status;
    result.complete = response.complete;
    const auto retry_after = response.header("retry-after");
    result.retry_after_s = retry_after.empty() ? 0 : std::stod(retry_after);
    result.is_quarantined = response.status != success_status &&
                            response.body.find(quarantine_reason) != std::string::npos;
    const std::lock_guard lock(m_mutex);
    m_outcomes.push_back(result);
    return result;
}

} // namespace chicorylink::process_tests
