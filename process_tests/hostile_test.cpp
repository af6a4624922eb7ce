// Checks that the daemon survives targets of the users' platform that send invalid responses.

#include "raw_exchange.hpp"
#include "scripted_vm.hpp"

#include <chrono>
#include <fstream>
#include <mutex>
#include <thread>

#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

/// The deadline of the requests, which is the only bound of some responses.
constexpr milliseconds deadline{4000};

/// Limit on the memory growth caused by one connection. It leaves room for normal buffers: a head,
/// one event and the bytes buffered for a slow caller are each under a megabyte.
constexpr long memory_bound_kb = 16L * 1024;

class hostile : public scripted_vm {
protected:
    hostile() : scripted_vm("127.0.3.1") {}

    [[nodiscard]] long resident_kb()
    {
        std::ifstream status(fmt::format("/proc/{}/status", m_fleet.at(m_ip).id()));
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::stol(line.substr(6));
            }
        }
        return 0;
    }

    /// Serves a first request correctly, so that the connection is kept, then sends invalid bytes
    /// for the second. A third request must be served correctly again.
    void expect_contained_failure(const std::function<bool(http_exchange&)>& send_bytes,
                                  milliseconds max_duration)
    {
        std::atomic<bool> is_hostile{false};
        serve([&](http_exchange& exchange) {
            return is_hostile && exchange.id() == "id-2"
                       ? send_bytes(exchange)
                       : exchange.send(exchange.response("to " + exchange.id()));
        });
        start();
        EXPECT_EQ(send_request("/unsafe/x", "id-1").body, "to id-1");
        const auto before = resident_kb();
        is_hostile = true;
        auto hostile_call = front_fleet::request(m_ip, "/unsafe/x", "id-2");
        // Growing a buffer of hundreds of megabytes would count toward the duration.
        hostile_call.discard_body = true;
        const auto begin = std::chrono::steady_clock::now();
        const auto failed = perform(hostile_call);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, max_duration);
        // The request may have run, so it must be neither reported as not run nor retried.
        EXPECT_TRUE(failed.status == 502 || failed.status == 504 || !failed.complete)
            << failed.status;
        EXPECT_EQ(m_targets.front()->request_count("id-2"), 1);
        EXPECT_LT(resident_kb() - before, memory_bound_kb);
        EXPECT_EQ(send_request("/unsafe/x", "id-3").body, "to id-3");
    }
};

bool send_without_end(http_exchange& exchange, const std::string& begin, const std::string& piece)
{
    std::string block;
    while (block.size() < 32UL * 1024) {
        block += piece;
    }
    if (!exchange.send(begin)) {
        return false;
    }
    while (exchange.send(block)) {
    }
    return false;
}

TEST_F(hostile, a_head_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(exchange, "HTTP/1.1 200 OK\r\n", "X-More: y\r\n");
        },
        seconds{2});
}

TEST_F(hostile, blank_lines_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) { return send_without_end(exchange, "", "\r\n"); }, seconds{2});
}

TEST_F(hostile, non_http_bytes_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(exchange, "", std::string("\0\x1f\x8b", 3));
        },
        seconds{2});
}

TEST_F(hostile, a_chunk_size_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(exchange, exchange.head("Transfer-Encoding: chunked\r\n"), "0");
        },
        seconds{2});
}

TEST_F(hostile, a_chunk_size_of_two_to_the_64)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(
                exchange, exchange.head("Transfer-Encoding: chunked\r\n") + "10000000000000000\r\n",
                "y");
        },
        seconds{2});
}

TEST_F(hostile, a_trailer_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(
                exchange, exchange.head("Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n",
                "X: y\r\n");
        },
        seconds{2});
}

TEST_F(hostile, responses_to_other_requests_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(
                exchange, "",
                "HTTP/1.1 200 OK\r\nX-Chicorylink-Request-Id: other\r\n"
                "X-Chicorylink-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody");
        },
        seconds{2});
}

// An endless response is bounded only by the request's deadline; the caller sees it truncated.
TEST_F(hostile, a_body_without_end)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            return send_without_end(exchange, exchange.head("Transfer-Encoding: chunked\r\n"),
                                    http_exchange::chunk(std::string(1000, 'y')));
        },
        deadline + seconds{2});
}

TEST_F(hostile, a_slow_body_that_misses_the_deadline)
{
    expect_contained_failure(
        [](http_exchange& exchange) {
            auto is_connected = exchange.send(exchange.head("Content-Length: 1000\r\n"));
            while (is_connected) {
                is_connected = exchange.pause(milliseconds{200}) && exchange.send("y");
            }
            return false;
        },
        deadline + seconds{2});
}

