// Checks what a caller gets for responses of targets that are broken in their status or in the
// names of their fields, through the VM of the targets' region and through a VM of another.

#include "two_region_targets.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

/// Far below the deadline of the requests.
constexpr seconds max_time_to_fail{2};

class broken_response : public two_region_targets {
protected:
    broken_response()
        : two_region_targets("chicorylink_broken_response", "127.0.39.1", "127.0.39.2")
    {
    }

    /// Checks that no caller gets a response that a target sends, at once and without another run
    /// of a request that may run once only.
    void expect_refused(const std::function<std::string(const http_exchange&)>& broken)
    {
        const auto send_broken = [&](http_exchange& exchange) {
            return exchange.send(broken(exchange));
        };
        for (const auto& ip : {m_west_ip, m_east_ip}) {
            const auto begin = std::chrono::steady_clock::now();
            const auto result = send(ip, "/unsafe/x", send_broken, serve_whole());
            EXPECT_EQ(result.status, 502);
            EXPECT_TRUE(result.complete);
            EXPECT_EQ(result.header("bad name"), "");
            EXPECT_EQ(result.body.find("broken"), std::string::npos);
            EXPECT_EQ(sends(), 1);
            EXPECT_LT(std::chrono::steady_clock::now() - begin, max_time_to_fail);
        }
        const auto retried = send(m_west_ip, "/safe/x", send_broken, serve_whole());
        EXPECT_EQ(retried.status, 200);
        EXPECT_EQ(retried.body, whole_body);
        EXPECT_EQ(sends(), 2);
    }
};

// Guards against a status that is none being passed on, or waited behind for another response.
TEST_F(broken_response, without_a_status_reaches_no_caller)
{
    start(many_targets);
    for (const bool has_another : {false, true}) {
        expect_refused([has_another](const http_exchange& exchange) {
            const auto valid = exchange.response("broken");
            auto response = valid;
            response.replace(response.find("200"), 3, "000");
            return response + (has_another ? valid : "");
        });
    }
}

// Guards against a line of a head that the VM and the caller may read differently.
TEST_F(broken_response, with_a_field_name_that_is_no_token_reaches_no_caller)
{
    start(many_targets);
    for (const auto* line : {"Bad Name: x\r\n", "Content-Length : 3\r\n", "Bad\x01Name: x\r\n",
                             "Content-Length\x0b: 3\r\n", "\x7f: x\r\n"}) {
        SCOPED_TRACE(line);
        expect_refused(
            [line](const http_exchange& exchange) { return exchange.response("broken", line); });
    }
}

} // namespace
} // namespace chicorylink::process_tests
