#include "chicorylink/routing/baselines.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"
#include "testing.hpp"

#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::routing {
namespace {

using base::milliseconds;
using testing_support::at;
using testing_support::make_request;
using testing_support::make_team;
using testing_support::region;
using testing_support::route;

constexpr int regions = 4;
constexpr int teams = 5;

std::string region_name(int index)
{
    return "region-" + std::to_string(index);
}

std::vector<base::region_id> random_regions()
{
    std::vector<base::region_id> chosen{region(region_name(*rc::gen::inRange(0, regions)))};
    for (int index = 0; index < regions; ++index) {
        if (*rc::gen::arbitrary<bool>() && chosen[0] != region(region_name(index))) {
            chosen.push_back(region(region_name(index)));
        }
    }
    return chosen;
}

std::shared_ptr<const rules::rulebook> random_rules(std::uint64_t version)
{
    rules::rulebook_builder builder{base::config_version{version}};
    builder.add(rules::route{.id = route(), .name = "chat"});
    for (int index = 0; index < regions; ++index) {
        const auto name = region_name(index);
        builder.add(rules::region{.id = region(name), .name = name});
        const auto targets = *rc::gen::inRange(0, 4);
        for (int number = 0; number < targets; ++number) {
            const auto title = name + "-" + std::to_string(number);
            builder.add(rules::target{.id = base::id_of<base::target_id>(title),
                                      .name = title,
                                      .region = region(name),
                                      .routes = {route()},
                                      .slots = *rc::gen::inRange<std::uint32_t>(1, 4)});
        }
    }
    for (int index = 0; index < teams; ++index) {
        auto team = make_team("team-" + std::to_string(index), random_regions());
        if (*rc::gen::inRange(0, 4) == 0) {
            team.home = team.regions[0];
        }
        builder.add(std::move(team));
    }
    return builder.build().value();
}

/// Sends random events to a router and checks every decision against the current rules.
class checked_router {
public:
    explicit checked_router(policy_function policy)
        : m_here(region(region_name(0))),
          m_router(
              {.region = m_here, .seed = *rc::gen::arbitrary<std::uint64_t>(), .policy = policy})
    {
        change_rules();
    }

    void step()
    {
        m_now += *rc::gen::inRange(0, 400);
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            check(m_router.on_target_report(any_target(), any_report(), at(m_now)));
            return;
        case 1:
            change_target();
            return;
        case 2:
            m_router.on_region_summary(any_summary(), at(m_now));
            return;
        case 3:
            finish_one();
            return;
        case 4:
            check(m_router.tick(at(m_now)));
            return;
        case 5:
            if (*rc::gen::inRange(0, 8) == 0) {
                change_rules();
            }
            return;
        default:
            submit_request();
        }
    }

private:
    void change_rules()
    {
        m_book = random_rules(++m_version);
        m_leaving.clear();
        for (const auto& known : m_book->targets()) {
            m_router.on_target_state(known.id, target_availability::live, at(m_now));
        }
        check(m_router.on_rules(m_book, at(m_now)));
        for (const auto& known : m_book->targets()) {
            m_router.on_target_state(known.id, target_availability::live, at(m_now));
        }
    }

    void change_target()
    {
        const auto changed = any_target();
        const auto leaves = *rc::gen::arbitrary<bool>();
        m_router.on_target_state(
            changed, leaves ? target_availability::leaving : target_availability::live, at(m_now));
        if (leaves) {
            m_leaving.insert(changed);
        }
        else {
            m_leaving.erase(changed);
        }
    }

    void submit_request()
    {
        auto req =
            make_request(m_requests.size(), "team-" + std::to_string(*rc::gen::inRange(0, teams)));
        req.hop = *rc::gen::inRange<std::uint8_t>(0, 2);
        req.pinned = *rc::gen::inRange(0, 6) == 0;
        req.prefix.session = prefix_hash{*rc::gen::inRange<std::uint64_t>(0, 20)};
        req.deadline = at(m_now + *rc::gen::inRange(0, 20'000));
        m_requests.push_back(req);
        check(m_router.submit(req, at(m_now)));
    }

    void finish_one()
    {
        if (m_requests.empty()) {
            return;
        }
        const auto& done = m_requests[*rc::gen::inRange<std::size_t>(0, m_requests.size())];
        const auto outcome = *rc::gen::element(attempt_outcome::succeeded, attempt_outcome::failed);
        check(m_router.on_attempt_finished(
            {.id = done.id, .route = route(), .outcome = outcome, .latency = milliseconds{100}},
            at(m_now)));
    }

    base::target_id any_target() const
    {
        const auto name = region_name(*rc::gen::inRange(0, regions)) + "-" +
                          std::to_string(*rc::gen::inRange(0, 4));
        return base::id_of<base::target_id>(name);
    }

    static load_report any_report()
    {
        return {.running = *rc::gen::inRange<std::uint32_t>(0, 5),
                .age = milliseconds{*rc::gen::inRange(0, 4000)}};
    }

    static region_summary any_summary()
    {
        region_summary message{.region = region(region_name(*rc::gen::inRange(0, regions))),
                               .routes = {}};
        message.routes.push_back({route(), 10, *rc::gen::inRange<std::uint32_t>(0, 10),
                                  milliseconds{*rc::gen::inRange(0, 100)}});
        return message;
    }

    void check(const std::vector<decision>& decisions)
    {
        for (const auto& each : decisions) {
            check(each);
        }
    }

    void check(const decision& checked)
    {
        const auto& req = m_requests.at(checked.id.value());
        const auto& team = *m_book->find(req.team);
        if (checked.kind == decision_kind::dispatched) {
            const auto* target = m_book->find(checked.target);
            RC_ASSERT(target != nullptr);
            RC_ASSERT(target->region == m_here);
            RC_ASSERT(rules::may_run_in(team, m_here));
            RC_ASSERT(!m_leaving.contains(checked.target));
        }
        if (checked.kind == decision_kind::forward) {
            RC_ASSERT(req.hop == 0);
            RC_ASSERT(!req.pinned);
            RC_ASSERT(checked.region != m_here);
            RC_ASSERT(rules::may_run_in(team, checked.region));
        }
        if (checked.kind == decision_kind::queued) {
            RC_ASSERT(rules::may_run_in(team, m_here));
        }
        if (checked.kind == decision_kind::refused) {
            RC_ASSERT(checked.reason != refusal_reason::none);
        }
    }

    base::region_id m_here;
    router m_router;
    std::shared_ptr<const rules::rulebook> m_book;
    std::uint64_t m_version = 0;
    std::int64_t m_now = 0;
    std::vector<request> m_requests;
    std::set<base::target_id> m_leaving;
};

void check_policy(policy_function policy, std::uint64_t seed)
{
    const rc::detail::TestParams params{.seed = seed, .maxSuccess = 300};
    const auto property = [policy] {
        checked_router tested(policy);
        for (int count = 0; count < 150; ++count) {
            tested.step();
        }
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed " << seed << ": " << text.str();
}

TEST(region_rule, every_decision_respects_regions_hops_and_leaving_targets)
{
    check_policy(&choose, 41);
}

TEST(region_rule, baseline_policies_respect_the_region_rules)
{
    std::uint64_t seed = 50;
    for (const auto policy : {&random_policy, &round_robin_policy, &least_load_policy,
                              &affinity_policy, &local_only_policy}) {
        check_policy(policy, ++seed);
    }
}

} // namespace
} // namespace chicorylink::routing
