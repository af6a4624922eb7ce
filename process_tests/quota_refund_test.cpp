// Checks that a team gets back what it was charged for a request that was refused unrun, and only
// that.

#include "scripted_vm.hpp"

#include <atomic>
#include <string>

#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using http_exchange = scripted_target::http_exchange;

class quota_refund : public scripted_vm {
protected:
    quota_refund() : scripted_vm("127.0.38.1")
    {
        serve([this](http_exchange& exchange) {
            return exchange.send(
                m_is_full ? exchange.response("full", "X-Chicorylink-Not-Run: 1\r\n", 503)
                          : exchange.response("done"));
        });
        // One request uses up the quota for a minute.
        m_fleet.store().put("op/config",
                            nlohmann::json{{"version", 2},
                                           {"routes",
                                            {{{"name", "r"},
                                              {"host", "h"},
                                              {"pathPrefix", "/safe/"},
                                              {"kind", "safe"},
                                              {"timeoutMs", 4000},
                                              {"maxAttempts", 1},
                                              {"service", "app"}}}},
                                           {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                                           {"tenants",
                                            {{{"name", "cards"},
                                              {"apiKeys", {"secret"}},
                                              {"ratePerS", 0.01},
                                              {"burst", 0.5}}}}}
                                .dump());
    }

    std::atomic<bool> m_is_full{false};
};

// Guards against requests that are refused with 429 because of charges for work that was not done.
TEST_F(quota_refund, a_refused_request_is_not_charged)
{
    start();
    m_is_full = true;
    EXPECT_EQ(send_request("/safe/x", "id-1").status, 503);
    EXPECT_GE(m_targets[0]->request_count("id-1"), 1);
    m_is_full = false;
    EXPECT_EQ(send_request("/safe/x", "id-2").status, 200);
    EXPECT_EQ(send_request("/safe/x", "id-3").status, 429);
}

// Guards against work that is given away: a charge for a request that ran is no credit.
TEST_F(quota_refund, a_request_that_ran_is_charged)
{
    start();
    EXPECT_EQ(send_request("/safe/x", "id-1").status, 200);
    const auto refused = send_request("/safe/x", "id-2");
    EXPECT_EQ(refused.status, 429);
    // Half a request is missing at a hundredth a second.
    EXPECT_GE(std::stod(refused.header("retry-after")), 40);
}

} // namespace
} // namespace chicorylink::process_tests
