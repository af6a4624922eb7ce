#include "chicorylink/wire/test_peers.hpp"

#include <gtest/gtest.h>

namespace chicorylink::wire {
namespace {

using testing::bytes_of;
using testing::test_peer;

/// Two peer networks, each with the other as its peer after `connect`.
class peer_network_test : public ::testing::Test {
protected:
    void connect()
    {
        m_a.network->set_peers({m_b.address()});
        m_b.network->set_peers({m_a.address()});
        ASSERT_TRUE(m_a.wait([&] { return !m_a.connected.empty(); }));
        ASSERT_TRUE(m_b.wait([&] { return !m_b.connected.empty(); }));
    }

    stream_id open(const std::string& label)
    {
        return m_a.network->open_stream(m_b.vm, bytes_of(label), m_a.record(label)).value();
    }

    stream_id accepted(const std::string& label)
    {
        EXPECT_TRUE(m_b.wait([&] { return m_b.opened.contains(label); }));
        return m_b.inspect([&] { return m_b.opened[label]; });
    }

    test_peer m_a{"a", 1};
    test_peer m_b{"b", 2};
};

bool opens(test_peer& from, base::vm_id to)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(from.network->open_stream(to, {}, {}));
            return true;
        },
        [] { return false; });
}

TEST_F(peer_network_test, carries_control_both_ways)
{
    connect();
    EXPECT_TRUE(m_a.network->send_control(m_b.vm, channel_id{3}, bytes_of("to b")));
    EXPECT_TRUE(m_b.network->send_control(m_a.vm, channel_id{3}, bytes_of("to a")));
    EXPECT_TRUE(m_b.wait([&] { return m_b.control == std::vector<std::string>{"to b"}; }));
    EXPECT_TRUE(m_a.wait([&] { return m_a.control == std::vector<std::string>{"to a"}; }));
    EXPECT_FALSE(m_a.network->send_control(base::vm_id{99}, channel_id{3}, bytes_of("nobody")));
}

TEST_F(peer_network_test, streams_request_and_response_to_completion)
{
    connect();
    const auto stream = open("s");
    EXPECT_EQ(m_a.network->send_data(stream, bytes_of("question")), send_result::queued);
    m_a.network->finish(stream);
    EXPECT_EQ(m_a.network->send_data(stream, bytes_of("more")), send_result::closed);
    ASSERT_TRUE(m_b.wait([&] { return m_b.ended["s"]; }));
    EXPECT_EQ(m_b.inspect([&] { return m_b.received["s"]; }), "question");
    const auto inbound = accepted("s");
    EXPECT_EQ(m_b.network->send_data(inbound, bytes_of("answer")), send_result::queued);
    m_b.network->finish(inbound);
    ASSERT_TRUE(m_a.wait([&] { return m_a.ended["s"]; }));
    EXPECT_EQ(m_a.inspect([&] { return m_a.received["s"]; }), "answer");
}

TEST_F(peer_network_test, reset_reaches_the_other_side)
{
    connect();
    const auto stream = open("s");
    const auto inbound = accepted("s");
    m_a.network->reset(stream, reset_reason::cancelled);
    EXPECT_TRUE(m_b.wait([&] { return m_b.resets.contains("s"); }));
    EXPECT_EQ(m_b.network->send_data(inbound, bytes_of("late")), send_result::closed);
}

TEST_F(peer_network_test, full_window_blocks_only_its_own_stream)
{
    connect();
    const auto bulk = open("bulk");
    const std::string block(64U << 10U, 'x');
    std::size_t sent = 0;
    while (m_a.network->send_data(bulk, bytes_of(block)) == send_result::queued) {
        sent += block.size();
    }
    const auto window = link_limits{}.stream_window;
    ASSERT_TRUE(m_b.wait([&] { return m_b.received["bulk"].size() == window; }));
    const auto quick = open("quick");
    EXPECT_EQ(m_a.network->send_data(quick, bytes_of("short")), send_result::queued);
    m_a.network->finish(quick);
    EXPECT_TRUE(m_b.wait([&] { return m_b.ended["quick"]; }));
    EXPECT_EQ(m_b.inspect([&] { return m_b.received["bulk"].size(); }), window);
    EXPECT_FALSE(m_b.inspect([&] { return m_b.ended["bulk"]; }));
    m_b.network->consume(accepted("bulk"), window);
    EXPECT_TRUE(m_a.wait([&] { return m_a.windows["bulk"] > 0; }));
    m_a.network->finish(bulk);
    m_b.network->consume(accepted("bulk"), window);
    EXPECT_TRUE(m_b.wait([&] { return m_b.received["bulk"].size() == sent; }));
}

