// Bytes without end from targets, from the store and through other VMs must not take the process to
// its memory limit, at which it would end with the requests of all callers.

#include "scripted_vm.hpp"

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using http_exchange = scripted_target::http_exchange;
using tcp = boost::asio::ip::tcp;

/// Memory that the settings grant the process; it is killed beyond that.
constexpr long memory_mb = 96;
constexpr const char* west_vm = "127.0.20.2";
constexpr int callers = 200;
constexpr int targets = 4;

class response_memory : public scripted_vm {
protected:
    response_memory() : scripted_vm("127.0.20.1") { m_fleet.set_memory_mb(memory_mb); }

    /// Peak of the process's memory since its start.
    [[nodiscard]] long peak_kb() { return peak_kb_of(m_ip); }
    [[nodiscard]] long peak_kb_of(const std::string& ip)
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_fleet.at(ip).id()));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stol(line.substr(6));
            }
        }
        return 0;
    }

    void send_without_reading(const std::string& path, int number)
    {
        auto& caller = m_callers.emplace_back(m_loop);
        caller.open(tcp::v4());
        caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        caller.connect({boost::asio::ip::make_address(m_ip), front_fleet::callers_port});
        const auto request = fmt::format("POST {} HTTP/1.1\r\nHost: h\r\n"
                                         "X-Chicorylink-Request-Id: id-{}\r\n"
                                         "X-Chicorylink-Deadline-Ms: 4000\r\n"
                                         "X-Chicorylink-Key: secret\r\nContent-Length: 0\r\n\r\n",
                                         path, number);
        boost::asio::write(caller, boost::asio::buffer(request));
    }

    /// A target that sent invalid bytes may be left out for a moment.
    [[nodiscard]] bool serves_sound_request()
    {
        return wait_until(
            [this] {
                return send_request("/unsafe/x", fmt::format("sound-{}", ++m_sound_requests))
                           .body == "sound";
            },
            std::chrono::seconds{3});
    }

    /// Many callers at once get bytes without end; others are served, and memory stays bounded.
    void expect_bounded(const std::string& path, const std::string& fields,
                        const std::string& begin, const std::string& piece)
    {
        std::string block;
        while (block.size() < 32UL * 1024) {
            block += piece;
        }
        std::atomic<int> begun{0};
        for (int number = 0; number < targets; ++number) {
            serve([&](http_exchange& exchange) {
                if (exchange.path().starts_with("/unsafe/")) {
                    return exchange.send(exchange.response("sound"));
                }
                ++begun;
                auto is_connected = exchange.send(exchange.head(fields) + begin);
                while (is_connected) {
                    is_connected = exchange.send(block);
                }
                return false;
            });
            publish_slots(number + 1);
        }
        start();
        for (int number = 0; number < callers; ++number) {
            send_without_reading(path, number);
        }
        EXPECT_TRUE(wait_until([&] { return begun >= callers * 9 / 10; }, std::chrono::seconds{3}));
        for (int number = 0; number < 10; ++number) {
            EXPECT_EQ(send_request("/unsafe/x", fmt::format("sound-{}", number)).body, "sound");
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
        }
        EXPECT_LT(peak_kb(), memory_mb * 1024);
        EXPECT_TRUE(m_fleet.at(m_ip).running());
        m_callers.clear();
    }

    /// Gives a published target a place for each of its part of the callers, and more.
    void publish_slots(int number)
    {
        m_fleet.store().put(fmt::format("servers/i-{}", number),
                            nlohmann::json{{"service", "app"},
                                           {"address", m_targets.back()->address()},
                                           {"zone", "east-a"},
                                           {"slots", 90},
                                           {"state", "ready"},
                                           {"coldLeftMs", 0},
                                           {"sequence", 1},
                                           {"born", 1}}
                                .dump());
    }

    boost::asio::io_context m_loop;
    std::list<tcp::socket> m_callers;
    int m_sound_requests = 0;
};

// Guards against a sum of buffered bodies that grows with the number of callers that do not read.
TEST_F(response_memory, bodies_without_end_stay_within_the_limit)
{
    expect_bounded("/safe/x", "Content-Length: 1000000000000\r\n", {}, "y");
}

