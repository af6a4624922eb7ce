#include "chicorylink/dispatch/download_limiter.hpp"
#include "chicorylink/dispatch/order_book.hpp"
#include "chicorylink/dispatch/orderer.hpp"
#include "chicorylink/rules/target.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::dispatch {
namespace {

using membership::member_state;

constexpr base::time_point start{};
constexpr base::region_id here{1};
constexpr base::region_id elsewhere{2};
constexpr base::target_id engine{50};
constexpr base::config_version version{3};

membership::view view_of(const std::vector<member_state>& states, std::uint64_t self)
{
    membership::view known{.self = base::vm_id{self}};
    for (std::size_t i = 0; i < states.size(); ++i) {
        known.members.push_back({.id = base::vm_id{i + 1}, .region = here, .state = states[i]});
    }
    known.member_until = start + base::milliseconds{100};
    return known;
}

rules::target make_target(bool checks_fencing)
{
    return {.id = engine, .region = here, .checks_fencing = checks_fencing};
}

TEST(fencing_token, grows_with_configuration_start_and_counter)
{
    EXPECT_LT((fencing_token{version, 5, 9}), (fencing_token{version, 6, 1}));
    EXPECT_LT((fencing_token{version, 9, 9}), (fencing_token{base::config_version{4}, 1, 1}));
    EXPECT_LT((fencing_token{version, 5, 1}), (fencing_token{version, 5, 2}));
}

TEST(orderer, keeps_a_suspect_and_passes_on_from_a_gone_one)
{
    std::vector<member_state> states(4, member_state::live);
    const auto subject = make_target(false);
    const auto first = orderer_of(subject, view_of(states, 1))->value();
    states[first - 1] = member_state::suspect;
    EXPECT_EQ(orderer_of(subject, view_of(states, 1))->value(), first);
    states[first - 1] = member_state::gone;
    const auto second = orderer_of(subject, view_of(states, 1))->value();
    EXPECT_NE(second, first);
    EXPECT_TRUE(may_order(subject, view_of(states, second), start));
    EXPECT_FALSE(may_order(subject, view_of(states, first), start));
}

TEST(orderer, a_process_that_slept_orders_only_engines_that_check_tokens)
{
    const auto known = view_of({member_state::live}, 1);
    EXPECT_TRUE(may_order(make_target(false), known, start));
    EXPECT_FALSE(may_order(make_target(false), known, known.member_until));
    EXPECT_TRUE(may_order(make_target(true), known, known.member_until));
    auto remote = make_target(true);
    remote.region = elsewhere;
    EXPECT_FALSE(orderer_of(remote, known).has_value());
}

TEST(orderer, one_vm_at_most_for_any_view_that_all_share)
{
    const rc::detail::TestParams params{.seed = 12, .maxSuccess = 500};
    const auto result = rc::detail::checkTestable(
        [](const std::vector<std::uint8_t>& choices) {
            std::vector<member_state> states;
            states.reserve(choices.size());
            for (const auto choice : choices) {
                states.push_back(static_cast<member_state>(choice % 4));
            }
            std::size_t orderers = 0;
            for (std::size_t self = 1; self <= states.size(); ++self) {
                orderers += may_order(make_target(false), view_of(states, self), start) ? 1 : 0;
            }
            RC_ASSERT(orderers <= 1);
        },
        rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed 12";
}

TEST(order_book, repeats_until_confirmed_with_growing_tokens)
{
    order_book book{1'000};
    book.want(engine, "model:large", "loaded");
    const auto first = book.take_due(engine, version, start);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(book.take_due(engine, version, start).empty());
    const auto later = start + order_book::repeat_after;
    const auto second = book.take_due(engine, version, later);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_LT(first[0].token, second[0].token);
    EXPECT_EQ(first[0].state, second[0].state);
    book.confirm(first[0]);
    book.want(engine, "model:large", "loaded");
    EXPECT_TRUE(book.take_due(engine, version, later + order_book::repeat_after).empty());
}

TEST(order_book, a_late_confirmation_does_not_settle_a_newer_wish)
{
    order_book book{1'000};
    book.want(engine, "role", "decode");
    const auto old = book.take_due(engine, version, start);
    book.want(engine, "role", "prefill");
    book.confirm(old[0]);
    const auto fresh = book.take_due(engine, version, start);
    ASSERT_EQ(fresh.size(), 1U);
    EXPECT_EQ(fresh[0].state, "prefill");
    book.superseded(engine);
    EXPECT_TRUE(book.take_due(engine, version, start + order_book::repeat_after).empty());
}

TEST(download_limiter, shares_the_rate_and_fetches_once_for_an_engine)
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
