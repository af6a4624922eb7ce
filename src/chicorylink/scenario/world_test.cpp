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
        sim.add_module({.module = "echo",
                        .receive =
                            [](world&, vm& self, const envelope& message) {
                                self.state<inbox>().numbers.push_back(
                                    std::any_cast<int>(message.body));
                            },
                        .refused = [this](world&, vm&, const envelope&) { ++refusals; }});
        sim.add_vm("a", "north", "north-1");
        sim.add_vm("b", "south", "south-1");
    }

    void send(int number) { sim.send(sim.find("a"), "b", "echo.number", number, 4); }
    std::vector<int> received() { return sim.find("b").state<inbox>().numbers; }

    world sim;
    int refusals = 0;
};

TEST_F(echo_world, delivers_drops_and_duplicates)
{
    send(1);
    send(2);
    EXPECT_EQ(sim.drop({.number = 1}), 1U);
    EXPECT_EQ(sim.duplicate({.kind = "echo"}), 1U);
    EXPECT_EQ(sim.deliver({}), 2U);
    EXPECT_EQ(received(), (std::vector{2, 2}));
}

TEST_F(echo_world, partitioned_regions_lose_messages)
{
    sim.partition("north", "south");
    send(1);
    sim.deliver({});
    sim.heal("south", "north");
    send(2);
    sim.deliver({});
    EXPECT_EQ(received(), std::vector{2});
}

TEST_F(echo_world, paused_vm_gets_messages_late)
{
    sim.pause("b");
    send(1);
    sim.run(base::milliseconds{500});
    EXPECT_TRUE(received().empty());
    sim.resume("b");
    sim.deliver({});
    EXPECT_EQ(received(), std::vector{1});
}

TEST_F(echo_world, stopped_vm_refuses_and_restart_clears_state)
{
    send(1);
    sim.deliver({});
    const auto before = sim.find("b").process;
    sim.stop("b");
    send(2);
    sim.deliver({});
    EXPECT_EQ(refusals, 1);
    sim.restart("b");
    EXPECT_NE(sim.find("b").process, before);
    EXPECT_TRUE(received().empty());
}

} // namespace
} // namespace chicorylink::scenario
