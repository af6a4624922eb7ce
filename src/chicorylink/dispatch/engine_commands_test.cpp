#include "chicorylink/dispatch/download_limiter.hpp"
#include "chicorylink/dispatch/engine_controller.hpp"
#include "chicorylink/dispatch/engine_reconciler.hpp"
#include "chicorylink/rules/target.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::dispatch {
namespace {

using membership::member_state;

constexpr base::time_point start{};
constexpr base::region_id local_region{1};
constexpr base::region_id other_region{2};
constexpr base::target_id engine{50};
constexpr base::config_version version{3};

membership::view view_of(const std::vector<member_state>& states, std::uint64_t self)
{
    membership::view current_view{.self = base::vm_id{self}};
    for (std::size_t i = 0; i < states.size(); ++i) {
        current_view.members.push_back(
            {.id = base::vm_id{i + 1}, .region = local_region, .state = states[i]});
    }
    current_view.member_until = start + base::milliseconds{100};
    return current_view;
}

rules::target make_target(bool checks_fencing)
{
    return {.id = engine, .region = local_region, .checks_fencing = checks_fencing};
}

TEST(fencing_token, grows_with_configuration_start_and_counter)
{
    EXPECT_LT((fencing_token{version, 5, 9}), (fencing_token{version, 6, 1}));
    EXPECT_LT((fencing_token{version, 9, 9}), (fencing_token{base::config_version{4}, 1, 1}));
    EXPECT_LT((fencing_token{version, 5, 1}), (fencing_token{version, 5, 2}));
}

TEST(engine_controller, keeps_a_suspect_vm_and_replaces_a_gone_one)
{
    std::vector<member_state> states(4, member_state::live);
    const auto engine_target = make_target(false);
    const auto first = controller_of(engine_target, view_of(states, 1))->value();
    states[first - 1] = member_state::suspect;
    EXPECT_EQ(controller_of(engine_target, view_of(states, 1))->value(), first);
    states[first - 1] = member_state::gone;
    const auto second = controller_of(engine_target, view_of(states, 1))->value();
    EXPECT_NE(second, first);
    EXPECT_TRUE(may_command(engine_target, view_of(states, second), start));
    EXPECT_FALSE(may_command(engine_target, view_of(states, first), start));
}

TEST(engine_controller, a_suspended_process_commands_only_engines_that_check_tokens)
{
    const auto current_view = view_of({member_state::live}, 1);
    EXPECT_TRUE(may_command(make_target(false), current_view, start));
    EXPECT_FALSE(may_command(make_target(false), current_view, current_view.member_until));
    EXPECT_TRUE(may_command(make_target(true), current_view, current_view.member_until));
    auto remote = make_target(true);
    remote.region = other_region;
    EXPECT_FALSE(controller_of(remote, current_view).has_value());
}

TEST(engine_controller, at_most_one_vm_for_any_shared_view)
{
    const rc::detail::TestParams params{.seed = 12, .maxSuccess = 500};
    const auto result = rc::detail::checkTestable(
        [](const std::vector<std::uint8_t>& choices) {
            std::vector<member_state> states;
            states.reserve(choices.size());
            for (const auto choice : choices) {
                states.push_back(static_cast<member_state>(choice % 4));
            }
            std::size_t controllers = 0;
            for (std::size_t self = 1; self <= states.size(); ++self) {
                controllers +=
                    may_command(make_target(false), view_of(states, self), start) ? 1 : 0;
            }
            RC_ASSERT(controllers <= 1);
        },
        rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed 12";
}

TEST(engine_reconciler, resends_until_confirmed_with_growing_tokens)
{
    engine_reconciler reconciler{1'000};
    reconciler.set_desired(engine, "model:large", "loaded");
    const auto first = reconciler.take_due(engine, version, start);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(reconciler.take_due(engine, version, start).empty());
    const auto later = start + engine_reconciler::resend_interval;
    const auto second = reconciler.take_due(engine, version, later);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_LT(first[0].token, second[0].token);
    EXPECT_EQ(first[0].state, second[0].state);
    reconciler.confirm(first[0]);
    reconciler.set_desired(engine, "model:large", "loaded");
    EXPECT_TRUE(
        reconciler.take_due(engine, version, later + engine_reconciler::resend_interval).empty());
}

TEST(engine_reconciler, a_late_confirmation_does_not_confirm_a_newer_state)
{
    engine_reconciler reconciler{1'000};
    reconciler.set_desired(engine, "role", "decode");
    const auto old = reconciler.take_due(engine, version, start);
    reconciler.set_desired(engine, "role", "prefill");
    reconciler.confirm(old[0]);
    const auto fresh = reconciler.take_due(engine, version, start);
    ASSERT_EQ(fresh.size(), 1U);
    EXPECT_EQ(fresh[0].state, "prefill");
    reconciler.on_superseded(engine);
    EXPECT_TRUE(
        reconciler.take_due(engine, version, start + engine_reconciler::resend_interval).empty());
}

TEST(download_limiter, shares_the_rate_and_runs_one_download_per_engine)
{
    download_limiter limiter{base::bytes_per_second{100}};
    const base::bytes size{50};
    EXPECT_TRUE(limiter.try_start(engine, "m", size, 2, start));
    const auto over = start + std::chrono::seconds{1};
    EXPECT_FALSE(
        limiter.try_start(base::target_id{51}, "m", size, 2, over - base::milliseconds{1}));
    EXPECT_FALSE(limiter.try_start(engine, "m", size, 2, over));
    EXPECT_TRUE(limiter.try_start(base::target_id{51}, "m", size, 2, over));
    limiter.finish(engine);
    EXPECT_TRUE(limiter.try_start(engine, "m", size, 2, over + std::chrono::seconds{1}));
}

} // namespace
} // namespace chicorylink::dispatch
