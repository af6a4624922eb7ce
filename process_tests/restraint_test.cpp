// Targets of the users' platform that leave or push back, and what reaches them afterwards.

#include "scripted_vm.hpp"

#include <chrono>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using visit = scripted_target::visit;

class restraint : public scripted_vm {
protected:
    restraint() : scripted_vm("127.0.5.1") {}
};

// A server that leaves says so with its answers; nothing new may reach it from then on.
TEST_F(restraint, a_target_that_says_that_it_leaves_gets_nothing_more)
{
    serve([](visit& one) {
        return one.send(one.answer("leaving", "Server-Leaving: 1\r\nConnection: close\r\n")) &&
               false;
    });
    serve([](visit& one) { return one.send(one.answer("staying")); });
    start();
    std::string body;
    for (int number = 0; number < 50 && body != "leaving"; ++number) {
        body = ask("/safe/x", fmt::format("seek-{}", number)).body;
    }
    ASSERT_EQ(body, "leaving");
    const auto before = m_targets[0]->arrivals();
    for (int number = 0; number < 50; ++number) {
        EXPECT_EQ(ask("/safe/x", fmt::format("id-{}", number)).body, "staying");
    }
    EXPECT_EQ(m_targets[0]->arrivals(), before);
}

TEST_F(restraint, a_leaving_answer_that_is_cut_counts_too)
{
    serve([](visit& one) {
        return one.send(one.head("Server-Leaving: 1\r\nContent-Length: 100\r\n")) && false;
    });
    start();
    EXPECT_NE(ask("/unsafe/x", "id-1").status, 503);
    const auto refused = ask("/unsafe/x", "id-2");
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(m_targets[0]->arrivals(), 1);
}

TEST_F(restraint, a_target_that_pushes_back_is_left_alone_for_so_long)
{
    serve([](visit& one) {
        return one.send(
            one.answer("full", "X-Chicorylink-Not-Run: 1\r\nRetry-After: 1.5\r\n", 503));
    });
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto first = ask("/safe/x", "id-0");
    EXPECT_EQ(first.status, 503);
    // The caller is told what the target told.
    EXPECT_GE(std::stod(first.header("retry-after")), 1.3);
    EXPECT_LE(std::stod(first.header("retry-after")), 2.6);
    int number = 1;
    while (std::chrono::steady_clock::now() - begin < milliseconds{1400}) {
        EXPECT_EQ(ask("/safe/x", fmt::format("id-{}", number++)).status, 503);
    }
    EXPECT_EQ(m_targets[0]->arrivals(), 1);
}

} // namespace
} // namespace chicorylink::process_tests
