#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/region_choice.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds round_trip{110};
constexpr std::uint32_t shared = 5400;
constexpr std::uint32_t own = 6600;

/// Three regions of different sizes.
struct regions {
    std::map<std::string, std::uint32_t> targets{{"large", 80}, {"middle", 50}, {"small", 30}};
    std::map<std::string, milliseconds> waits{{"large", {}}, {"middle", {}}, {"small", {}}};

    [[nodiscard]] std::vector<remote_region> others_than(const std::string& own_region) const
    {
        std::vector<remote_region> others;
        for (const auto& [name, count] : targets) {
            if (name != own_region) {
                others.push_back({region_name{name}, waits.at(name), round_trip, count});
            }
        }
        return others;
    }
    [[nodiscard]] region_request request(const std::string& from, std::uint64_t session) const
    {
        region_request inputs;
        inputs.is_engine = true;
        inputs.prompt_tokens = shared + own;
        inputs.shared_tokens = shared;
        inputs.session = session;
        inputs.latency_objective = seconds{1};
        inputs.time_left = seconds{15};
        inputs.own_region = region_name{from};
        inputs.own_targets = targets.at(from);
        return inputs;
    }
    /// The region that a request goes to when its own region has `cached` shared tokens cached.
    [[nodiscard]] std::string region_of(const std::string& from, std::uint64_t session,
                                        std::uint32_t cached = 0) const
    {
        placement_choice local_choice;
        local_choice.wait = waits.at(from);
        local_choice.unread_tokens = own + shared - cached;
        local_choice.start = local_choice.wait + milliseconds{local_choice.unread_tokens / 60};
        const auto decision =
            choose_region(local_choice, others_than(from), request(from, session));
        return decision.kind == region_decision_kind::local ? from : decision.region.text();
    }
};

// The callers of a session are spread over all regions of a large fleet. Each region read the
// session's parts, which made two of three reads of shared parts redundant at low load.
TEST(region_choice, reads_the_parts_of_a_session_in_one_region_only)
{
    const regions all_regions;
    for (std::uint64_t number = 1; number <= 200; ++number) {
        const auto session = base::hash_pair(number, 1);
        std::set<std::string> readers;
        for (const auto& [from, count] : all_regions.targets) {
            readers.insert(all_regions.region_of(from, session));
        }
        EXPECT_EQ(readers.size(), 1U);
    }
}

// Sessions are spread by the capacity of the regions, whichever region a request comes from.
// Otherwise a region at its peak has only its own targets while the others are idle.
TEST(region_choice, spreads_sessions_by_the_number_of_targets)
{
    const regions all_regions;
    std::map<std::string, int> sessions;
    constexpr int count = 1600;
    for (std::uint64_t number = 1; number <= count; ++number) {
        ++sessions[all_regions.region_of("small", base::hash_pair(number, 2))];
    }
    constexpr double slack = 0.05 * count;
    EXPECT_NEAR(sessions["large"], 0.5 * count, slack);
    EXPECT_NEAR(sessions["middle"], 0.3125 * count, slack);
    EXPECT_NEAR(sessions["small"], 0.1875 * count, slack);
}

/// A session whose home region is not `from`.
std::uint64_t session_of_other_region(const regions& all_regions, const std::string& from)
{
    std::uint64_t number = 1;
    while (all_regions.region_of(from, base::hash_pair(number, 3)) == from) {
        ++number;
    }
    return base::hash_pair(number, 3);
}

TEST(region_choice, a_session_cached_in_this_region_stays)
{
    const regions all_regions;
    const auto session = session_of_other_region(all_regions, "small");
    EXPECT_EQ(all_regions.region_of("small", session, shared), "small");
    EXPECT_NE(all_regions.region_of("small", session, 0), "small");
}

TEST(region_choice, a_loaded_home_region_gets_no_sessions)
{
    regions all_regions;
    const auto session = session_of_other_region(all_regions, "small");
    for (auto& [name, wait] : all_regions.waits) {
        wait = name == "small" ? milliseconds{0} : milliseconds{400};
    }
    EXPECT_EQ(all_regions.region_of("small", session), "small");
}

// Reading a short prompt again takes less time than its transfer to another region.
TEST(region_choice, a_short_prompt_stays_in_its_region)
{
    const regions all_regions;
    const auto session = session_of_other_region(all_regions, "small");
    auto request = all_regions.request("small", session);
    request.prompt_tokens = 2400;
    request.shared_tokens = 570;
    placement_choice local_choice;
    local_choice.unread_tokens = 2400;
    local_choice.start = milliseconds{76};
    EXPECT_EQ(choose_region(local_choice, all_regions.others_than("small"), request).kind,
              region_decision_kind::local);
}

TEST(region_choice, a_request_refused_by_its_home_region_is_not_sent_there_again)
{
    const regions all_regions;
    const auto session = session_of_other_region(all_regions, "small");
    auto request = all_regions.request("small", session);
    request.remote_attempt_failed = true;
    placement_choice local_choice;
    local_choice.unread_tokens = own + shared;
    local_choice.start = milliseconds{200};
    EXPECT_EQ(choose_region(local_choice, all_regions.others_than("small"), request).kind,
              region_decision_kind::local);
}

// The coordinator must not reserve a place for a request that leaves the region.
TEST(region_choice, limits_for_the_coordinator_keep_home_regions)
{
    const regions all_regions;
    const auto session = session_of_other_region(all_regions, "small");
    EXPECT_LT(
        local_limits_for(all_regions.others_than("small"), all_regions.request("small", session))
            .reread_tokens,
        shared / 2);
    EXPECT_EQ(local_limits_for({}, all_regions.request("small", session)).reread_tokens,
              std::numeric_limits<std::uint32_t>::max());
}

} // namespace
} // namespace chicorylink::fleet