// A caller that does not read must not make the VM buffer a response of unlimited size.
TEST_F(hostile, a_body_without_end_for_a_caller_that_does_not_read)
{
    std::atomic<std::size_t> sent{0};
    serve([&](http_exchange& exchange) {
        auto is_connected = exchange.send(exchange.head("Transfer-Encoding: chunked\r\n"));
        const auto piece = http_exchange::chunk(std::string(32UL * 1024, 'y'));
        while (is_connected) {
            is_connected = exchange.send(piece);
            sent += piece.size();
        }
        return false;
    });
    start();
    const auto before = resident_kb();
    boost::asio::ip::tcp::iostream caller;
    caller.connect(m_ip, std::to_string(front_fleet::callers_port));
    caller << "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: id-1\r\n"
              "X-Chicorylink-Deadline-Ms: 4000\r\nX-Chicorylink-Key: secret\r\n"
              "Content-Length: 0\r\n\r\n"
           << std::flush;
    EXPECT_TRUE(wait_until([&] { return sent > 1024UL * 1024; }, seconds{2}));
    std::this_thread::sleep_for(seconds{1});
    EXPECT_LT(resident_kb() - before, memory_bound_kb);
}

// A target sends a late duplicate of a response on a connection that was reused meanwhile; it must
// not be delivered for the next request.
TEST_F(hostile, a_second_copy_of_a_response_reaches_no_other_caller)
{
    std::string first;
    std::mutex mutex;
    serve([&](http_exchange& exchange) {
        const std::lock_guard lock(mutex);
        if (exchange.request_number() == 1) {
            first = exchange.response("to " + exchange.id());
            return exchange.send(first);
        }
        return exchange.send(first) && exchange.send(exchange.response("to " + exchange.id()));
    });
    start();
    for (int number = 1; number <= 6; ++number) {
        const auto id = fmt::format("id-{}", number);
        EXPECT_EQ(send_request("/unsafe/x", id).body, "to " + id);
    }
    EXPECT_GT(m_targets.front()->connections(), 1);
}

TEST_F(hostile, a_second_copy_without_request_id_reaches_no_other_caller)
{
    serve([](http_exchange& exchange) {
        const auto copy = "HTTP/1.1 200 OK\r\nX-Chicorylink-Server-Stamp: s\r\n"
                          "Content-Length: 5\r\n\r\nwrong";
        return (exchange.request_number() == 1 || exchange.send(copy)) &&
               exchange.send(exchange.response("to " + exchange.id()));
    });
    start();
    EXPECT_EQ(send_request("/unsafe/x", "id-1").body, "to id-1");
    const auto second = send_request("/unsafe/x", "id-2");
    EXPECT_EQ(second.status, 502);
    EXPECT_EQ(second.body.find("wrong"), std::string::npos);
    EXPECT_EQ(send_request("/unsafe/x", "id-3").body, "to id-3");
}

// The second copy of a failed response carries the id of its own request, which is retried.
TEST_F(hostile, a_second_copy_of_a_failure_is_not_the_response_to_a_retry)
{
    std::atomic<int> sent{0};
    serve([&](http_exchange& exchange) {
        if (sent++ == 0) {
            const auto failure = exchange.response("failed", "", 500);
            return exchange.send(failure) && exchange.pause(milliseconds{1}) &&
                   exchange.send(failure);
        }
        return exchange.send(exchange.response("to " + exchange.id()));
    });
    start();
    const auto result = send_request("/safe/x", "id-1");
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "to id-1");
    EXPECT_EQ(m_targets.front()->connections(), 2);
}

std::string event(int number)
{
    return http_exchange::chunk(fmt::format("id: {}\ndata: {}\n\n", number, number));
}

// Comments keep a connection open but don't show progress: the stream resumes at another target.
TEST_F(hostile, comments_do_not_keep_a_stalled_stream_alive)
{
    std::atomic<int> stalled{0};
    const auto script = [&](http_exchange& exchange) {
        auto is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                        "Transfer-Encoding: chunked\r\n"));
        if (stalled++ == 0) {
            is_connected = is_connected && exchange.send(event(1));
            while (is_connected) {
                is_connected = exchange.pause(milliseconds{50}) &&
                               exchange.send(http_exchange::chunk(": still here\n\n"));
            }
            return false;
        }
        return is_connected && exchange.send(event(2)) && exchange.send(event(3)) &&
               exchange.send("0\r\n\r\n");
    };
    serve(script);
    serve(script);
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto result = send_request("/stream/x", "id-1");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, deadline);
    EXPECT_TRUE(result.complete);
    EXPECT_NE(result.body.find("data: 3"), std::string::npos);
    EXPECT_EQ(m_targets[0]->request_count("id-1") + m_targets[1]->request_count("id-1"), 2);
}

