// Bytes of unfinished and waiting requests must not take the process to its memory limit or use up
// its descriptors, at which the requests of all callers would end.

#include "request_crowd.hpp"
#include "scripted_vm.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using http_exchange = scripted_target::http_exchange;
using tcp = boost::asio::ip::tcp;

/// Memory that the settings grant the process; the platform would end it beyond that.
constexpr long memory_mb = 96;

/// Connections of a crowd whose members send bodies, and of one whose members send heads only.
constexpr int body_senders = 60;
constexpr int head_senders = 400;

/// Open descriptors of the process with a crowd of any kind.
constexpr long max_descriptors = 500;
/// The same with 512 places for connections of callers.
constexpr long max_descriptors_of_places = 700;

/// The usual limits of the configuration.
constexpr std::size_t max_body_bytes = 4UL * 1024 * 1024;
constexpr std::size_t max_header_bytes = 16UL * 1024;

/// A crowd is quiet when no connection of it has taken a byte for this time.
constexpr std::chrono::milliseconds quiet_time{1000};
constexpr std::chrono::seconds longest_crowd{20};

class request_memory : public scripted_vm {
protected:
    request_memory() : scripted_vm("127.0.22.1") { m_fleet.set_memory_mb(memory_mb); }
    ~request_memory() override { stop_watching(); }
    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;
    request_memory(request_memory&&) = delete;
    request_memory& operator=(request_memory&&) = delete;

    /// Starts a VM with a target that takes a while for each request of the crowd.
    void start_with_slow_target()
    {
        serve([](http_exchange& exchange) {
            if (!exchange.path().starts_with("/unsafe/")) {
                std::this_thread::sleep_for(std::chrono::milliseconds{500});
            }
            return exchange.send(exchange.response("sound"));
        });
        start();
        m_watcher = std::thread([this, id = m_fleet.at(m_ip).id()] {
            while (!m_is_done) {
                m_descriptors = std::max<long>(m_descriptors, count_descriptors(id));
                std::this_thread::sleep_for(std::chrono::milliseconds{20});
            }
        });
    }

    /// A crowd sends; the process stays within its bounds and serves an ordinary request, while the
    /// connections of the crowd are open still.
    void expect_bounded(int senders, const std::function<crowd_message(int)>& message,
                        long descriptor_bound = max_descriptors)
    {
        start_with_slow_target();
        request_crowd crowd({boost::asio::ip::make_address(m_ip), front_fleet::callers_port});
        for (int number = 0; number < senders; ++number) {
            crowd.add(message(number));
        }
        crowd.send_until_quiet(quiet_time, longest_crowd);
        wait_until_read();
        EXPECT_TRUE(wait_until(
            [this] {
                return send_request("/unsafe/x", fmt::format("sound-{}", ++m_sound_requests))
                           .body == "sound";
            },
            std::chrono::seconds{20}));
        expect_within_bounds(descriptor_bound);
    }

    /// Waits until the process has read what the kernel holds for it: its peak grows no more.
    void wait_until_read()
    {
        for (long before = -1; before != peak_kb();) {
            before = peak_kb();
            std::this_thread::sleep_for(quiet_time);
        }
    }

    void expect_within_bounds(long descriptor_bound = max_descriptors)
    {
        EXPECT_FALSE(m_fleet.at(m_ip).wait(std::chrono::milliseconds{0}).has_value());
        const auto peak = peak_kb();
        stop_watching();
        RecordProperty("peak_kb", std::to_string(peak));
        RecordProperty("descriptors", std::to_string(m_descriptors));
        fmt::print("peak {} MB of {}, descriptors {} of {}, ordinary requests tried {}\n",
                   peak / 1024, memory_mb, m_descriptors.load(), descriptor_bound,
                   m_sound_requests);
        EXPECT_GT(peak, 0);
        EXPECT_LT(peak, memory_mb * 1024);
        EXPECT_LT(m_descriptors, descriptor_bound);
    }

