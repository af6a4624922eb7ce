// Targets of the users' platform that send what is no answer, and what the daemon makes of it.

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
using visit = scripted_target::visit;

/// The deadline of the requests; what only ends there has no other bound.
constexpr milliseconds deadline{4000};

/// What one connection may make the daemon hold, with room for what it holds anyway: a head, one
/// event and the bytes that wait for a slow caller are each under a megabyte.
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

    /// Serves a first request well, so that a connection is kept, then lets bytes come for the
    /// second. Afterwards a third is served well.
    void expect_failure_without_harm(const std::function<bool(visit&)>& send_bytes,
                                     milliseconds longest)
    {
        std::atomic<bool> is_hostile{false};
        serve([&](visit& one) {
            return is_hostile && one.id() == "id-2" ? send_bytes(one)
                                                    : one.send(one.answer("to " + one.id()));
        });
        start();
        EXPECT_EQ(ask("/unsafe/x", "id-1").body, "to id-1");
        const auto before = resident_kb();
        is_hostile = true;
        const auto begin = std::chrono::steady_clock::now();
        const auto failed = ask("/unsafe/x", "id-2");
        EXPECT_LT(std::chrono::steady_clock::now() - begin, longest);
        // It may have run: nothing is claimed and nothing is run again.
        EXPECT_TRUE(failed.status == 502 || failed.status == 504 || !failed.whole)
            << failed.status << " " << failed.body;
        EXPECT_EQ(m_targets.front()->arrivals("id-2"), 1);
        EXPECT_LT(resident_kb() - before, memory_bound_kb);
        EXPECT_EQ(ask("/unsafe/x", "id-3").body, "to id-3");
    }
};

bool send_without_end(visit& one, const std::string& begin, const std::string& piece)
{
    std::string many;
    while (many.size() < 32UL * 1024) {
        many += piece;
    }
    if (!one.send(begin)) {
        return false;
    }
    while (one.send(many)) {
    }
    return false;
}

TEST_F(hostile, a_head_without_end)
{
    expect_failure_without_harm(
        [](visit& one) { return send_without_end(one, "HTTP/1.1 200 OK\r\n", "X-More: y\r\n"); },
        seconds{2});
}

TEST_F(hostile, blank_lines_without_end)
{
    expect_failure_without_harm([](visit& one) { return send_without_end(one, "", "\r\n"); },
                                seconds{2});
}

TEST_F(hostile, bytes_of_no_protocol_without_end)
{
    expect_failure_without_harm(
        [](visit& one) { return send_without_end(one, "", std::string("\0\x1f\x8b", 3)); },
        seconds{2});
}

TEST_F(hostile, a_chunk_size_without_end)
{
    expect_failure_without_harm(
        [](visit& one) {
            return send_without_end(one, one.head("Transfer-Encoding: chunked\r\n"), "0");
        },
        seconds{2});
}

TEST_F(hostile, a_chunk_of_two_to_the_64)
{
    expect_failure_without_harm(
        [](visit& one) {
            return send_without_end(
                one, one.head("Transfer-Encoding: chunked\r\n") + "10000000000000000\r\n", "y");
        },
        seconds{2});
}

