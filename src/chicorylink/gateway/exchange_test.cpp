#include "chicorylink/gateway/exchange.hpp"

#include <array>

#include <gtest/gtest.h>

namespace chicorylink::gateway {
namespace {

struct fake_connection {
    int suspended = 0;
    int woken = 0;

    exchange::read_state read(exchange& from, std::string& text)
    {
        std::array<char, 8> out{};
        std::size_t count = 0;
        const auto state = from.read(
            out.data(), out.size(), count, [this] { ++suspended; }, [this] { ++woken; });
        text.append(out.data(), count);
        return state;
    }
};

TEST(exchange, read_suspends_until_data_arrives)
{
    exchange request{1};
    fake_connection connection;
    std::string text;
    ASSERT_TRUE(request.begin(200, {}));
    EXPECT_EQ(connection.read(request, text), exchange::read_state::wait);
    EXPECT_EQ(connection.suspended, 1);
    EXPECT_TRUE(request.append("abc"));
    EXPECT_EQ(connection.woken, 1);
    EXPECT_EQ(connection.read(request, text), exchange::read_state::data);
    request.finish();
    EXPECT_EQ(connection.read(request, text), exchange::read_state::end);
    EXPECT_EQ(text, "abc");
}

TEST(exchange, aborted_stream_delivers_data_but_no_clean_end)
{
    exchange request{1};
    fake_connection connection;
    std::string text;
    request.begin(200, {});
    request.append("abc");
    request.abort();
    request.finish();
    EXPECT_EQ(connection.read(request, text), exchange::read_state::data);
    EXPECT_EQ(connection.read(request, text), exchange::read_state::aborted);
    EXPECT_EQ(text, "abc");
}

TEST(exchange, only_the_first_response_counts)
{
    exchange request{1};
    EXPECT_TRUE(request.respond({503, {}, "a"}));
    EXPECT_FALSE(request.respond({200, {}, "b"}));
    EXPECT_FALSE(request.begin(200, {}));
    EXPECT_EQ(request.complete_response()->status, 503);
}

TEST(exchange, full_buffer_asks_to_pause_and_reports_room)
{
    exchange request{1};
    fake_connection connection;
    bool room = false;
    request.set_on_room([&] { room = true; });
    request.begin(200, {});
    EXPECT_FALSE(request.append(std::string(exchange::stream_buffer_size, 'x')));
    std::string text;
    while (!room) {
        ASSERT_EQ(connection.read(request, text), exchange::read_state::data);
    }
    EXPECT_GE(text.size(), exchange::stream_buffer_size / 2);
}

} // namespace
} // namespace chicorylink::gateway
