#include "engine_model.hpp"

#include <gtest/gtest.h>

namespace chicorylink::experiment {
namespace {

base::time_point at(std::int64_t milliseconds)
{
    return base::time_point{} + base::milliseconds{milliseconds};
}

/// Advances an engine until it is idle; returns the time of the last event.
base::time_point run_until_idle(engine_model& engine)
{
    base::time_point last{};
    while (const auto next = engine.next_event()) {
        last = *next;
        (void)engine.advance(*next);
    }
    return last;
}

TEST(engine_model, cached_prefix_is_not_recomputed)
{
    engine_model engine({});
    const std::vector<routing::prefix_hash> blocks{routing::prefix_hash{1},
                                                   routing::prefix_hash{2}};
    engine.submit({.id = 1, .blocks = blocks, .prompt_tokens = 1100}, at(0));
    const auto last = run_until_idle(engine);
    EXPECT_EQ(engine.prefilled_tokens(), 1100);
    engine.submit({.id = 2, .blocks = blocks, .prompt_tokens = 1100}, last);
    run_until_idle(engine);
    EXPECT_EQ(engine.prefilled_tokens(), 1100 + 1100 - 2 * routing::prefix_block_tokens);
}

TEST(engine_model, batching_raises_latency_and_throughput)
{
    engine_model alone({});
    alone.submit({.id = 1, .answer_tokens = 100}, at(0));
    const auto one = run_until_idle(alone) - at(0);
    engine_model full({});
    for (std::uint64_t id = 1; id <= 16; ++id) {
        full.submit({.id = id, .answer_tokens = 100}, at(0));
    }
    const auto all = run_until_idle(full) - at(0);
    EXPECT_GT(all, one);
    EXPECT_LT(all, one * 16);
}

TEST(engine_model, waiting_requests_run_by_priority)
{
    engine_model engine({.slots = 1});
    engine.submit({.id = 1, .answer_tokens = 10}, at(0));
    engine.submit({.id = 2, .answer_tokens = 10, .order = rules::priority::low}, at(0));
    engine.submit({.id = 3, .answer_tokens = 10, .order = rules::priority::high}, at(0));
    EXPECT_EQ(engine.report().waiting, 2U);
    std::vector<std::uint64_t> finished;
    while (const auto next = engine.next_event()) {
        for (const auto& event : engine.advance(*next)) {
            if (event.type == engine_event::kind::finished) {
                finished.push_back(event.id);
            }
        }
    }
    EXPECT_EQ(finished, (std::vector<std::uint64_t>{1, 3, 2}));
}

TEST(engine_model, restart_drops_requests)
{
    engine_model engine({});
    engine.submit({.id = 1, .prompt_tokens = 100}, at(0));
    EXPECT_EQ(engine.restart(at(1)), std::vector<std::uint64_t>{1});
    EXPECT_FALSE(engine.next_event());
}

} // namespace
} // namespace chicorylink::experiment
