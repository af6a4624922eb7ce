// Every request that was written on a connection that a VM accepted gets an answer or a refusal,
// whatever is stopped, restarted and configured meanwhile.

#include "front_fleet.hpp"
#include "raw_connection.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = std::chrono::steady_clock;
using http_exchange = scripted_target::http_exchange;

const std::map<std::string, std::string> regions{
    {"127.0.28.11", "east"}, {"127.0.28.12", "east"}, {"127.0.28.13", "west"}};

constexpr seconds default_duration{55};

/// A request that was written this close to the exit of its VM's process may have crossed the close
/// of its connection: the process reads what has arrived, closes its connections and ends, which
/// the test sees within some milliseconds. All earlier requests must be answered.
constexpr milliseconds crossing_time{50};

/// A caller keeps so many connections, so that some of them are first used again late in a stop.
constexpr std::size_t connections_per_caller = 8;

/// A caller uses no connection that was idle for longer: less than every configuration allows.
constexpr milliseconds longest_idle{11'000};
constexpr int shortest_idle_limit_ms = 12'000;

/// Longer than any request may last, so that a missing response is no slow one.
constexpr seconds patience{20};

long setting(const char* name, long otherwise)
{
    const auto* given = std::getenv(name);
    return given == nullptr ? otherwise : std::stol(given);
}

unsigned seed()
{
    return static_cast<unsigned>(setting("CHICORYLINK_SEED", 1));
}

/// What a caller does; it keeps its connections if nothing else is said.
enum class habit {
    /// Sends whole requests.
    wholes,
    /// Opens a connection for each request.
    renews,
    /// Sends each request in two halves.
    halves,
    /// Asks for streams that often last longer than a stop.
    streams,
};

constexpr std::array all_habits{habit::wholes, habit::renews,  habit::halves, habit::halves,
                                habit::halves, habit::streams, habit::streams};

/// A request that ended without a byte of an answer.
struct unanswered_request {
    std::string id;
    std::string ip;
    bool is_whole = false;
    /// The number of requests before it on its connection.
    int earlier = 0;
    clock::time_point sent_at;
    clock::time_point ended_at;
    std::string problem;
};

/// Two VMs in `east` and one in `west`; requests of half of the paths run in `west` only.
class stop_soak : public testing::Test {
protected:
    void start()
    {
        put_config(1, shortest_idle_limit_ms);
        m_fleet.publish_target("i-0", m_targets[0].address(), "east-a");
        m_fleet.publish_target("i-1", m_targets[1].address(), "east-a");
        m_fleet.publish_target("i-2", m_targets[2].address(), "west-a");
        m_fleet.set_seeds({regions.begin()->first, regions.rbegin()->first});
        for (const auto& [ip, region] : regions) {
            m_fleet.start(ip, region);
            ASSERT_TRUE(wait_until([&ip = ip] { return front_fleet::is_ready(ip); }, seconds{10}));
        }
        m_began_at = clock::now();
    }

    void start_callers()
    {
        for (const auto& [ip, region] : regions) {
            for (const auto how : all_habits) {
                const auto number = m_threads.size();
                m_threads.emplace_back([this, ip = ip, how, number] { call(ip, how, number); });
            }
        }
    }

    /// @brief Stops and restarts each VM again and again, at its own times.
    void start_stops()
    {
        for (const auto& [ip, region] : regions) {
            const auto number = static_cast<unsigned>(m_threads.size());
            m_threads.emplace_back([this, ip = ip, region = region, number] {
                std::mt19937 random(seed() * 1000 + number);
                while (!m_is_ending) {
                    sleep_unless_ending(milliseconds{500 + random() % 4500});
                    stop_and_start(ip, region);
                }
            });
        }
    }

    /// @brief Writes configurations and signals for a while.
    void disturb(seconds duration)
    {
        std::mt19937 random(seed());
        const auto end = clock::now() + duration;
        for (int version = 2; clock::now() < end; ++version) {
            std::this_thread::sleep_for(milliseconds{100 + random() % 1400});
            put_config(version, shortest_idle_limit_ms + static_cast<int>(random() % 9000));
            const std::lock_guard lock(m_fleet_mutex);
            auto vm = std::next(regions.begin(), static_cast<long>(random() % regions.size()));
            m_fleet.at(vm->first).signal(SIGHUP);
        }
    }

    void end()
    {
        m_is_ending = true;
        std::for_each(m_threads.begin(), m_threads.end(), [](auto& thread) { thread.join(); });
    }

    [[nodiscard]] bool crossed_an_exit(const unanswered_request& request) const
    {
        const auto& exits = m_exits.at(request.ip);
        return std::any_of(exits.begin(), exits.end(), [&](auto at) {
            return std::chrono::abs(request.sent_at - at) <= crossing_time;
        });
    }

    /// @brief A line for each request that had no answer and crossed no exit.
    [[nodiscard]] std::string list_lost(bool whole) const
    {
        std::string lines;
        for (const auto& request : m_unanswered) {
            if (request.is_whole == whole && !crossed_an_exit(request)) {
                lines +=
                    fmt::format("{} at {}: {} before it, sent at {}, ended at {}: {}\n", request.id,
                                request.ip, request.earlier, since_begin(request.sent_at),
                                since_begin(request.ended_at), request.problem);
            }
        }
        return lines;
    }

    [[nodiscard]] std::string list_exits() const
    {
        std::string lines;
        for (const auto& [ip, exits] : m_exits) {
            for (std::size_t number = 0; number < exits.size(); ++number) {
                lines += fmt::format("{}: signal at {}, exit at {}\n", ip,
                                     since_begin(m_signals.at(ip).at(number)),
                                     since_begin(exits[number]));
            }
        }
        return lines;
    }

    [[nodiscard]] std::string summary() const
    {
        const auto crossed =
            std::count_if(m_unanswered.begin(), m_unanswered.end(),
                          [this](const auto& request) { return crossed_an_exit(request); });
        return fmt::format("seed {}: {} answered, {} refused, {} cut, {} crossed an exit, {} not "
                           "connected\n",
                           seed(), m_answered.load(), m_refused.load(), m_cut.load(), crossed,
                           m_not_connected.load());
    }

    std::atomic<int> m_answered{0};
    std::atomic<int> m_refused{0};

private:
    struct open_connection {
        std::unique_ptr<raw_connection> connection;
        clock::time_point used_at;
        int requests = 0;
    };

    [[nodiscard]] long since_begin(clock::time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - m_began_at).count();
    }

    void put_config(int version, int idle_timeout_ms)
    {
        auto routes = nlohmann::json::array();
        for (const auto* kind : {"safe", "unsafe", "streaming"}) {
            for (const bool is_west : {false, true}) {
                const auto path = fmt::format("/{}{}/", is_west ? "west-" : "", kind);
                routes.push_back({{"name", path},
                                  {"host", "h"},
                                  {"pathPrefix", path},
                                  {"kind", kind},
                                  {"timeoutMs", 12'000},
                                  {"service", "app"},
                                  {"allowedRegions",
                                   is_west ? nlohmann::json{"west"} : nlohmann::json::array()}});
            }
        }
        m_fleet.store().put(
            "op/config", nlohmann::json{{"version", version},
                                        {"routes", routes},
                                        {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                                        {"tenants", {{{"name", "cards"}, {"apiKeys", {"secret"}}}}},
                                        {"limits", {{"idleTimeoutMs", idle_timeout_ms}}}}
                             .dump());
    }

    void sleep_unless_ending(milliseconds time)
    {
        static_cast<void>(wait_until([this] { return m_is_ending.load(); }, time));
    }

    void stop_and_start(const std::string& ip, const std::string& region)
    {
        child_process* vm = nullptr;
        {
            const std::lock_guard lock(m_fleet_mutex);
            vm = &m_fleet.at(ip);
        }
        const auto signaled_at = clock::now();
        vm->signal(SIGTERM);
        // The platform would kill it after eight seconds.
        EXPECT_EQ(vm->wait(milliseconds{8200}), 0) << ip;
        const auto exited_at = clock::now();
        const std::lock_guard lock(m_fleet_mutex);
        m_signals[ip].push_back(signaled_at);
        m_exits[ip].push_back(exited_at);
        m_fleet.start(ip, region);
    }

    /// @brief Sends requests until the end, on one of several connections each.
    void call(const std::string& ip, habit how, std::size_t number)
    {
        std::mt19937 random(seed() * 1000 + static_cast<unsigned>(number));
        std::array<open_connection, connections_per_caller> kept;
        for (int turn = 0; !m_is_ending; ++turn) {
            auto& chosen = kept.at(random() % kept.size());
            const bool is_usable = chosen.connection && !chosen.connection->has_news() &&
                                   clock::now() - chosen.used_at < longest_idle;
            if (how == habit::renews || !is_usable) {
                chosen = {std::make_unique<raw_connection>(ip, front_fleet::callers_port),
                          clock::now(), 0};
            }
            const auto id = fmt::format("{}-{}-{}", ip, number, turn);
            if (!chosen.connection->is_open()) {
                ++m_not_connected;
                chosen.connection = nullptr;
            }
            else if (!send_request(ip, how, id, chosen, random)) {
                chosen.connection = nullptr;
            }
            sleep_unless_ending(milliseconds{random() % (how == habit::halves ? 500 : 60)});
        }
    }

    static std::string next_request(const std::string& id, habit how, std::mt19937& random)
    {
        const auto* kind = how == habit::streams ? "streaming"
                           : random() % 2 == 0   ? "safe"
                                                 : "unsafe";
        return fmt::format("POST /{}{}/{} HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {}\r\n"
                           "X-Chicorylink-Deadline-Ms: 12000\r\nX-Chicorylink-Key: secret\r\n"
                           "Content-Length: 5\r\n\r\norder",
                           random() % 2 == 0 ? "west-" : "", kind,
                           how == habit::streams ? 1000 + random() % 8000 : random() % 300, id);
    }

    /// @return Whether the connection can be used again.
    bool send_request(const std::string& ip, habit how, const std::string& id,
                      open_connection& kept, std::mt19937& random)
    {
        auto& connection = *kept.connection;
        const auto bytes = next_request(id, how, random);
        unanswered_request request{
            .id = id, .ip = ip, .is_whole = how != habit::halves, .earlier = kept.requests++};
        if (how == habit::halves) {
            const auto split = 1 + random() % (bytes.size() - 1);
            connection.send(std::string_view{bytes}.substr(0, split));
            request.sent_at = clock::now();
            sleep_unless_ending(milliseconds{random() % 1500});
            if (!connection.has_news()) {
                request.is_whole = connection.send(std::string_view{bytes}.substr(split));
                request.sent_at = request.is_whole ? clock::now() : request.sent_at;
            }
        }
        else {
            connection.send(bytes);
            request.sent_at = clock::now();
        }
        const auto reply = connection.read(patience);
        kept.used_at = clock::now();
        note(reply, std::move(request));
        return reply.complete && reply.bytes.find("Connection: close\r\n") == std::string::npos;
    }

    void note(const raw_reply& reply, unanswered_request request)
    {
        if (reply.status == 200 && reply.complete) {
            ++m_answered;
        }
        else if (reply.complete) {
            ++m_refused;
        }
        else if (!reply.bytes.empty()) {
            ++m_cut;
        }
        else {
            request.ended_at = clock::now();
            request.problem = reply.problem;
            const std::lock_guard lock(m_mutex);
            m_unanswered.push_back(std::move(request));
        }
    }

    /// Answers after the time at the end of the path, in events at the streaming paths.
    static bool respond(http_exchange& exchange)
    {
        const auto path = exchange.path();
        const auto time = milliseconds{std::stol(path.substr(path.rfind('/') + 1))};
        if (path.find("streaming") == std::string::npos) {
            return exchange.pause(time) && exchange.send(exchange.response("done"));
        }
        constexpr milliseconds event_interval{100};
        bool is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                        "Transfer-Encoding: chunked\r\n"));
        for (auto left = time; left.count() > 0 && is_connected; left -= event_interval) {
            is_connected = exchange.send(http_exchange::chunk("data: x\n\n")) &&
                           exchange.pause(event_interval);
        }
        return is_connected && exchange.send("0\r\n\r\n");
    }

    std::array<scripted_target, 3> m_targets{scripted_target{respond}, scripted_target{respond},
                                             scripted_target{respond}};
    front_fleet m_fleet{binaries(), "chicorylink_stop_soak"};
    std::mutex m_fleet_mutex;
    std::map<std::string, std::vector<clock::time_point>> m_signals;
    std::map<std::string, std::vector<clock::time_point>> m_exits;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_is_ending{false};
    std::atomic<int> m_cut{0};
    std::atomic<int> m_not_connected{0};
    std::mutex m_mutex;
    std::vector<unanswered_request> m_unanswered;
    clock::time_point m_began_at;
};

// Guards against requests that end without a byte of an answer because a stop, a configuration or a
// reload closes their connection. More runs by hand: CHICORYLINK_SEED=N, CHICORYLINK_SOAK_S=N.
TEST_F(stop_soak, every_request_gets_an_answer_or_a_refusal)
{
    ASSERT_NO_FATAL_FAILURE(start());
    start_callers();
    start_stops();
    disturb(seconds{setting("CHICORYLINK_SOAK_S", default_duration.count())});
    end();
    fmt::print("{}", summary());
    EXPECT_GT(m_answered, 500);
    EXPECT_GT(m_refused, 50);
    EXPECT_EQ(list_lost(true), "") << "seed " << seed() << "\n" << list_exits();
    EXPECT_EQ(list_lost(false), "") << "parts of requests, seed " << seed() << "\n" << list_exits();
}

} // namespace
} // namespace chicorylink::process_tests
