#include "chicorylink/front/held_bytes.hpp"
#include "chicorylink/front/request_memory.hpp"
#include "chicorylink/front/unfinished_request.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

using base::milliseconds;

/// The smallest VM in service; the largest body of the usual limits.
constexpr std::size_t smallest_vm_bytes = 120UL * 1024 * 1024;
constexpr std::size_t max_body_bytes = 4UL * 1024 * 1024;

constexpr std::size_t kb = 1024;

class request_memory_account : public testing::Test {
protected:
    static base::time_point at(int ms) { return base::time_point{} + milliseconds{ms}; }

    // A limit of 1 MB, a high watermark of 512 KB and a low one of 256 KB.
    std::shared_ptr<request_memory> m_all = std::make_shared<request_memory>(4096 * kb);
};

// Guards against a large request that is refused although nothing else is held.
TEST_F(request_memory_account, a_single_request_fits_on_the_smallest_vm)
{
    const auto all = std::make_shared<request_memory>(smallest_vm_bytes);
    unfinished_request only(all);
    only.set(max_body_bytes, at(0));
    EXPECT_TRUE(all->may_read(max_body_bytes));
    EXPECT_FALSE(all->to_shed(at(0)));
    only.set(0, at(1));
    held_bytes body(all);
    held_bytes copy(all);
    body.set(max_body_bytes);
    copy.set(max_body_bytes);
    EXPECT_FALSE(all->is_full());
}

TEST_F(request_memory_account, reading_pauses_between_the_watermarks)
{
    held_bytes complete(m_all);
    complete.set(512 * kb);
    EXPECT_FALSE(m_all->is_full());
    complete.set(512 * kb + 1);
    EXPECT_TRUE(m_all->is_full());
    EXPECT_FALSE(m_all->may_read(request_memory::small_request_bytes + 1));
    EXPECT_EQ(m_all->read_allowance(), request_memory::reduced_read_bytes);
    complete.set(256 * kb + 1);
    EXPECT_TRUE(m_all->is_full());
    complete.set(256 * kb);
    EXPECT_FALSE(m_all->is_full());
    EXPECT_TRUE(m_all->may_read(request_memory::small_request_bytes + 1));
    EXPECT_EQ(m_all->read_allowance(), request_memory::usual_read_bytes);
}

// Guards against ordinary requests that wait for large ones.
TEST_F(request_memory_account, small_requests_are_read_up_to_the_limit)
{
    held_bytes complete(m_all);
    complete.set(1024 * kb);
    EXPECT_TRUE(m_all->may_read(request_memory::small_request_bytes));
    complete.set(1024 * kb + 1);
    EXPECT_FALSE(m_all->may_read(1));
}

// Guards against pauses that last as long as unfinished requests stay open.
TEST_F(request_memory_account, unfinished_requests_are_refused_down_to_the_low_watermark)
{
    unfinished_request first(m_all);
    unfinished_request second(m_all);
    unfinished_request third(m_all);
    first.set(150 * kb, at(0));
    second.set(200 * kb, at(1));
    EXPECT_FALSE(m_all->to_shed(at(1)));
    third.set(250 * kb, at(2));
    ASSERT_TRUE(m_all->to_shed(at(2)));
    EXPECT_EQ(m_all->to_shed(at(2))->key, second.key()) << "the same size, and older";
    EXPECT_EQ(m_all->to_shed(at(2))->cause, shed_cause::over_watermark);
    second.set(0, at(2));
    EXPECT_EQ(m_all->to_shed(at(2))->key, third.key());
    third.set(0, at(2));
    EXPECT_FALSE(m_all->to_shed(at(2)));
    EXPECT_FALSE(m_all->is_full());
}

// Guards against requests that are held until their deadline when complete ones take long.
TEST_F(request_memory_account, a_pause_ends_with_a_refusal)
{
    held_bytes complete(m_all);
    unfinished_request waiting(m_all);
    waiting.set(100 * kb, at(0));
    complete.set(500 * kb);
    ASSERT_FALSE(m_all->may_read(100 * kb));
    waiting.note_paused(at(10));
    waiting.note_paused(at(20));
    EXPECT_EQ(m_all->paused_requests(), 1U);
    EXPECT_FALSE(m_all->to_shed(at(509)));
    ASSERT_TRUE(m_all->to_shed(at(510)));
    EXPECT_EQ(m_all->to_shed(at(510))->cause, shed_cause::paused_too_long);
    EXPECT_EQ(waiting.note_resumed(at(300)), milliseconds{290});
    EXPECT_EQ(waiting.note_resumed(at(301)), milliseconds{0});
    EXPECT_EQ(m_all->paused_requests(), 0U);
}

TEST_F(request_memory_account, above_the_limit_an_unfinished_request_is_refused_at_once)
{
    held_bytes complete(m_all);
    unfinished_request small(m_all);
    small.set(1, at(0));
    complete.set(1024 * kb);
    ASSERT_TRUE(m_all->to_shed(at(0)));
    EXPECT_EQ(m_all->to_shed(at(0))->cause, shed_cause::over_limit);
}

// Guards against a count that keeps what connections held that are gone.
TEST_F(request_memory_account, nothing_is_held_for_connections_that_are_gone)
{
    {
        held_bytes complete(m_all);
        unfinished_request gone(m_all);
        complete.set(300 * kb);
        gone.set(300 * kb, at(0));
        gone.note_paused(at(0));
        EXPECT_EQ(m_all->held(), 600 * kb);
        EXPECT_EQ(m_all->unfinished_bytes(), 300 * kb);
        EXPECT_EQ(m_all->unfinished_requests(), 1U);
    }
    EXPECT_EQ(m_all->held(), 0U);
    EXPECT_EQ(m_all->unfinished_bytes(), 0U);
    EXPECT_EQ(m_all->unfinished_requests(), 0U);
    EXPECT_EQ(m_all->paused_requests(), 0U);
    EXPECT_FALSE(m_all->is_full());
}

} // namespace
} // namespace chicorylink::front
