#include "suite.hpp"

#include <csignal>
#include <cstdlib>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

/// Makes a CA and a certificate signed by it; returns the daemon flags that use them for peer
/// links.
std::vector<std::string> make_certificates(const std::string& folder, const std::string& name)
{
    const auto base = folder + "/" + name;
    const auto script = fmt::format(
        "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN={1}-authority "
        "-keyout {0}-ca.key -out {0}-ca.pem && "
        "openssl req -newkey rsa:2048 -nodes -subj /CN={1} -keyout {0}.key -out {0}.csr && "
        "openssl x509 -req -in {0}.csr -CA {0}-ca.pem -CAkey {0}-ca.key -CAcreateserial -days 2 "
        "-out {0}.pem",
        base, name);
    const auto command = "(" + script + ") >" + base + ".log 2>&1";
    EXPECT_EQ(std::system(command.c_str()), 0) << "see " << base << ".log";
    return {"--peer-ca",   base + "-ca.pem", "--peer-certificate",
            base + ".pem", "--peer-key",     base + ".key"};
}

/// The state of the link from one VM to another.
std::string link_between(const vm& from, const std::string& to)
{
    const auto response = perform({.url = from.operators_url("/v1/vms")}).json();
    for (const auto& row : response.value("rows", nlohmann::json::array())) {
        if (row.value("vm", "") == to) {
            return row.value("link", "");
        }
    }
    return {};
}

TEST(tls, peers_forward_over_tls_and_an_untrusted_vm_is_rejected)
{
    const auto folder = log_folder("tls");
    fleet test_fleet(binaries(), folder);
    test_fleet.start_target("engine-south", "stand_in_engine");
    const auto version = test_fleet.publish(
        fmt::format("region north # test\n"
                    "region south # test\n"
                    "link north south delay=5ms rate=140Mbit # test\n"
                    "team both regions=north,south rate=50000/s burst=500000 # test\n"
                    "key both {} # test\n"
                    "route chat kind=model deadline=10s # test\n"
                    "target engine-south region=south address={} routes=chat slots=8 # test\n",
                    digest_of(both_key), test_fleet.target_address("engine-south")));
    test_fleet.set_peer_flags(make_certificates(folder, "fleet"));
    auto& north = test_fleet.start_vm("vm-north-1", "north");
    test_fleet.start_vm("vm-south-1", "south");
    ASSERT_TRUE(test_fleet.wait_ready(version));
    const auto request = chat_call(north.url(chat_path), both_key, "chat", "over the link");
    EXPECT_TRUE(wait_until([&] { return perform_when_admitted(request).status == 200; }));
    EXPECT_EQ(link_between(north, "vm-south-1"), "up");

    north.process.signal(SIGHUP);
    EXPECT_TRUE(wait_until([&] {
        const auto audit = perform({.url = north.operators_url("/v1/audit")});
        return audit.body.find("tls_reloaded") != std::string::npos;
    }));
    EXPECT_EQ(perform_when_admitted(request).status, 200);

    test_fleet.set_peer_flags(make_certificates(folder, "stranger"));
    auto& untrusted = test_fleet.start_vm("vm-south-2", "south");
    EXPECT_TRUE(wait_until([&] { return link_between(north, "vm-south-2") == "down"; }));
    EXPECT_TRUE(wait_until([&] {
        const auto metrics = perform({.url = untrusted.operators_url("/metrics")}).body;
        return metrics.find("wire_tls_refused_total") != std::string::npos;
    }));
    EXPECT_EQ(link_between(north, "vm-south-2"), "down");
    EXPECT_EQ(link_between(untrusted, "vm-north-1"), "down");
}

} // namespace
} // namespace chicorylink::process_tests
