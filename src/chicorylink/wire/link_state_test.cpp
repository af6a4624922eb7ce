#include "chicorylink/wire/backoff.hpp"
#include "chicorylink/wire/frame_codec.hpp"
#include "chicorylink/wire/link_state.hpp"

#include <gtest/gtest.h>

namespace chicorylink::wire {
namespace {

using bytes = std::vector<std::uint8_t>;
using content = link_event::content;

constexpr base::incarnation dialer_process{10};
constexpr base::incarnation acceptor_process{20};
constexpr base::time_point start{};

/// A dialer and an acceptor that exchange bytes without a network.
class link_state_test : public ::testing::Test {
protected:
    void complete_handshake()
    {
        transfer(m_dialer, m_acceptor);
        m_acceptor.accept_peer();
        transfer(m_acceptor, m_dialer);
        m_events.clear();
    }

    void transfer(link_state& from, link_state& to)
    {
        bytes transferred;
        from.take_output(transferred, 1U << 24U, start);
        EXPECT_TRUE(accepts(to, transferred));
    }

    bool accepts(link_state& to, const bytes& received)
    {
        return base::leaf::try_handle_all(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(to.receive(received, start, m_events));
                return true;
            },
            [](const base::error&) { return false; }, [] { return false; });
    }

    /// Passes a frame to the acceptor as if the dialer had sent it.
    bool receive_from_dialer(frame value)
    {
        bytes encoded;
        append_frame(encoded, value);
        return accepts(m_acceptor, encoded);
    }

