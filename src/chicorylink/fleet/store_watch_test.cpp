#include "chicorylink/fleet/store_watch.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

unconfirmed_vm vm(int number, std::size_t region_vms)
{
    unconfirmed_vm who;
    who.ip = fmt::format("10.0.0.{}", number);
    who.region_vms = region_vms;
    who.hears_delegate = true;
    return who;
}

// Large fleets, the store down for three seconds: each of 295 VMs asked it again and again, half
// of the day's calls.
TEST(store_watch, a_few_vms_of_a_large_region_ask_by_turns)
{
    constexpr int vms = 98;
    std::vector<int> asked(vms, 0);
    int windows_without = 0;
    int all = 0;
    constexpr int windows = 40;
    for (int window = 0; window < windows; ++window) {
        int now_asking = 0;
        for (int number = 0; number < vms; ++number) {
            const bool asks = asks_store(vm(number, vms), at(window * helper_window));
            asked[static_cast<std::size_t>(number)] += asks ? 1 : 0;
            now_asking += asks ? 1 : 0;
        }
        windows_without += now_asking == 0 ? 1 : 0;
        all += now_asking;
    }
    EXPECT_EQ(windows_without, 0);
    EXPECT_LE(all, 2 * windows * static_cast<int>(store_helpers));
    // Not the same ones each time: some may be turned away.
    EXPECT_GT(std::count_if(asked.begin(), asked.end(), [](int times) { return times > 0; }), 80);
}

TEST(store_watch, all_vms_of_a_small_region_ask)
{
    for (int number = 0; number < 8; ++number) {
        EXPECT_TRUE(asks_store(vm(number, 8), at(seconds{1})));
    }
}

TEST(store_watch, who_cannot_rely_on_a_delegate_asks_itself)
{
    for (int number = 0; number < 50; ++number) {
        auto cut_off = vm(number, 98);
        cut_off.hears_delegate = false;
        EXPECT_TRUE(asks_store(cut_off, at(seconds{1})));
        // Hears a confirmed delegate that does not hear it.
        auto one_way = vm(number, 98);
        one_way.hears_confirmed = true;
        EXPECT_TRUE(asks_store(one_way, at(seconds{1})));
        auto delegate = vm(number, 98);
        delegate.is_delegate = true;
        EXPECT_TRUE(asks_store(delegate, at(seconds{1})));
    }
}

} // namespace
} // namespace chicorylink::fleet
