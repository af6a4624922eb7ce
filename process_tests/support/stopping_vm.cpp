#include "stopping_vm.hpp"

#include <csignal>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr int event_count = 60;
constexpr milliseconds event_interval{200};
constexpr int stream_deadline_ms = 15'000;

bool respond(http_exchange& exchange)
{
    if (exchange.path() == "/unsafe/silent") {
        return exchange.pause(seconds{12});
    }
    if (!exchange.path().starts_with("/stream/")) {
        return exchange.send(exchange.response("done"));
    }
    bool is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                    "Transfer-Encoding: chunked\r\n"));
    for (int number = 0; number < event_count && is_connected; ++number) {
        is_connected =
            exchange.send(http_exchange::chunk(fmt::format("id: {}\ndata: x\n\n", number))) &&
            exchange.pause(event_interval);
    }
    return is_connected && exchange.send("0\r\n\r\n");
}

} // namespace

std::string request_bytes(const std::string& id, const std::string& path, int deadline_ms,
                          const std::string& framing, const std::string& body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {}\r\n"
                       "X-Chicorylink-Deadline-Ms: {}\r\nX-Chicorylink-Key: secret\r\n{}\r\n\r\n{}",
                       path, id, deadline_ms, framing, body);
}

stopping_vm::stopping_vm(std::string ip)
    : m_ip(std::move(ip)), m_target(respond), m_fleet(binaries(), "chicorylink_stopping_" + m_ip)
{
}

void stopping_vm::start(const nlohmann::json& limits)
{
    const auto route = [](const std::string& path, const std::string& kind) {
        return nlohmann::json{{"name", path}, {"host", "h"},        {"pathPrefix", path},
                              {"kind", kind}, {"timeoutMs", 15000}, {"service", "app"}};
    };
    m_fleet.store().put("op/config",
                        nlohmann::json{{"version", 1},
                                       {"routes",
                                        {route("/safe/", "safe"), route("/unsafe/", "unsafe"),
                                         route("/stream/", "streaming")}},
                                       {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                                       {"tenants", {{{"name", "cards"}, {"apiKeys", {"secret"}}}}},
                                       {"limits", limits}}
                            .dump());
    m_fleet.publish_target("i-only", m_target.address(), "east-a");
    m_fleet.start(m_ip, "east");
    ASSERT_TRUE(wait_until([this] { return front_fleet::is_ready(m_ip); }, seconds{10}));
}

void stopping_vm::start_stream()
{
    m_stream = std::make_unique<raw_connection>(m_ip, front_fleet::callers_port);
    ASSERT_TRUE(m_stream->send(request_bytes("stream", "/stream/x", stream_deadline_ms)));
    ASSERT_TRUE(wait_until([this] { return m_target.request_count("stream") == 1; }, seconds{2}));
}

void stopping_vm::begin_stop()
{
    m_fleet.at(m_ip).signal(SIGTERM);
    m_stopped_at = clock::now();
}

void stopping_vm::wait_after_signal(milliseconds time) const
{
    std::this_thread::sleep_until(m_stopped_at + time);
}

void stopping_vm::pause_until(milliseconds after_signal, const std::function<void()>& send)
{
    ASSERT_TRUE(m_fleet.at(m_ip).pause());
    // Its timers are due before anything arrives.
    std::this_thread::sleep_for(milliseconds{100});
    send();
    wait_after_signal(after_signal);
    m_fleet.at(m_ip).signal(SIGCONT);
}

void stopping_vm::expect_replies(const std::vector<described_connection>& connections, int status)
{
    for (const auto& [what, connection] : connections) {
        const auto reply = connection->read(patience);
        EXPECT_EQ(reply.status, status) << what << ": " << reply.problem;
        EXPECT_TRUE(reply.complete) << what << ": " << reply.problem;
        if (reply.status == 503) {
            EXPECT_GT(reply.retry_after_s(), 0) << what << ": " << reply.bytes;
        }
    }
}

} // namespace chicorylink::process_tests