    [[nodiscard]] static std::string head_of(int number, const std::string& fields)
    {
        return fmt::format("POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: id-{}\r\n"
                           "X-Chicorylink-Deadline-Ms: 4000\r\nX-Chicorylink-Key: secret\r\n{}",
                           number, fields);
    }
    [[nodiscard]] static std::string chunked_head(int number)
    {
        return head_of(number, "Transfer-Encoding: chunked\r\n\r\n");
    }

    /// A chunked body just below the limit, of which nine in ten stop short of its end.
    [[nodiscard]] static crowd_message chunked(int number, std::size_t chunk, std::size_t body)
    {
        const auto piece = http_exchange::chunk(std::string(chunk, 'y'));
        const auto bytes = body / chunk * piece.size();
        return {chunked_head(number), piece, bytes, number % 10 == 0 ? "0\r\n\r\n" : "0\r\n"};
    }

private:
    [[nodiscard]] static long count_descriptors(pid_t id)
    {
        std::error_code problem;
        const std::filesystem::directory_iterator open(fmt::format("/proc/{}/fd", id), problem);
        return problem ? 0 : std::distance(begin(open), end(open));
    }
    /// Peak of the process's memory since its start.
    [[nodiscard]] long peak_kb()
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_fleet.at(m_ip).id()));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stol(line.substr(6));
            }
        }
        return 0;
    }
    void stop_watching()
    {
        m_is_done = true;
        if (m_watcher.joinable()) {
            m_watcher.join();
        }
    }

    std::thread m_watcher;
    std::atomic<bool> m_is_done{false};
    std::atomic<long> m_descriptors{0};
    int m_sound_requests = 0;
};

// Guards against bodies over the limit that are read although their length is announced.
TEST_F(request_memory, announced_bodies_over_the_limit_are_bounded)
{
    expect_bounded(body_senders, [](int number) {
        return crowd_message{
            head_of(number, "Content-Length: 100000000\r\n\r\n"), "y", 16UL * 1024 * 1024, {}};
    });
}

// Guards against bodies over the limit whose length shows only as they are read.
TEST_F(request_memory, unannounced_bodies_over_the_limit_are_bounded)
{
    expect_bounded(body_senders, [](int number) {
        return crowd_message{chunked_head(number),
                             http_exchange::chunk(std::string(1024, 'y')),
                             16UL * 1024 * 1024,
                             {}};
    });
}

// Guards against a sum of announced bodies within the limit that never end.
TEST_F(request_memory, announced_bodies_that_stop_short_are_bounded)
{
    expect_bounded(body_senders, [](int number) {
        return crowd_message{
            head_of(number, fmt::format("Content-Length: {}\r\n\r\n", max_body_bytes)),
            "y",
            max_body_bytes - 1,
            {}};
    });
}

// Guards against a sum of bodies in large chunks within the limit, most of which never end.
TEST_F(request_memory, bodies_in_large_chunks_are_bounded)
{
    expect_bounded(body_senders,
                   [](int number) { return chunked(number, 64UL * 1024, max_body_bytes); });
}

// The same in very small chunks, whose framing takes more bytes and time than their content.
TEST_F(request_memory, bodies_in_very_small_chunks_are_bounded)
{
    expect_bounded(body_senders, [](int number) { return chunked(number, 2, max_body_bytes); });
}

// Guards against unfinished heads, by one long field and by many.
TEST_F(request_memory, unfinished_heads_are_bounded)
{
    expect_bounded(head_senders, [](int number) {
        return crowd_message{head_of(number, number % 2 == 0 ? "X-More: " : ""),
                             number % 2 == 0 ? "y" : "X-More: y\r\n",
                             max_header_bytes - 512,
                             {}};
    });
}

// Guards against heads that never end, which must be refused at the limit.
TEST_F(request_memory, heads_over_the_limit_are_bounded)
{
    expect_bounded(head_senders, [](int number) {
        return crowd_message{head_of(number, {}), "X-More: y\r\n", 256UL * 1024, {}};
    });
}