    link_limits m_limits;
    link_state m_dialer{link_role::dialer, base::vm_id{1}, dialer_process, m_limits, start};
    link_state m_acceptor{link_role::acceptor, base::vm_id{2}, acceptor_process, m_limits, start};
    std::vector<link_event> m_events;
};

TEST_F(link_state_test, establishes_by_two_hellos)
{
    transfer(m_dialer, m_acceptor);
    ASSERT_EQ(m_events.size(), 1U);
    EXPECT_EQ(m_events[0].vm, base::vm_id{1});
    EXPECT_EQ(m_events[0].process, dialer_process);
    EXPECT_FALSE(m_dialer.established());
    m_acceptor.accept_peer();
    transfer(m_acceptor, m_dialer);
    EXPECT_TRUE(m_dialer.established());
    EXPECT_TRUE(m_acceptor.established());
}

TEST_F(link_state_test, refuses_other_versions_and_frames_before_hello)
{
    EXPECT_FALSE(receive_from_dialer({.kind = frame_kind::control}));
    EXPECT_FALSE(receive_from_dialer({.kind = frame_kind::hello, .version = protocol_version + 1}));
    EXPECT_FALSE(m_acceptor.established());
}

TEST_F(link_state_test, refuses_a_second_hello_and_malformed_frames)
{
    complete_handshake();
    EXPECT_FALSE(receive_from_dialer({.kind = frame_kind::hello, .version = protocol_version}));
    EXPECT_FALSE(accepts(m_acceptor, bytes{0, 0, 0, 4, 1, 2, 3, 4}));
}

TEST_F(link_state_test, refuses_data_past_the_window_and_credit_past_it)
{
    complete_handshake();
    const auto stream = *m_dialer.open({});
    transfer(m_dialer, m_acceptor);
    EXPECT_FALSE(receive_from_dialer({.kind = frame_kind::window,
                                      .sender = dialer_process,
                                      .stream = stream,
                                      .credit = m_limits.stream_window + 1}));
    const bytes block(m_limits.stream_window / 2 + 1);
    const frame half{
        .kind = frame_kind::data, .sender = dialer_process, .stream = stream, .payload = block};
    link_state fresh{link_role::acceptor, base::vm_id{2}, acceptor_process, m_limits, start};
    std::swap(m_acceptor, fresh);
    EXPECT_TRUE(receive_from_dialer(
        {.kind = frame_kind::hello, .sender = dialer_process, .version = protocol_version}));
    m_acceptor.accept_peer();
    EXPECT_TRUE(receive_from_dialer(
        {.kind = frame_kind::open, .sender = dialer_process, .stream = stream}));
    EXPECT_TRUE(receive_from_dialer(half));
    EXPECT_FALSE(receive_from_dialer(half));
}

TEST_F(link_state_test, drops_and_counts_frames_of_other_incarnations_and_streams)
{
    complete_handshake();
    const auto stream = *m_dialer.open({});
    transfer(m_dialer, m_acceptor);
    m_events.clear();
    const base::incarnation other{99};
    EXPECT_TRUE(receive_from_dialer({.kind = frame_kind::control, .sender = other}));
    EXPECT_TRUE(receive_from_dialer({.kind = frame_kind::data, .sender = other, .stream = stream}));
    EXPECT_TRUE(receive_from_dialer(
        {.kind = frame_kind::data, .sender = dialer_process, .stream = stream_number{55}}));
    EXPECT_TRUE(receive_from_dialer(
        {.kind = frame_kind::open, .sender = dialer_process, .stream = stream}));
    EXPECT_TRUE(m_events.empty());
    EXPECT_EQ(m_acceptor.counts().other_incarnation, 2U);
    EXPECT_EQ(m_acceptor.counts().unknown_stream, 1U);
    EXPECT_EQ(m_acceptor.counts().repeated_open, 1U);
}

TEST_F(link_state_test, late_data_of_a_reset_stream_is_dropped)
{
    complete_handshake();
    const auto stream = *m_dialer.open({});
    transfer(m_dialer, m_acceptor);
    EXPECT_EQ(m_acceptor.send(stream, bytes{1}), send_result::queued);
    m_dialer.reset(stream, reset_reason::cancelled);
    m_events.clear();
    transfer(m_acceptor, m_dialer);
    EXPECT_TRUE(m_events.empty());
    EXPECT_EQ(m_dialer.counts().unknown_stream, 1U);
    transfer(m_dialer, m_acceptor);
    ASSERT_EQ(m_events.size(), 1U);
    EXPECT_EQ(m_events[0].type, content::reset);
    EXPECT_FALSE(m_acceptor.has(stream));
}

TEST_F(link_state_test, refuses_streams_past_the_limit)
{
    m_limits.streams = 1;
    m_acceptor = link_state{link_role::acceptor, base::vm_id{2}, acceptor_process, m_limits, start};
    complete_handshake();
    const auto kept = *m_dialer.open({});
    const auto refused = *m_dialer.open({});
    transfer(m_dialer, m_acceptor);
    EXPECT_TRUE(m_acceptor.has(kept));
    EXPECT_FALSE(m_acceptor.has(refused));
    m_events.clear();
    transfer(m_acceptor, m_dialer);
    ASSERT_EQ(m_events.size(), 1U);
    EXPECT_EQ(m_events[0].reason, reset_reason::overloaded);
}

TEST_F(link_state_test, pings_idle_link_and_closes_unresponsive_one)
{
    EXPECT_TRUE(m_acceptor.check_time(start));
    EXPECT_FALSE(m_acceptor.check_time(start + m_limits.handshake_timeout));
    complete_handshake();
    const auto ping_at = start + m_limits.ping_interval;
    EXPECT_EQ(m_dialer.next_check(), ping_at);
    EXPECT_TRUE(m_dialer.check_time(ping_at));
    bytes ping;
    m_dialer.take_output(ping, 1, ping_at);
    EXPECT_FALSE(ping.empty());
    EXPECT_TRUE(m_dialer.check_time(start + m_limits.dead_after - base::milliseconds{1}));
    EXPECT_FALSE(m_dialer.check_time(start + m_limits.dead_after));
}

TEST(backoff, grows_to_its_bound_and_differs_by_seed)
{
    const link_limits limits;
    for (std::uint32_t failures = 1; failures < 100; ++failures) {
        const auto delay = next_attempt(start, failures, 1, limits) - start;
        EXPECT_GE(delay, limits.backoff_min / 2);
        EXPECT_LE(delay, limits.backoff_max);
    }
    EXPECT_LE(next_attempt(start, 1, 1, limits) - start, limits.backoff_min);
    EXPECT_GE(next_attempt(start, 99, 1, limits) - start, limits.backoff_max / 2);
    EXPECT_NE(next_attempt(start, 9, 1, limits), next_attempt(start, 9, 2, limits));
}

} // namespace
} // namespace chicorylink::wire
