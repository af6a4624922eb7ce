#include "chicorylink/dispatch/ticket_table.hpp"

#include <gtest/gtest.h>

namespace chicorylink::dispatch {
namespace {

using verdict = ticket_verdict;

constexpr base::time_point start{};
constexpr attempt_id holder{base::incarnation{5}, 1};
constexpr attempt_id other{base::incarnation{6}, 1};
constexpr base::team_id team{1};
constexpr base::route_id route{2};

class ticket_table_test : public ::testing::Test {
protected:
    static ticket_settings settings()
    {
        return {.self = base::vm_id{3},
                .process = base::incarnation{4},
                .epoch = start,
                .capacity = 2,
                .response_bytes = 100,
                .total_response_bytes = 150};
    }

    ticket issue(base::time_point now = start) { return m_table.issue(team, route, now).value(); }

    bool can_issue(base::time_point now = start)
    {
        return base::leaf::try_handle_all(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(m_table.issue(team, route, now));
                return true;
            },
            [](const base::error&) { return false; }, [] { return false; });
    }

    ticket_decision begin(const ticket& value, base::time_point now = start)
    {
        return m_table.begin(value, m_request, holder, now);
    }

    const base::digest m_request = base::sha256("", "book");
    const base::digest m_other_request = base::sha256("", "book twice");
    ticket_table m_table{settings()};
    const base::time_point m_begin_before = start + settings().lifetime;
    const base::time_point m_discard_at = m_begin_before + settings().retention;
};

TEST_F(ticket_table_test, runs_once_and_repeats_the_response)
{
    const auto issued = issue();
    EXPECT_EQ(begin(issued).verdict, verdict::run);
    EXPECT_EQ(begin(issued).verdict, verdict::in_progress);
    EXPECT_EQ(m_table.in_progress(), 1U);
    m_table.end(issued, other, outcome::not_run, {});
    EXPECT_EQ(begin(issued).verdict, verdict::in_progress);
    m_table.end(issued, holder, outcome::ran, stored_response{.status = 201, .body = "done"});
    const auto repeat = begin(issued, m_begin_before);
    EXPECT_EQ(repeat.verdict, verdict::answered);
    EXPECT_EQ(repeat.result, outcome::ran);
    EXPECT_EQ(repeat.response->body, "done");
    EXPECT_EQ(m_table.begin(issued, m_other_request, holder, start).verdict, verdict::mismatch);
    EXPECT_EQ(m_table.in_progress(), 0U);
}

TEST_F(ticket_table_test, never_runs_after_not_run_or_unknown)
{
    const auto first = issue();
    EXPECT_EQ(begin(first).verdict, verdict::run);
    m_table.end(first, holder, outcome::not_run, {});
    EXPECT_EQ(begin(first).verdict, verdict::voided);
    EXPECT_EQ(begin(first).result, outcome::not_run);
    const auto second = issue();
    EXPECT_EQ(begin(second).verdict, verdict::run);
    m_table.end(second, holder, outcome::ran, {});
    EXPECT_EQ(begin(second).verdict, verdict::uncertain);
    EXPECT_EQ(begin(second).result, outcome::unknown);
}

TEST_F(ticket_table_test, a_refused_ticket_is_voided_unless_it_was_used)
{
    const auto unused = issue();
    EXPECT_EQ(m_table.refuse(unused, start).result, outcome::not_run);
    EXPECT_EQ(begin(unused).verdict, verdict::voided);
    const auto used = issue();
    EXPECT_EQ(begin(used).verdict, verdict::run);
    EXPECT_EQ(m_table.refuse(used, start).result, outcome::unknown);
    m_table.end(used, holder, outcome::ran, stored_response{});
    EXPECT_EQ(m_table.refuse(used, start).result, outcome::ran);
}

TEST_F(ticket_table_test, distinguishes_expired_from_forgotten)
{
    const auto issued = issue();
    EXPECT_EQ(begin(issued, m_begin_before).verdict, verdict::expired);
    EXPECT_EQ(begin(issued, m_begin_before).result, outcome::not_run);
    EXPECT_EQ(begin(issued, m_discard_at).verdict, verdict::forgotten);
    EXPECT_EQ(begin(issued, m_discard_at).result, outcome::unknown);
}

TEST_F(ticket_table_test, a_ticket_of_another_process_never_runs)
{
    auto issued = issue();
    issued.process = base::incarnation{99};
    EXPECT_EQ(begin(issued).verdict, verdict::forgotten);
    EXPECT_EQ(m_table.refuse(issued, start).result, outcome::unknown);
}

TEST_F(ticket_table_test, refuses_new_tickets_when_full_and_discards_none_early)
{
    const auto first = issue();
    issue();
    EXPECT_FALSE(can_issue());
    EXPECT_EQ(begin(first).verdict, verdict::run);
    m_table.discard_expired(m_discard_at - base::milliseconds{1});
    EXPECT_EQ(m_table.size(), 1U);
    EXPECT_FALSE(can_issue(m_discard_at - base::milliseconds{1}));
    const auto later = m_discard_at + std::chrono::seconds{2};
    m_table.discard_expired(later);
    EXPECT_EQ(m_table.size(), 0U);
    EXPECT_TRUE(can_issue(later));
}

TEST_F(ticket_table_test, keeps_response_bodies_within_their_limit)
{
    const auto first = issue();
    const auto second = issue();
    for (const auto& each : {first, second}) {
        EXPECT_EQ(begin(each).verdict, verdict::run);
        m_table.end(each, holder, outcome::ran,
                    stored_response{.status = 200, .body = std::string(90, 'x')});
    }
    EXPECT_TRUE(begin(first).response->has_body);
    EXPECT_FALSE(begin(second).response->has_body);
    EXPECT_EQ(begin(second).response->status, 200);
    EXPECT_EQ(m_table.response_bytes(), 90U);
    m_table.discard_expired(m_discard_at);
    EXPECT_EQ(m_table.response_bytes(), 0U);
}

TEST_F(ticket_table_test, a_closed_table_voids_unused_tickets_and_still_responds)
{
    const auto used = issue();
    const auto unused = issue();
    EXPECT_EQ(begin(used).verdict, verdict::run);
    m_table.close();
    EXPECT_FALSE(can_issue(m_discard_at + std::chrono::seconds{2}));
    EXPECT_EQ(begin(unused).verdict, verdict::voided);
    m_table.end(used, holder, outcome::ran, stored_response{});
    EXPECT_EQ(begin(used).verdict, verdict::answered);
}

TEST(ticket_text, is_verified_with_two_keys)
{
    const ticket issued{
        team, route, base::vm_id{3}, base::incarnation{4}, ticket_number{5}, base::milliseconds{6}};
    const auto text = to_text(issued, {.current = "old"});
    const auto parse = [](const std::string& candidate, const ticket_keys& keys) {
        return base::leaf::try_handle_all(
            [&]() -> base::result<std::optional<ticket>> {
                return BOOST_LEAF_CHECK(ticket_from_text(candidate, keys));
            },
            [] { return std::optional<ticket>{}; });
    };
    EXPECT_EQ(parse(text, {.current = "old"}), issued);
    EXPECT_EQ(parse(text, {.current = "new", .previous = "old"}), issued);
    EXPECT_FALSE(parse(text, {.current = "new"}));
    EXPECT_FALSE(parse(text, {}));
    for (std::size_t i = 0; i < text.size(); ++i) {
        auto forged = text;
        forged[i] = forged[i] == '0' ? '1' : '0';
        EXPECT_FALSE(parse(forged, {.current = "old"})) << i;
    }
    EXPECT_FALSE(parse(text + "0", {.current = "old"}));
}

TEST(entry_refusal, reports_not_run_with_a_ticket_only_for_a_first_attempt)
{
    EXPECT_EQ(outcome_of_entry_refusal(false, false), outcome::not_run);
    EXPECT_EQ(outcome_of_entry_refusal(true, true), outcome::not_run);
    EXPECT_EQ(outcome_of_entry_refusal(true, false), outcome::unknown);
}

} // namespace
} // namespace chicorylink::dispatch
