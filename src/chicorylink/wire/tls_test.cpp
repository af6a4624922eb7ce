#include "chicorylink/wire/test_certificates.hpp"
#include "chicorylink/wire/test_peers.hpp"

#include <cstdlib>
#include <filesystem>

#include <gtest/gtest.h>

namespace chicorylink::wire {
namespace {

using testing::bytes_of;
using testing::test_authority;
using testing::test_peer;

/// Creates a separate folder for each test's files.
class tls_test : public ::testing::Test {
protected:
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    std::string folder(const std::string& name)
    {
        std::filesystem::create_directory(m_folder + "/" + name);
        return m_folder + "/" + name + "/";
    }

    static void connect_peers(test_peer& a, test_peer& b)
    {
        a.network->set_peers({b.address()});
        b.network->set_peers({a.address()});
    }

    std::string m_template = ::testing::TempDir() + "chicorylink_tls_XXXXXX";
    std::string m_folder = ::mkdtemp(m_template.data());
};

TEST_F(tls_test, carries_large_answers_between_vms_of_one_authority)
{
    const test_authority authority{folder("one")};
    test_peer a{"a", 1, authority.issue("a")};
    test_peer b{"b", 2, authority.issue("b")};
    connect_peers(a, b);
    ASSERT_TRUE(a.wait([&] { return !a.connected.empty(); }));
    const auto stream = a.network->open_stream(b.vm, bytes_of("s"), a.record("s")).value();
    const std::string block(200'000, 'x');
    EXPECT_EQ(a.network->send_data(stream, bytes_of(block)), send_result::queued);
    a.network->finish(stream);
    EXPECT_TRUE(b.wait([&] { return b.ended["s"] && b.received["s"] == block; }));
}

TEST_F(tls_test, refuses_another_authority)
{
    const test_authority authority{folder("one")};
    const test_authority other{folder("two")};
    test_peer a{"a", 1, authority.issue("a")};
    test_peer b{"b", 2, other.issue("b")};
    connect_peers(a, b);
    EXPECT_TRUE(a.wait_counter("wire_tls_refused_total"));
    EXPECT_TRUE(b.wait_counter("wire_tls_refused_total"));
    EXPECT_FALSE(a.network->is_connected(b.vm));
    EXPECT_FALSE(b.network->is_connected(a.vm));
}

TEST_F(tls_test, refuses_plain_text)
{
    const test_authority authority{folder("one")};
    test_peer a{"a", 1, authority.issue("a")};
    test_peer b{"b", 2};
    connect_peers(a, b);
    EXPECT_TRUE(a.wait_counter("wire_tls_refused_total"));
    EXPECT_FALSE(b.network->is_connected(a.vm));
}

TEST_F(tls_test, refuses_a_certificate_of_another_vm_when_names_are_required)
{
    const test_authority authority{folder("one")};
    auto settings = authority.issue("a");
    settings.require_vm_name = true;
    test_peer a{"a", 1, settings};
    test_peer b{"b", 2, authority.issue("c")};
    connect_peers(a, b);
    EXPECT_TRUE(a.wait_counter("wire_strangers_refused_total"));
    EXPECT_FALSE(a.network->is_connected(b.vm));
}

TEST_F(tls_test, reloads_files_and_keeps_the_old_ones_when_they_are_bad)
{
    const test_authority old_authority{folder("one")};
    const auto files = old_authority.issue("a");
    test_peer a{"a", 1, files};
    const test_authority fresh_authority{folder("two")};
    test_peer b{"b", 2, fresh_authority.issue("b")};
    connect_peers(a, b);
    ASSERT_TRUE(a.wait_counter("wire_tls_refused_total"));
    const auto reloads = [&] {
        return base::leaf::try_handle_all(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(a.network->reload_tls());
                return true;
            },
            [](const base::error& failure) {
                EXPECT_EQ(failure.kind, base::error_kind::invalid_setting);
                return false;
            },
            [] { return false; });
    };
    const auto fresh = fresh_authority.issue("a");
    const auto replace = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(fresh.key_file, files.key_file, replace);
    EXPECT_FALSE(reloads());
    std::filesystem::copy_file(fresh.certificate_file, files.certificate_file, replace);
    std::filesystem::copy_file(fresh.authority_file, files.authority_file, replace);
    EXPECT_TRUE(reloads());
    EXPECT_TRUE(a.wait([&] { return !a.connected.empty(); }));
    EXPECT_TRUE(b.wait([&] { return !b.connected.empty(); }));
}

} // namespace
} // namespace chicorylink::wire