// The same for bodies whose framing is parsed piece by piece.
TEST_F(response_memory, bodies_in_chunks_without_end_stay_within_the_limit)
{
    expect_bounded("/safe/x", "Transfer-Encoding: chunked\r\n", {},
                   http_exchange::chunk(std::string(1024, 'y')));
}

// Guards against unfinished events of many streams, which are buffered until they are whole.
TEST_F(response_memory, events_without_end_stay_within_the_limit)
{
    expect_bounded("/stream/x",
                   "Content-Type: text/event-stream\r\nContent-Length: 1000000000000\r\n",
                   "id: 1\ndata: ", "y");
}

// Guards against events that are buffered for callers that do not read.
TEST_F(response_memory, streams_without_end_stay_within_the_limit)
{
    expect_bounded("/stream/x",
                   "Content-Type: text/event-stream\r\nContent-Length: 1000000000000\r\n",
                   "id: 1\ndata: y\n\n", "data: " + std::string(4096, 'y') + "\n\n");
}

// Guards against comments that are held back until the first event of a stream.
TEST_F(response_memory, comments_without_end_stay_within_the_limit)
{
    expect_bounded("/stream/x",
                   "Content-Type: text/event-stream\r\nContent-Length: 1000000000000\r\n", {},
                   ": " + std::string(4096, 'y') + "\n\n");
}

// Guards against streams of many small events that leave the process no time for other requests.
TEST_F(response_memory, small_events_without_end_let_other_requests_go_on)
{
    expect_bounded("/stream/x",
                   "Content-Type: text/event-stream\r\nContent-Length: 1000000000000\r\n",
                   "id: 1\ndata: y\n\n", "data: y\n\n");
}

// The same for comments.
TEST_F(response_memory, small_comments_without_end_let_other_requests_go_on)
{
    expect_bounded("/stream/x",
                   "Content-Type: text/event-stream\r\nContent-Length: 1000000000000\r\n", {},
                   ": still here\n\n");
}

// Guards against responses that are read on after their callers have gone.
TEST_F(response_memory, bytes_for_callers_that_have_gone_end_with_them)
{
    std::atomic<int> sending{0};
    serve([&](http_exchange& exchange) {
        ++sending;
        auto is_connected = exchange.send(exchange.head("Content-Length: 1000000000000\r\n"));
        while (is_connected) {
            is_connected = exchange.send(std::string(32UL * 1024, 'y'));
        }
        --sending;
        return false;
    });
    publish_slots(1);
    start();
    for (int number = 0; number < 20; ++number) {
        send_without_reading("/safe/x", number);
    }
    EXPECT_TRUE(wait_until([&] { return sending == 20; }, std::chrono::seconds{2}));
    m_callers.clear();
    EXPECT_TRUE(wait_until([&] { return sending == 0; }, std::chrono::seconds{1}));
    EXPECT_LT(peak_kb(), memory_mb * 1024);
}

