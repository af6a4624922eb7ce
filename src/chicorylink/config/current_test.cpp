#include "chicorylink/config/current.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::config {
namespace {

std::shared_ptr<const rules::rulebook> make_book(std::uint64_t version)
{
    return rules::rulebook_builder{base::config_version{version}}.build().value();
}

TEST(current, takes_only_newer_rulebooks)
{
    current holder;
    EXPECT_EQ(holder.get(), nullptr);
    EXPECT_TRUE(holder.set(make_book(2)));
    EXPECT_FALSE(holder.set(make_book(2)));
    EXPECT_FALSE(holder.set(make_book(1)));
    EXPECT_FALSE(holder.set(nullptr));
    EXPECT_EQ(holder.get()->version(), base::config_version{2});
}

TEST(current, readers_never_see_a_version_go_back)
{
    constexpr std::uint64_t versions = 500;
    constexpr int readers = 4;
    current holder;
    std::atomic<bool> version_decreased = false;
    std::atomic<bool> stop = false;
    std::vector<std::jthread> threads;
    threads.reserve(readers);
    for (int i = 0; i < readers; ++i) {
        threads.emplace_back([&] {
            base::config_version last;
            while (!stop) {
                const auto book = holder.get();
                const auto seen = book ? book->version() : base::config_version{};
                version_decreased = version_decreased || seen < last;
                last = seen;
            }
        });
    }
    for (std::uint64_t i = 1; i <= versions; ++i) {
        holder.set(make_book(i % 7 == 0 ? i / 2 : i));
    }
    stop = true;
    threads.clear();
    EXPECT_FALSE(version_decreased);
    EXPECT_EQ(holder.get()->version(), base::config_version{versions});
}

} // namespace
} // namespace chicorylink::config