TEST_F(hostile, a_trailer_without_end)
{
    expect_failure_without_harm(
        [](visit& one) {
            return send_without_end(
                one, one.head("Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n", "X: y\r\n");
        },
        seconds{2});
}

TEST_F(hostile, answers_to_other_requests_without_end)
{
    expect_failure_without_harm(
        [](visit& one) {
            return send_without_end(
                one, "",
                "HTTP/1.1 200 OK\r\nX-Chicorylink-Request-Id: other\r\n"
                "X-Chicorylink-Server-Stamp: s\r\nContent-Length: 4\r\n\r\nbody");
        },
        seconds{2});
}

// A plain answer without end is bounded by the request's deadline; the caller sees it cut.
TEST_F(hostile, a_body_without_end)
{
    expect_failure_without_harm(
        [](visit& one) {
            return send_without_end(one, one.head("Transfer-Encoding: chunked\r\n"),
                                    visit::chunk(std::string(1000, 'y')));
        },
        deadline + seconds{2});
}

TEST_F(hostile, a_byte_now_and_then)
{
    expect_failure_without_harm(
        [](visit& one) {
            auto alive = one.send(one.head("Content-Length: 1000\r\n"));
            while (alive) {
                alive = one.pause(milliseconds{200}) && one.send("y");
            }
            return false;
        },
        deadline + seconds{2});
}

// A caller that does not read must not make the VM hold an answer of any size.
TEST_F(hostile, a_body_without_end_before_a_caller_that_does_not_read)
{
    std::atomic<std::size_t> sent{0};
    serve([&](visit& one) {
        auto alive = one.send(one.head("Transfer-Encoding: chunked\r\n"));
        const auto piece = visit::chunk(std::string(32UL * 1024, 'y'));
        while (alive) {
            alive = one.send(piece);
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

// A server sent a second copy of an answer, late, on a connection that was in use again.
TEST_F(hostile, a_second_copy_of_an_answer_reaches_no_other_caller)
{
    std::string first;
    std::mutex mutex;
    serve([&](visit& one) {
        const std::lock_guard lock(mutex);
        if (one.turn() == 1) {
            first = one.answer("to " + one.id());
            return one.send(first);
        }
        return one.send(first) && one.send(one.answer("to " + one.id()));
    });
    start();
    for (int number = 1; number <= 6; ++number) {
        const auto id = fmt::format("id-{}", number);
        EXPECT_EQ(ask("/unsafe/x", id).body, "to " + id);
    }
    EXPECT_GT(m_targets.front()->connections(), 1);
}

TEST_F(hostile, a_second_copy_that_names_no_request_reaches_no_other_caller)
{
    serve([](visit& one) {
        const auto copy = "HTTP/1.1 200 OK\r\nX-Chicorylink-Server-Stamp: s\r\n"
                          "Content-Length: 5\r\n\r\nwrong";
        return (one.turn() == 1 || one.send(copy)) && one.send(one.answer("to " + one.id()));
    });
    start();
    EXPECT_EQ(ask("/unsafe/x", "id-1").body, "to id-1");
    const auto second = ask("/unsafe/x", "id-2");
    EXPECT_EQ(second.status, 502);
    EXPECT_EQ(second.body.find("wrong"), std::string::npos);
    EXPECT_EQ(ask("/unsafe/x", "id-3").body, "to id-3");
}

// The copy of a failure bears the id of its own request, which is sent a second time.
TEST_F(hostile, a_second_copy_of_a_failure_is_not_the_answer_to_a_repeat)
{
    std::atomic<int> sent{0};
    serve([&](visit& one) {
        if (sent++ == 0) {
            const auto failure = one.answer("failed", "", 500);
            return one.send(failure) && one.pause(milliseconds{1}) && one.send(failure);
        }
        return one.send(one.answer("to " + one.id()));
    });
    start();
    const auto answer = ask("/safe/x", "id-1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "to id-1");
    EXPECT_EQ(m_targets.front()->connections(), 2);
}

std::string event(int number)
{
    return visit::chunk(fmt::format("id: {}\ndata: {}\n\n", number, number));
}

// Comments keep a connection open and say nothing of the work: the stream goes on elsewhere.
TEST_F(hostile, comments_do_not_keep_a_stalled_stream)
{
    std::atomic<int> stalled{0};
    const auto script = [&](visit& one) {
        auto alive = one.send(one.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n"));
        if (stalled++ == 0) {
            alive = alive && one.send(event(1));
            while (alive) {
                alive = one.pause(milliseconds{50}) && one.send(visit::chunk(": still here\n\n"));
            }
            return false;
        }
        return alive && one.send(event(2)) && one.send(event(3)) && one.send("0\r\n\r\n");
    };
    serve(script);
    serve(script);
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = ask("/stream/x", "id-1");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, deadline);
    EXPECT_TRUE(answer.whole);
    EXPECT_NE(answer.body.find("data: 3"), std::string::npos);
    EXPECT_EQ(m_targets[0]->arrivals("id-1") + m_targets[1]->arrivals("id-1"), 2);
}

// Slow but sound: within the pause that the route allows, and nobody else hears the target.
TEST_F(hostile, a_slow_but_sound_stream_is_left_alone)
{
    serve([](visit& one) {
        auto alive = one.send(one.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n"));
        for (int number = 1; number <= 3 && alive; ++number) {
            alive = one.send(event(number)) && one.pause(milliseconds{1150});
        }
        return alive && one.send("0\r\n\r\n");
    });
    serve([](visit& one) { return one.send(one.answer("other")); });
    start();
    m_targets[1].reset();
    m_fleet.store().remove("servers/i-2");
    std::this_thread::sleep_for(seconds{1});
    const auto answer = ask("/stream/x", "id-1");
    EXPECT_TRUE(answer.whole);
    EXPECT_NE(answer.body.find("data: 3"), std::string::npos);
    EXPECT_EQ(m_targets[0]->arrivals("id-1"), 1);
}

TEST_F(hostile, a_stalled_stream_with_nowhere_to_go_is_not_broken_off_before_its_deadline)
{
    serve([](visit& one) {
        auto alive = one.send(one.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n")) &&
                     one.send(event(1)) && one.pause(milliseconds{2600});
        return alive && one.send(event(2)) && one.send("0\r\n\r\n");
    });
    start();
    const auto answer = ask("/stream/x", "id-1");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(m_targets[0]->arrivals("id-1"), 1);
}

// One malformed message took a whole process down.
TEST_F(hostile, malformed_messages_on_every_port_harm_nobody)
{
    serve([](visit& one) { return one.send(one.answer("to " + one.id())); });
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
    EXPECT_EQ(ask("/unsafe/x", "id-last").body, "to id-last");
    EXPECT_TRUE(m_fleet.at(m_ip).running());
}

} // namespace
} // namespace chicorylink::process_tests
