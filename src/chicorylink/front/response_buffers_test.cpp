#include "chicorylink/front/held_bytes.hpp"
#include "chicorylink/front/response_buffers.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

constexpr std::size_t memory_bytes = 8000;

TEST(response_buffers, allowances_are_reduced_until_half_of_the_limit_is_free)
{
    response_buffers all(memory_bytes);
    all.add(1000);
    EXPECT_FALSE(all.is_full());
    EXPECT_EQ(all.allowance(), response_buffers::usual_allowance);
    all.add(1);
    EXPECT_TRUE(all.is_full());
    EXPECT_EQ(all.allowance(), response_buffers::reduced_allowance);
    all.remove(500);
    EXPECT_TRUE(all.is_full());
    all.remove(1);
    EXPECT_FALSE(all.is_full());
}

TEST(response_buffers, a_buffer_counts_while_it_exists)
{
    const auto all = std::make_shared<response_buffers>(memory_bytes);
    {
        held_bytes first(all);
        held_bytes second(all);
        first.set(300);
        second.set(50);
        first.set(100);
        EXPECT_EQ(all->held(), 150U);
    }
    EXPECT_EQ(all->held(), 0U);
}

} // namespace
} // namespace chicorylink::front
