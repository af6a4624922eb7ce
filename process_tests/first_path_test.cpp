#include "fleet.hpp"

#include <cstdlib>
#include <filesystem>

#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

std::string binaries()
{
    return std::getenv("CHICORYLINK_BINARIES");
}

std::string log_folder(const std::string& test)
{
    const auto folder = binaries() + "/logs/" + test;
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

TEST(first_path, chat_is_answered_plain_and_streamed)
{
    fleet all(binaries(), log_folder("first_path"));
    const auto engine = all.start_target("engine-a", "stand_in_engine");
    const auto version = all.publish("region a # test\n"
                                     "team shop regions=a rate=1000/s burst=10000 # test\n"
                                     "key shop " +
                                     digest_of("k1") +
                                     " # test\n"
                                     "route chat kind=model deadline=10s # test\n"
                                     "target engine-a region=a address=" +
                                     engine + " routes=chat slots=8 # test\n");
    auto& vm = all.start_vm("vm-a1", "a");
    ASSERT_TRUE(all.wait_ready(version));
    const auto plain =
        perform_when_admitted(chat_call(vm.url("/v1/chat/completions"), "k1", "chat", "hello"));
    EXPECT_EQ(plain.status, 200) << plain.body;
    const auto streamed =
        perform(chat_call(vm.url("/v1/chat/completions"), "k1", "chat", "hello", true));
    EXPECT_EQ(streamed.status, 200);
    EXPECT_TRUE(streamed.whole);
    EXPECT_NE(streamed.body.find("data: [DONE]"), std::string::npos) << streamed.body;
    const auto unknown = perform(chat_call(vm.url("/v1/chat/completions"), "k2", "chat", "hello"));
    EXPECT_EQ(unknown.refusal(), "unknown_key");
}

} // namespace
} // namespace chicorylink::process_tests
