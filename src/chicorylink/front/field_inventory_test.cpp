#include "chicorylink/front/field_inventory.hpp"

#include <string>

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

header_names some_names()
{
    header_names names;
    names.rate_limit = "Limit";
    names.unused_in_responses = {"Version"};
    return names;
}

// Guards against a new field of the targets that nobody reads and no log shows.
TEST(field_inventory, tells_each_unknown_field_once)
{
    field_inventory inventory(some_names());
    EXPECT_TRUE(inventory.is_new("Server-Mood"));
    EXPECT_FALSE(inventory.is_new("server-mood"));
    for (const auto* known : {"limit", "VERSION", "content-type", "Retry-After"}) {
        EXPECT_FALSE(inventory.is_new(known)) << known;
    }
}

TEST(field_inventory, remembers_a_limited_number_of_names)
{
    field_inventory inventory(some_names());
    int told = 0;
    for (int number = 0; number < 1000; ++number) {
        told += inventory.is_new("X-" + std::to_string(number)) ? 1 : 0;
    }
    EXPECT_EQ(told, 64);
}

} // namespace
} // namespace chicorylink::front
