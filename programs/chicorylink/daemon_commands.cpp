#include "programs/chicorylink/daemon_commands.hpp"

#include "programs/chicorylink/http_client.hpp"
#include "programs/chicorylink/output.hpp"
#include "programs/chicorylink/table.hpp"

#include <ostream>
#include <string_view>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::cli {
namespace {

constexpr long first_error_status = 400;

/// Also accepts `IP:port`, and removes trailing slashes.
std::string base_url(std::string daemon)
{
    while (!daemon.empty() && daemon.back() == '/') {
        daemon.pop_back();
    }
    return daemon.find("://") == std::string::npos ? "http://" + daemon : daemon;
}

void print_response(const nlohmann::ordered_json& response, const output& to)
{
    if (to.json) {
        to.out << response.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
    }
    else if (response.is_object() && response.contains("rows")) {
        to.out << format_table(response.at("rows"));
    }
    else {
        to.out << format_object(response);
    }
}

} // namespace

exit_code call_daemon(const daemon_call& call, const output& to)
{
    const auto url = base_url(call.daemon) + call.path;
    const auto received = http_call(call.method, url);
    if (received.status == 0) {
        to.err << fmt::format("{}: {}; check --daemon and that the daemon runs\n", url,
                              received.failure);
        return exit_code::daemon_unreachable;
    }
    const auto response = nlohmann::ordered_json::parse(received.body, nullptr, false);
    if (response.is_discarded()) {
        to.err << fmt::format("{}: status {} without JSON; is this an operators' listener?\n", url,
                              received.status);
        return exit_code::refused;
    }
    print_response(response, to);
    if (received.status >= first_error_status) {
        to.err << fmt::format("{}: status {}\n", url, received.status);
        return exit_code::refused;
    }
    return exit_code::success;
}

} // namespace chicorylink::cli