// Guards against trailers that never end, behind bodies within the limit.
TEST_F(request_memory, unfinished_trailers_are_bounded)
{
    expect_bounded(body_senders, [](int number) {
        auto message = chunked(number, 64UL * 1024, max_body_bytes);
        message.end = "0\r\n";
        while (message.end.size() < max_header_bytes - 512) {
            message.end += "X-More: y\r\n";
        }
        return message;
    });
}

// The same for chunk extensions.
TEST_F(request_memory, unfinished_chunk_extensions_are_bounded)
{
    expect_bounded(body_senders, [](int number) {
        auto message = chunked(number, 64UL * 1024, max_body_bytes);
        message.end = "5;x=" + std::string(max_header_bytes - 512, 'y');
        return message;
    });
}

// Guards against requests that are pipelined behind one that a target works on.
TEST_F(request_memory, pipelined_requests_are_bounded)
{
    expect_bounded(body_senders, [](int number) {
        const auto first =
            head_of(number, "Content-Length: 4000000\r\n\r\n") + std::string(4'000'000, 'y');
        return crowd_message{first, first, 4UL * first.size(), {}};
    });
}

// Guards against pipelined requests that are small and many.
TEST_F(request_memory, small_pipelined_requests_are_bounded)
{
    expect_bounded(head_senders, [](int number) {
        const auto request = head_of(number, "Content-Length: 0\r\n\r\n");
        return crowd_message{{}, request, 512UL * 1024, {}};
    });
}

// Guards against connections without requests that use up the descriptors. So little memory has
// places for 512 of them.
TEST_F(request_memory, connections_beyond_the_places_are_bounded)
{
    constexpr long small_memory_mb = 16;
    constexpr int idle_callers = 800;
    m_fleet.set_memory_mb(small_memory_mb);
    expect_bounded(
        idle_callers, [](int /*number*/) { return crowd_message{}; }, max_descriptors_of_places);
}

// Guards against a refusal for want of memory that does not say when to retry, or whose request
// reached a target.
TEST_F(request_memory, a_refused_request_has_not_run)
{
    start_with_slow_target();
    std::vector<std::thread> callers;
    callers.reserve(body_senders);
    std::vector<reply> replies(body_senders);
    for (int number = 0; number < body_senders; ++number) {
        callers.emplace_back([this, number, &replies] {
            auto outgoing = front_fleet::request(m_ip, "/unsafe/x", fmt::format("id-{}", number));
            outgoing.body = std::string(max_body_bytes, 'y');
            replies.at(number) = perform(outgoing);
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    int refused = 0;
    for (int number = 0; number < body_senders; ++number) {
        const auto& answer = replies.at(number);
        if (answer.status == 503 && answer.body.find("request_memory") != std::string::npos) {
            ++refused;
            EXPECT_FALSE(answer.header("retry-after").empty());
            EXPECT_EQ(m_targets.back()->request_count(fmt::format("id-{}", number)), 0);
        }
    }
    EXPECT_GT(refused, 0);
    fmt::print("refused {} of {}\n", refused, body_senders);
    expect_within_bounds();
}

// A single request within the limits is served in calm, also with the largest body and head.
TEST_F(request_memory, a_single_request_within_the_limits_is_served)
{
    start_with_slow_target();
    for (int number = 0; number < 5; ++number) {
        auto outgoing = front_fleet::request(m_ip, "/safe/x", fmt::format("large-{}", number));
        outgoing.body = std::string(max_body_bytes, 'y');
        outgoing.headers.push_back("X-More: " + std::string(max_header_bytes - 1024, 'y'));
        if (number % 2 == 1) {
            outgoing.headers.emplace_back("Transfer-Encoding: chunked");
        }
        const auto response = perform(outgoing);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "sound");
    }
    expect_within_bounds();
}

} // namespace
} // namespace chicorylink::process_tests
