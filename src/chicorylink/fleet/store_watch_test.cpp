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

unconfirmed_vm make_vm(int number, std::size_t region_vms)
{
    unconfirmed_vm vm;
    vm.ip = fmt::format("10.0.0.{}", number);
    vm.region_vms = region_vms;
    vm.hears_delegate = true;
    return vm;
}

// While the store was down for three seconds, each of 295 VMs queried it repeatedly, which made up
// half of all calls in that run.
TEST(store_watch, a_few_vms_of_a_large_region_query_the_store_in_turns)
{
    constexpr int vms = 98;
    std::vector<int> queries(vms, 0);
    int windows_without = 0;
    int total = 0;
    constexpr int windows = 40;
    for (int window = 0; window < windows; ++window) {
        int querying = 0;
        for (int number = 0; number < vms; ++number) {
            const bool is_querying =
                should_query_store(make_vm(number, vms), at(window * store_reader_window));
            queries[static_cast<std::size_t>(number)] += is_querying ? 1 : 0;
            querying += is_querying ? 1 : 0;
        }
        windows_without += querying == 0 ? 1 : 0;
        total += querying;
    }
    EXPECT_EQ(windows_without, 0);
    EXPECT_LE(total, 2 * windows * static_cast<int>(store_readers_per_window));
    // Not the same ones each time: the store may reject some of them.
    EXPECT_GT(std::count_if(queries.begin(), queries.end(), [](int times) { return times > 0; }),
              80);
}

TEST(store_watch, all_vms_of_a_small_region_query_the_store)
{
    for (int number = 0; number < 8; ++number) {
        EXPECT_TRUE(should_query_store(make_vm(number, 8), at(seconds{1})));
    }
}

TEST(store_watch, vms_that_cannot_rely_on_a_delegate_query_the_store)
{
    for (int number = 0; number < 50; ++number) {
        auto cut_off = make_vm(number, 98);
        cut_off.hears_delegate = false;
        EXPECT_TRUE(should_query_store(cut_off, at(seconds{1})));
        // Hears from a confirmed delegate that does not hear from it.
        auto one_way = make_vm(number, 98);
        one_way.hears_confirmed = true;
        EXPECT_TRUE(should_query_store(one_way, at(seconds{1})));
        auto delegate = make_vm(number, 98);
        delegate.is_delegate = true;
        EXPECT_TRUE(should_query_store(delegate, at(seconds{1})));
    }
}

} // namespace
} // namespace chicorylink::fleet
