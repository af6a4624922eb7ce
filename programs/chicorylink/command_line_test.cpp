#include "chicorylink/base/secret.hpp"
#include "chicorylink/platform/http_test_server.hpp"
#include "programs/chicorylink/command_line.hpp"
#include "stand_ins/http_server.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::cli {
namespace {

using testing::HasSubstr;

struct run_result {
    exit_code code = exit_code::success;
    std::string out;
    std::string err;
};

run_result run(const std::vector<std::string>& args)
{
    std::vector<const char*> arguments{"chicorylink"};
    for (const auto& arg : args) {
        arguments.push_back(arg.c_str());
    }
    std::ostringstream out;
    std::ostringstream err;
    const auto code =
        run_command_line(static_cast<int>(arguments.size()), arguments.data(), out, err);
    return {code, out.str(), err.str()};
}

class command_line_test : public testing::Test {
protected:
    void SetUp() override { std::filesystem::create_directories(m_folder); }

    void TearDown() override { std::filesystem::remove_all(m_folder); }

    std::string write(const std::string& name, const std::string& text)
    {
        const auto path = m_folder / name;
        std::ofstream(path) << text;
        return path.string();
    }

    std::filesystem::path m_folder =
        std::filesystem::temp_directory_path() /
        fmt::format("chicorylink-cli-{}-{}", getpid(), base::random_hex(4));
};

const std::string good_rules = "region a # lena: first\nregion b # lena: first\n"
                               "team shop regions=a rate=10/s burst=20 # omar: new\n"
                               "route chat kind=model # lena: new\n"
                               "target e region=a address=10.0.0.1:80 routes=chat # lena: new\n";

TEST_F(command_line_test, check_accepts_good_rules_and_lists_all_errors_of_bad_ones)
{
    const auto good = write("good", good_rules);
    EXPECT_EQ(run({"rules", "check", good}).code, exit_code::success);
    EXPECT_EQ(run({"rules", "check", "--vm", "10.0.0.1:80", good}).code, exit_code::refused);
    const auto bad = write("bad", "region a\nteam t # x\n");
    const auto refused = run({"rules", "check", bad});
    EXPECT_EQ(refused.code, exit_code::refused);
    EXPECT_THAT(refused.err, HasSubstr(bad + ":1:9: "));
    EXPECT_THAT(refused.err, HasSubstr(bad + ":2:7: the team has no rate="));
    const auto json = nlohmann::json::parse(run({"rules", "check", bad, "--json"}).out);
    EXPECT_EQ(json["ok"], false);
    EXPECT_EQ(json["errors"][0]["line"], 1);
}

TEST_F(command_line_test, diff_and_explain_name_line_and_requester)
{
    const auto older = write("older", good_rules);
    const auto newer = write("newer", good_rules + "region c # zoe: market\n");
    const auto diff = run({"rules", "diff", older, newer});
    EXPECT_EQ(diff.code, exit_code::success);
    EXPECT_THAT(diff.out, HasSubstr("added region c  (line 6, asked by zoe: market)"));
    const auto explained = run({"rules", "explain", older, "--team", "shop", "--route", "chat"});
    EXPECT_EQ(explained.code, exit_code::success);
    EXPECT_THAT(explained.out, HasSubstr("line 3, asked by omar: new"));
    EXPECT_EQ(run({"rules", "explain", older, "--team", "x", "--route", "chat"}).code,
              exit_code::refused);
}

TEST_F(command_line_test, split_writes_valid_rules_only)
{
    const auto file = write("rules", good_rules);
    const auto folder = (m_folder / "published").string();
    const std::vector<std::string> args{"rules",     "split", file,     "--out", folder,
                                        "--version", "3",     "--salt", "s"};
    EXPECT_EQ(run(args).code, exit_code::success);
    std::ifstream manifest(folder + "/manifest");
    std::string line;
    std::getline(manifest, line);
    EXPECT_EQ(line, "version 3");
    EXPECT_FALSE(std::filesystem::is_empty(folder + "/parts"));
    write("rules", "region a\n");
    EXPECT_EQ(run(args).code, exit_code::refused);
}

TEST_F(command_line_test, a_new_key_comes_with_its_salted_digest)
{
    const auto generated =
        nlohmann::json::parse(run({"key", "new", "--salt", "s", "--team", "t", "--json"}).out);
    const auto digest = base::to_hex(base::sha256("s", generated["key"].get<std::string>()));
    EXPECT_EQ(generated["digest"], "sha256:" + digest);
    EXPECT_THAT(generated["rule"].get<std::string>(), HasSubstr("key t sha256:" + digest));
}

TEST_F(command_line_test, wrong_usage_has_its_own_exit_code)
{
    EXPECT_EQ(run({}).code, exit_code::usage);
    EXPECT_EQ(run({"rules", "check", "/nonexistent"}).code, exit_code::usage);
    EXPECT_EQ(run({"rules", "chek", "x"}).code, exit_code::usage);
    unsetenv("CHICORYLINK_DAEMON");
    EXPECT_EQ(run({"status"}).code, exit_code::usage);
    const auto help = run({"--help"});
    EXPECT_EQ(help.code, exit_code::success);
    EXPECT_THAT(help.out, HasSubstr("Exit codes: 0 success"));
}

stand_ins::http_response respond_as_daemon(const stand_ins::http_request& request)
{
    if (request.path == "/v1/vms") {
        stand_ins::http_response response;
        response.body = R"({"rows": [{"name": "vm-1", "load": 3}, {"name": "v", "load": null}]})";
        return response;
    }
    if (request.path == "/v1/drain" && request.method == "POST") {
        return stand_ins::json_response(200, {{"draining", true}});
    }
    return stand_ins::error_response(404, "no such call");
}

TEST_F(command_line_test, daemon_responses_become_tables_or_json)
{
    const stand_ins::http_server server("127.0.0.1:0", {&respond_as_daemon, {}});
    setenv("CHICORYLINK_DAEMON", ("http://" + server.address()).c_str(), 1);
    const auto table = run({"vms"});
    EXPECT_EQ(table.code, exit_code::success);
    EXPECT_EQ(table.out, "name  load\nvm-1  3\nv     -\n");
    EXPECT_EQ(nlohmann::json::parse(run({"vms", "--json"}).out)["rows"].size(), 2U);
    EXPECT_EQ(run({"drain"}).out, "draining:  true\n");
    EXPECT_EQ(run({"teams"}).code, exit_code::refused);
    unsetenv("CHICORYLINK_DAEMON");
}

// Guards against a response whose head parsers read differently being shown as the daemon's.
TEST_F(command_line_test, a_response_with_a_broken_head_is_no_response)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const auto& head : {std::string{"HTTP/1.1 000 OK\r\n"}, ok + "Bad Name: x\r\n",
                             ok + "Bad\x01Name: x\r\n", ok + '\0' + "X: y\r\n"}) {
        platform::http_test_server server(
            platform::respond(head + "Content-Length: 15\r\n\r\n{\"vm\":\"broken\"}"));
        const auto result = run({"status", "--daemon", server.address()});
        EXPECT_EQ(result.code, exit_code::daemon_unreachable) << head;
        EXPECT_EQ(result.out, "") << head;
        EXPECT_NE(result.err, "") << head;
    }
    platform::http_test_server server(
        platform::respond(ok + "Content-Length: 14\r\n\r\n{\"vm\":\"sound\"}"));
    EXPECT_EQ(run({"status", "--daemon", server.address()}).code, exit_code::success);
}

