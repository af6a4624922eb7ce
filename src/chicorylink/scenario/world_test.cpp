#include "chicorylink/scenario/world.hpp"

#include <gtest/gtest.h>

namespace chicorylink::scenario {
namespace {

struct inbox {
    std::vector<int> numbers;
};

class echo_world : public ::testing::Test {
protected:
    echo_world()
    {
        scene.add_module({.module = "echo",
                          .receive =
                              [](world&, vm& self, const envelope& message) {
                                  self.state<inbox>().numbers.push_back(
                                      std::any_cast<int>(message.body));
                              },
                          .refused = [this](world&, vm&, const envelope&) { ++refusals; }});
        scene.add_vm("a", "north", "north-1");
        scene.add_vm("b", "south", "south-1");
    }

    void send(int number) { scene.send(scene.find("a"), "b", "echo.number", number, 4); }
    std::vector<int> received() { return scene.find("b").state<inbox>().numbers; }

    world scene;
    int refusals = 0;
};

TEST_F(echo_world, delivers_drops_and_duplicates)
{
    send(1);
    send(2);
    EXPECT_EQ(scene.drop({.number = 1}), 1U);
    EXPECT_EQ(scene.duplicate({.kind = "echo"}), 1U);
    EXPECT_EQ(scene.deliver({}), 2U);
    EXPECT_EQ(received(), (std::vector{2, 2}));
}

TEST_F(echo_world, parted_regions_lose_messages)
{
    scene.part("north", "south");
    send(1);
    scene.deliver({});
    scene.heal("south", "north");
    send(2);
    scene.deliver({});
    EXPECT_EQ(received(), std::vector{2});
}

TEST_F(echo_world, paused_vm_gets_messages_late)
{
    scene.pause("b");
    send(1);
    scene.run(base::milliseconds{500});
    EXPECT_TRUE(received().empty());
    scene.resume("b");
    scene.deliver({});
    EXPECT_EQ(received(), std::vector{1});
}

TEST_F(echo_world, stopped_vm_refuses_and_restart_forgets)
{
    send(1);
    scene.deliver({});
    const auto before = scene.find("b").process;
    scene.stop("b");
    send(2);
    scene.deliver({});
    EXPECT_EQ(refusals, 1);
    scene.restart("b");
    EXPECT_NE(scene.find("b").process, before);
    EXPECT_TRUE(received().empty());
}

} // namespace
} // namespace chicorylink::scenario
