#include "chicorylink/gateway/settings.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string_view>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

constexpr std::size_t min_ticket_key_bytes = 16;
constexpr std::size_t max_frame_body_bytes = 900UL * 1024;

base::result<void> reject(const std::string& flag, std::string_view value, std::string_view problem,
                          std::string remedy)
{
    return base::fail(
        base::error_kind::invalid_setting,
        fmt::format("{} ({}) is '{}': {}", flag, environment_variable_of(flag), value, problem),
        std::move(remedy));
}

base::result<void> check_present(const std::string& flag, const std::string& value)
{
    if (value.empty()) {
        return reject(flag, value, "it is required", "set the flag or the variable");
    }
    return {};
}

bool has_port(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto digits = address.substr(colon + 1);
    unsigned port = 0;
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, port);
    constexpr unsigned max_port = 65'535;
    return parsed.ec == std::errc{} && parsed.ptr == end && port <= max_port;
}

base::result<void> check_address(const std::string& flag, const std::string& value)
{
    BOOST_LEAF_CHECK(check_present(flag, value));
    if (!has_port(value)) {
        return reject(flag, value, "it is not IP:port", "give an address such as 10.0.0.7:8080");
    }
    if (value.starts_with("0.0.0.0:") || value.starts_with("[::]:")) {
        return reject(flag, value, "it names no VM, and others are told this address",
                      "give this VM's own address such as 10.0.0.7:8080");
    }
    return {};
}

base::result<void> check_pair(const std::string& first_flag, const std::string& first,
                              const std::string& second_flag, const std::string& second)
{
    if (first.empty() == second.empty()) {
        return {};
    }
    const auto& missing = first.empty() ? first_flag : second_flag;
    return reject(missing, "", fmt::format("{} and {} go together", first_flag, second_flag),
                  "set both or none");
}

base::result<void> check_peer_tls(const settings& value)
{
    if (value.peer_plaintext) {
        return {};
    }
    const std::array<std::pair<const char*, const std::string*>, 3> files{{
        {"--peer-ca", &value.peer_ca_file},
        {"--peer-certificate", &value.peer_certificate_file},
        {"--peer-key", &value.peer_key_file},
    }};
    for (const auto& [flag, file] : files) {
        if (file->empty()) {
            return reject(flag, "", "peer links need it for TLS",
                          "set it, or --peer-plaintext for tests on one machine");
        }
    }
    return {};
}

base::result<void> check_limits(const settings& value)
{
    if (value.max_body_bytes == 0 || value.max_body_bytes > max_frame_body_bytes) {
        return reject("--max-body-bytes", std::to_string(value.max_body_bytes), "out of range",
                      fmt::format("choose from 1 to {}", max_frame_body_bytes));
    }
    if (value.default_answer_tokens <= 0) {
        return reject("--default-answer-tokens", std::to_string(value.default_answer_tokens),
                      "out of range", "choose at least 1");
    }
    if (value.max_connections == 0 || value.idle_seconds == 0 || value.read_seconds == 0) {
        return reject("--max-connections, --idle-seconds or --read-seconds", "0", "out of range",
                      "choose at least 1");
    }
    return {};
}

base::result<void> check_ticket_keys(const settings& value)
{
    if (value.ticket_keys.empty()) {
        return reject("--ticket-key", "", "at least one is required",
                      "set the same secret on all VMs, such as 32 random hexadecimal digits");
    }
    for (const auto& key : value.ticket_keys) {
        if (key.size() < min_ticket_key_bytes) {
            return reject("--ticket-key", "(hidden)", "it is too short",
                          fmt::format("use at least {} characters", min_ticket_key_bytes));
        }
    }
    return {};
}

} // namespace

std::string environment_variable_of(const std::string& flag)
{
    std::string name = "CHICORYLINK_" + flag.substr(flag.find_first_not_of('-'));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return c == '-' ? '_' : static_cast<char>(std::toupper(c));
    });
    return name;
}

base::result<void> check(const settings& value)
{
    BOOST_LEAF_CHECK(check_present("--vm", value.vm));
    BOOST_LEAF_CHECK(check_present("--region", value.region));
    BOOST_LEAF_CHECK(check_present("--data-center", value.data_center));
    BOOST_LEAF_CHECK(check_address("--listen", value.listen));
    BOOST_LEAF_CHECK(check_address("--peer-listen", value.peer_listen));
    BOOST_LEAF_CHECK(check_address("--operators-listen", value.operators_listen));
    BOOST_LEAF_CHECK(check_present("--platform-url", value.platform_url));
    BOOST_LEAF_CHECK(check_pair("--callers-certificate", value.callers_certificate_file,
                                "--callers-key", value.callers_key_file));
    BOOST_LEAF_CHECK(check_peer_tls(value));
    BOOST_LEAF_CHECK(check_limits(value));
    return check_ticket_keys(value);
}

} // namespace chicorylink::gateway