TEST_F(peer_network_test, lost_link_notifies_streams_and_reconnects)
{
    connect();
    open("one");
    open("two");
    accepted("two");
    const auto address = m_b.address();
    m_b.network.reset();
    EXPECT_TRUE(m_a.wait([&] { return m_a.lost["one"] && m_a.lost["two"]; }));
    EXPECT_TRUE(m_a.wait([&] { return !m_a.disconnected.empty(); }));
    EXPECT_TRUE(m_a.wait([&] { return !m_a.refused.empty(); }));
    EXPECT_FALSE(opens(m_a, m_b.vm));
    base::metrics counts;
    const auto restarted = peer_network_builder{m_b.vm, base::incarnation{22}}
                               .listen(address.address)
                               .plain_text()
                               .metrics(counts)
                               .build()
                               .value();
    restarted->set_peers({m_a.address()});
    EXPECT_TRUE(m_a.wait([&] { return m_a.connected.size() == 2; }));
    EXPECT_TRUE(opens(m_a, m_b.vm));
}

TEST_F(peer_network_test, refuses_an_unknown_peer)
{
    m_a.network->set_peers({m_b.address()});
    EXPECT_TRUE(m_b.wait_counter("wire_strangers_refused_total"));
    EXPECT_FALSE(m_a.network->is_connected(m_b.vm));
}

TEST_F(peer_network_test, refuses_a_peer_that_is_another_vm)
{
    test_peer other_peer{"c", 3};
    other_peer.network->set_peers({m_a.address()});
    m_a.network->set_peers({{m_b.vm, other_peer.network->listen_address()}});
    EXPECT_TRUE(m_a.wait_counter("wire_strangers_refused_total"));
    EXPECT_FALSE(m_a.network->is_connected(m_b.vm));
}

TEST_F(peer_network_test, a_removed_peer_keeps_its_streams_until_they_end)
{
    connect();
    const auto stream = open("s");
    const auto inbound = accepted("s");
    m_a.network->set_peers({});
    EXPECT_TRUE(m_a.network->send_data(stream, bytes_of("x")) == send_result::queued);
    m_a.network->finish(stream);
    ASSERT_TRUE(m_b.wait([&] { return m_b.ended["s"]; }));
    m_b.network->finish(inbound);
    EXPECT_TRUE(m_a.wait([&] { return m_a.ended["s"]; }));
    EXPECT_FALSE(m_a.inspect([&] { return m_a.lost["s"]; }));
}

TEST(peer_network_builder, needs_one_of_tls_and_plain_text)
{
    base::metrics counts;
    const auto builds = [&](peer_network_builder builder) {
        return base::leaf::try_handle_all(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(builder.build());
                return true;
            },
            [](const base::error& failure) {
                EXPECT_EQ(failure.kind, base::error_kind::invalid_setting);
                return false;
            },
            [] { return false; });
    };
    peer_network_builder builder{base::vm_id{1}, base::incarnation{1}};
    builder.listen("127.0.0.1:0").metrics(counts);
    EXPECT_FALSE(builds(builder));
    EXPECT_TRUE(builds(peer_network_builder{builder}.plain_text()));
    EXPECT_FALSE(builds(peer_network_builder{builder}.plain_text().listen("somewhere")));
    EXPECT_FALSE(builds(peer_network_builder{builder}.tls({"none", "none", "none"})));
}

} // namespace
} // namespace chicorylink::wire
