#ifndef CHICORYLINK_PROGRAMS_LOAD_PLAN_HPP
#define CHICORYLINK_PROGRAMS_LOAD_PLAN_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::load {

/// @brief The load to generate: requests, VMs and duration.
struct plan {
    /// `IP:port` of VMs, called in round-robin order. Loopback only.
    std::vector<std::string> addresses;
    std::string key;
    std::string model = "chat";
    double calls_per_second = 20.0;
    std::size_t calls = 200;
    base::milliseconds time_limit{60'000};
    base::milliseconds call_timeout{30'000};
    std::size_t max_open = 256;
    std::size_t prompt_words = 200;
    std::size_t answer_tokens = 32;
    /// Number of conversations among the calls; calls of one conversation share a prompt prefix.
    std::size_t sessions = 20;
    std::uint64_t seed = 1;
};

/// @brief Checks the bounds of a plan and that it names loopback addresses only.
/// @return An `invalid_setting` error that names the setting.
[[nodiscard]] base::result<void> check(const plan& load_plan);

/// @brief Whether `IP:port` is on the loopback network 127.0.0.0/8.
[[nodiscard]] bool is_loopback(const std::string& address);

/// @brief Start times of the calls, relative to the start of the run: a Poisson process with the
/// plan's rate. Calls that would start after the time limit are omitted.
[[nodiscard]] std::vector<base::nanoseconds> start_times(const plan& load_plan);

/// @brief The JSON body of one call.
[[nodiscard]] std::string body_of(const plan& load_plan, std::size_t call);

} // namespace chicorylink::load

#endif // CHICORYLINK_PROGRAMS_LOAD_PLAN_HPP