// A slow stream that stays within the pause allowed by its route is not moved, while no other
// VM receives anything from the target.
TEST_F(hostile, a_slow_stream_within_the_allowed_pause_is_not_moved)
{
    serve([](http_exchange& exchange) {
        auto is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                        "Transfer-Encoding: chunked\r\n"));
        for (int number = 1; number <= 3 && is_connected; ++number) {
            is_connected = exchange.send(event(number)) && exchange.pause(milliseconds{1150});
        }
        return is_connected && exchange.send("0\r\n\r\n");
    });
    serve([](http_exchange& exchange) { return exchange.send(exchange.response("other")); });
    start();
    m_targets[1].reset();
    m_fleet.store().remove("servers/i-2");
    std::this_thread::sleep_for(seconds{1});
    const auto result = send_request("/stream/x", "id-1");
    EXPECT_TRUE(result.complete);
    EXPECT_NE(result.body.find("data: 3"), std::string::npos);
    EXPECT_EQ(m_targets[0]->request_count("id-1"), 1);
}

TEST_F(hostile, a_stalled_stream_without_alternative_is_not_aborted_before_its_deadline)
{
    serve([](http_exchange& exchange) {
        auto is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                        "Transfer-Encoding: chunked\r\n")) &&
                            exchange.send(event(1)) && exchange.pause(milliseconds{2600});
        return is_connected && exchange.send(event(2)) && exchange.send("0\r\n\r\n");
    });
    start();
    const auto result = send_request("/stream/x", "id-1");
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(m_targets[0]->request_count("id-1"), 1);
}

// Guards against a malformed message that ends the whole process.
TEST_F(hostile, malformed_messages_on_every_port_do_not_stop_the_daemon)
{
    serve([](http_exchange& exchange) {
        return exchange.send(exchange.response("to " + exchange.id()));
    });
    start();
    const std::string bad_fields = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                                   "X-Chicorylink-Request-Id: a\r\nX-Chicorylink-Key: secret\r\n"
                                   "X-Chicorylink-Deadline-Ms: 99999999999999999999\r\n"
                                   "X-Chicorylink-Token-Count: ,,,\r\n"
                                   "X-Chicorylink-Prompt-Prefix: :::,\r\n"
                                   "Chicorylink-Forwarded-Under: -7\r\nContent-Length: 0\r\n\r\n";
    const std::string huge_chunk = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n";
    const std::vector<std::string> bytes{
        std::string("\0\0\0\0", 4),
        "GET",
        "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GET /items?after=99999999999999999999999 HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /resolve?name=%&region=%00&zone HTTP/1.1\r\nHost: h\r\n\r\n",
        bad_fields,
        huge_chunk};
    for (const int port :
         {front_fleet::callers_port, front_fleet::ready_port, front_fleet::directory_port,
          front_fleet::control_port, front_fleet::peer_port}) {
        for (const auto& message : bytes) {
            (void)exchange_raw(fmt::format("{}:{}", m_ip, port), message, milliseconds{150});
        }
    }
    boost::asio::io_context loop;
    boost::asio::ip::udp::socket socket(loop, boost::asio::ip::udp::v4());
    for (const int port : {front_fleet::peer_port, front_fleet::peer_port + 1}) {
        for (std::size_t size = 0; size < 600; size += 7) {
            std::string noise(size, '\0');
            for (std::size_t at = 0; at < size; ++at) {
                noise[at] = static_cast<char>((at * 131 + size * 17) & 0xff);
            }
            if (size > 8) {
                noise.replace(4, 4, port == front_fleet::peer_port ? "CLHB" : "CLPL");
            }
            socket.send_to(boost::asio::buffer(noise),
                           {boost::asio::ip::make_address(m_ip), static_cast<std::uint16_t>(port)});
        }
    }
    EXPECT_EQ(send_request("/unsafe/x", "id-last").body, "to id-last");
    EXPECT_TRUE(m_fleet.at(m_ip).running());
}

} // namespace
} // namespace chicorylink::process_tests