// Guards against a sum of request bodies that grows with the number of callers: each body is within
// the limit of the configuration.
TEST_F(response_memory, large_requests_at_once_stay_within_the_limit)
{
    constexpr long usual_memory_mb = 260;
    constexpr int senders = 30;
    m_fleet.set_memory_mb(usual_memory_mb);
    serve([](http_exchange& exchange) {
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        return exchange.send(exchange.response("done"));
    });
    publish_slots(1);
    start();
    std::vector<std::thread> threads;
    threads.reserve(senders);
    for (int number = 0; number < senders; ++number) {
        threads.emplace_back([this, number] {
            auto outgoing = front_fleet::request(m_ip, "/safe/x", fmt::format("id-{}", number));
            outgoing.body = std::string(4'000'000, 'y');
            (void)perform(outgoing);
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_LT(peak_kb(), usual_memory_mb * 1024);
}

/// One form of bytes without end: what comes first, and what is repeated behind it.
struct endless_form {
    std::string name;
    std::string begin;
    std::string piece;
};

/// All forms that a response can take.
/// @param head Head of a response to the request, up to its framing fields.
std::vector<endless_form> endless_forms(const std::function<std::string(std::string)>& head)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string long_body = "Content-Length: 1000000000000\r\n";
    return {
        {"a field", "HTTP/1.1 200 OK\r\nX-More: ", "y"},
        {"many fields", "HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
        {"blank lines", "", "\r\n"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"a body by length", head(long_body), "y"},
        {"a body by close", head("Connection: close\r\n"), "y"},
        {"chunks", head(chunked), http_exchange::chunk(std::string(1024, 'y'))},
        {"a chunk extension", head(chunked) + "5;", "y"},
        {"trailers", head(chunked) + "2\r\nok\r\n0\r\n", "X-More: y\r\n"},
        {"a body behind a complete answer", head("Content-Length: 2\r\n") + "ok", "y"},
        {"an answer to another request",
         "HTTP/1.1 200 OK\r\nX-Chicorylink-Request-Id: other\r\n" + long_body + "\r\n", "y"},
    };
}

bool send_endless(http_exchange& exchange, const endless_form& form)
{
    std::string block;
    while (block.size() < 32UL * 1024) {
        block += form.piece;
    }
    auto is_connected = exchange.send(form.begin);
    while (is_connected) {
        is_connected = exchange.send(block);
    }
    return false;
}

/// Sends the form whose number ends the path.
bool send_form_of_path(http_exchange& exchange)
{
    const auto path = exchange.path();
    const auto number = std::stoul(path.substr(path.rfind('/') + 1));
    return send_endless(exchange, endless_forms([&](const std::string& fields) {
                                      return exchange.head(fields);
                                  }).at(number));
}

std::size_t form_count()
{
    return endless_forms([](const std::string& fields) { return fields; }).size();
}

/// The forms as a store's response.
endless_form store_form(std::size_t number)
{
    const auto head = [](const std::string& fields) {
        return "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
    };
    return endless_forms(head).at(number);
}

// Guards against a form of response whose bytes are kept without bound, for callers that do not
// read and for callers that have gone; other requests go on.
TEST_F(response_memory, every_form_of_a_targets_endless_bytes_is_bounded)
{
    serve([&](http_exchange& exchange) {
        return exchange.path().starts_with("/unsafe/") ? exchange.send(exchange.response("sound"))
                                                       : send_form_of_path(exchange);
    });
    publish_slots(1);
    start();
    for (std::size_t form = 0; form < form_count(); ++form) {
        SCOPED_TRACE(form);
        for (int number = 0; number < 20; ++number) {
            send_without_reading(fmt::format("/safe/{}", form),
                                 static_cast<int>(form) * 100 + number);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
        m_callers.clear();
        EXPECT_TRUE(serves_sound_request());
        EXPECT_LT(peak_kb(), memory_mb * 1024);
    }
}

// The same at a VM that forwards the requests to another region.
TEST_F(response_memory, every_form_through_another_vm_is_bounded)
{
    serve(&send_form_of_path);
    m_fleet.publish_target("i-1", m_targets.back()->address(), "west-a");
    start();
    m_fleet.start(west_vm, "west");
    EXPECT_TRUE(
        wait_until([&] { return front_fleet::is_ready(west_vm); }, std::chrono::seconds{10}));
    std::this_thread::sleep_for(std::chrono::seconds{2});
    for (std::size_t form = 0; form < form_count(); ++form) {
        SCOPED_TRACE(form);
        for (int number = 0; number < 20; ++number) {
            send_without_reading(fmt::format("/west/{}", form),
                                 static_cast<int>(form) * 100 + number);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
        m_callers.clear();
        EXPECT_LT(peak_kb(), memory_mb * 1024);
        EXPECT_LT(peak_kb_of(west_vm), memory_mb * 1024);
    }
    EXPECT_GT(m_targets.back()->request_count(), 0);
    EXPECT_TRUE(m_fleet.at(m_ip).running() && m_fleet.at(west_vm).running());
}

// Guards against answers of the store that are buffered until they end. Copies from other VMs are
// read by the same client.
TEST_F(response_memory, every_form_of_the_stores_endless_bytes_is_bounded)
{
    std::atomic<std::size_t> answers{0};
    const scripted_target store([&](http_exchange& exchange) {
        return send_endless(exchange, store_form(answers++ % form_count()));
    });
    m_fleet.set_store_address(store.address());
    m_fleet.start(m_ip, "east");
    EXPECT_TRUE(wait_until([&] { return answers > form_count(); }, std::chrono::seconds{40}));
    EXPECT_TRUE(m_fleet.at(m_ip).running());
    EXPECT_LT(peak_kb(), memory_mb * 1024);
}

} // namespace
} // namespace chicorylink::process_tests