// Guards against a part of a response without a length being shown as the whole.
TEST_F(command_line_test, a_response_that_ends_with_a_reset_is_no_response)
{
    constexpr int tries = 100;
    for (int number = 0; number < tries; ++number) {
        platform::http_test_server server([](platform::http_test_server::socket& peer) {
            platform::http_test_server::send(peer, "HTTP/1.1 200 OK\r\n\r\n{\"vm\":\"broken\"}");
            platform::http_test_server::reset(peer);
        });
        const auto* command = number % 2 == 0 ? "status" : "drain";
        const auto result = run({command, "--daemon", server.address()});
        EXPECT_EQ(result.code, exit_code::daemon_unreachable) << number;
        EXPECT_EQ(result.out, "") << number;
    }
    for (const auto* length : {"", "Content-Length: 14\r\n"}) {
        platform::http_test_server server(platform::respond(
            fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{{\"vm\":\"sound\"}}", length)));
        EXPECT_EQ(run({"status", "--daemon", server.address()}).out, "vm:  sound\n");
    }
}

TEST_F(command_line_test, an_unreachable_daemon_has_its_own_exit_code)
{
    std::string address;
    {
        const stand_ins::http_server server("127.0.0.1:0", {&respond_as_daemon, {}});
        address = server.address();
    }
    EXPECT_EQ(run({"status", "--daemon", address}).code, exit_code::daemon_unreachable);
}

} // namespace
} // namespace chicorylink::cli
