#include "two_region_targets.hpp"

#include "suite.hpp"

#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::process_tests {

using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

two_region_targets::two_region_targets(const std::string& name, std::string west_ip,
                                       std::string east_ip)
    : m_west_ip(std::move(west_ip)), m_east_ip(std::move(east_ip)), m_fleet(binaries(), name)
{
}

void two_region_targets::start(int targets, scripted_target::body_reading reading)
{
    m_fleet.publish_config(1, {"secret"});
    for (int number = 1; number <= targets; ++number) {
        m_targets.push_back(std::make_unique<scripted_target>(
            [this](http_exchange& exchange) { return chosen(exchange)(exchange); }, "127.0.0.1", 0,
            reading));
        m_fleet.publish_target(fmt::format("i-{}", number), m_targets.back()->address(), "west-a");
    }
    m_fleet.start(m_west_ip, "west");
    m_fleet.start(m_east_ip, "east");
    for (const auto& ip : {m_west_ip, m_east_ip}) {
        ASSERT_TRUE(wait_until([&ip] { return front_fleet::is_ready(ip); }, seconds{10}));
    }
    ASSERT_TRUE(wait_until(
        [this] { return send(m_east_ip, "/safe/x", serve_whole(), serve_whole()).status == 200; },
        seconds{5}));
}

reply two_region_targets::send(const std::string& ip, const std::string& path, script first,
                               script next, const std::string& body)
{
    m_last_id = fmt::format("id-{}", ++m_requests);
    {
        const std::lock_guard lock(m_mutex);
        m_first = std::move(first);
        m_next = std::move(next);
    }
    auto request = front_fleet::request(ip, path, m_last_id);
    request.body = body;
    return perform(request);
}

void two_region_targets::succeed(const std::string& ip, bool keep)
{
    const auto serve = [keep](http_exchange& exchange) {
        return exchange.send(exchange.response("ok", keep ? "" : "Connection: close\r\n"));
    };
    ASSERT_EQ(send(ip, "/unsafe/x", serve, serve).body, "ok");
}

two_region_targets::script two_region_targets::serve_whole()
{
    return [](http_exchange& exchange) {
        return exchange.send(exchange.response(std::string{whole_body}));
    };
}

int two_region_targets::sends() const
{
    int sum = 0;
    for (const auto& target : m_targets) {
        sum += target->request_count(m_last_id);
    }
    return sum;
}

two_region_targets::script two_region_targets::chosen(const http_exchange& exchange)
{
    const std::lock_guard lock(m_mutex);
    return m_turns[exchange.id()]++ == 0 ? m_first : m_next;
}

} // namespace chicorylink::process_tests
