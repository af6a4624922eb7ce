#include "plan.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::load {
namespace {

constexpr double max_calls_per_second = 2000.0;
constexpr std::size_t max_calls = 200'000;
constexpr std::size_t max_open_calls = 2000;
constexpr base::milliseconds max_run_time{600'000};

base::result<void> reject(std::string what, std::string remedy)
{
    return base::fail(base::error_kind::invalid_setting, std::move(what), std::move(remedy));
}

} // namespace

bool is_loopback(const std::string& address)
{
    constexpr unsigned loopback_network = 127;
    constexpr unsigned first_byte_shift = 24;
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 == address.size()) {
        return false;
    }
    const auto digits = address.substr(colon + 1);
    in_addr parsed{};
    return std::all_of(digits.begin(), digits.end(),
                       [](char one) { return one >= '0' && one <= '9'; }) &&
           inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) == 1 &&
           ntohl(parsed.s_addr) >> first_byte_shift == loopback_network;
}

base::result<void> check(const plan& wanted)
{
    if (wanted.addresses.empty()) {
        return reject("no address is given", "name VMs with --address 127.0.0.1:PORT");
    }
    for (const auto& address : wanted.addresses) {
        if (!is_loopback(address)) {
            return reject(fmt::format("the address '{}' is not on 127.0.0.0/8", address),
                          "this tool loads daemons of this machine only");
        }
    }
    if (wanted.calls_per_second <= 0 || wanted.calls_per_second > max_calls_per_second) {
        return reject("the rate is out of bounds", "give --rate between 0 and 2000");
    }
    if (wanted.calls == 0 || wanted.calls > max_calls) {
        return reject("the number of calls is out of bounds", "give --calls from 1 to 200000");
    }
    if (wanted.time_limit <= base::milliseconds{0} || wanted.time_limit > max_run_time) {
        return reject("the time limit is out of bounds", "give --seconds from 1 to 600");
    }
    if (wanted.max_open == 0 || wanted.max_open > max_open_calls || wanted.sessions == 0) {
        return reject("the number of open calls or sessions is out of bounds",
                      "give --open from 1 to 2000 and --sessions of at least 1");
    }
    return {};
}

std::vector<base::nanoseconds> start_times(const plan& wanted)
{
    std::mt19937_64 random(wanted.seed);
    std::exponential_distribution<double> gap(wanted.calls_per_second);
    std::vector<base::nanoseconds> starts;
    starts.reserve(wanted.calls);
    std::chrono::duration<double> at{0};
    while (starts.size() < wanted.calls) {
        at += std::chrono::duration<double>{gap(random)};
        if (at > wanted.time_limit) {
            break;
        }
        starts.push_back(std::chrono::duration_cast<base::nanoseconds>(at));
    }
    return starts;
}

std::string body_of(const plan& wanted, std::size_t call)
{
    static constexpr std::array<const char*, 4> words{"deck", "card", "fault", "visit"};
    const auto session = call % wanted.sessions;
    std::string text = fmt::format("conversation {}:", session);
    for (std::size_t word = 0; word < wanted.prompt_words; ++word) {
        text += ' ';
        text += words[(word + session) % words.size()];
    }
    const nlohmann::json body{
        {"model", wanted.model},
        {"stream", true},
        {"max_tokens", wanted.answer_tokens},
        {"messages",
         {{{"role", "user"}, {"content", text}},
          {{"role", "user"}, {"content", fmt::format("call {}", call)}}}},
    };
    return body.dump();
}

} // namespace chicorylink::load
