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

base::result<void> reject(std::string message, std::string remedy)
{
    return base::fail(base::error_kind::invalid_setting, std::move(message), std::move(remedy));
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
                       [](char digit) { return digit >= '0' && digit <= '9'; }) &&
           inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) == 1 &&
           ntohl(parsed.s_addr) >> first_byte_shift == loopback_network;
}

base::result<void> check(const plan& load_plan)
{
    if (load_plan.addresses.empty()) {
        return reject("no address is given", "name VMs with --address 127.0.0.1:PORT");
    }
    for (const auto& address : load_plan.addresses) {
        if (!is_loopback(address)) {
            return reject(fmt::format("the address '{}' is not on 127.0.0.0/8", address),
                          "this tool loads daemons of this machine only");
        }
    }
    if (load_plan.calls_per_second <= 0 || load_plan.calls_per_second > max_calls_per_second) {
        return reject("the rate is out of bounds", "give --rate between 0 and 2000");
    }
    if (load_plan.calls == 0 || load_plan.calls > max_calls) {
        return reject("the number of calls is out of bounds", "give --calls from 1 to 200000");
    }
    if (load_plan.time_limit <= base::milliseconds{0} || load_plan.time_limit > max_run_time) {
        return reject("the time limit is out of bounds", "give --seconds from 1 to 600");
    }
    if (load_plan.max_open == 0 || load_plan.max_open > max_open_calls || load_plan.sessions == 0) {
        return reject("the number of open calls or sessions is out of bounds",
                      "give --open from 1 to 2000 and --sessions of at least 1");
    }
    return {};
}

std::vector<base::nanoseconds> start_times(const plan& load_plan)
{
    std::mt19937_64 random(load_plan.seed);
    std::exponential_distribution<double> gap(load_plan.calls_per_second);
    std::vector<base::nanoseconds> starts;
    starts.reserve(load_plan.calls);
    std::chrono::duration<double> at{0};
    while (starts.size() < load_plan.calls) {
        at += std::chrono::duration<double>{gap(random)};
        if (at > load_plan.time_limit) {
            break;
        }
        starts.push_back(std::chrono::duration_cast<base::nanoseconds>(at));
    }
    return starts;
}

std::string body_of(const plan& load_plan, std::size_t call)
{
    static constexpr std::array<const char*, 4> words{"deck", "card", "fault", "visit"};
    const auto session = call % load_plan.sessions;
    std::string text = fmt::format("conversation {}:", session);
    for (std::size_t word = 0; word < load_plan.prompt_words; ++word) {
        text += ' ';
        text += words[(word + session) % words.size()];
    }
    const nlohmann::json body{
        {"model", load_plan.model},
        {"stream", true},
        {"max_tokens", load_plan.answer_tokens},
        {"messages",
         {{{"role", "user"}, {"content", text}},
          {{"role", "user"}, {"content", fmt::format("call {}", call)}}}},
    };
    return body.dump();
}

} // namespace chicorylink::load
