#include "fleet.hpp"

#include "chicorylink/base/secret.hpp"

#include <stdexcept>
#include <thread>
#include <utility>

namespace chicorylink::process_tests {
namespace {

constexpr std::chrono::milliseconds poll_interval{20};
constexpr const char* key_salt = "9f86d081884c7d65";
constexpr const char* ticket_key = "0123456789abcdef0123456789abcdef";
constexpr const char* any_port = "127.0.0.1:0";

} // namespace

std::string vm::url(const std::string& path) const
{
    return "http://" + callers + path;
}

std::string vm::operators_url(const std::string& path) const
{
    return "http://" + operators + path;
}

fleet::fleet(std::string binaries, std::string log_folder)
    : m_binaries(std::move(binaries)), m_log_folder(std::move(log_folder)),
      m_platform({m_binaries + "/stand_ins/stand_in_platform"}, log_file_of("platform"))
{
}

std::string fleet::start_target(const std::string& name, const std::string& program,
                                const std::vector<std::string>& options)
{
    std::vector<std::string> arguments{m_binaries + "/stand_ins/" + program};
    arguments.insert(arguments.end(), options.begin(), options.end());
    m_targets.emplace(name, child_process(arguments, log_file_of(name)));
    control_platform("target", {{"name", name}, {"state", "live"}});
    return target_address(name);
}

std::uint64_t fleet::publish(const std::string& rules)
{
    ++m_version;
    const auto response = perform({.method = "POST",
                                   .url = "http://" + platform_address() +
                                          "/control/rules?version=" + std::to_string(m_version),
                                   .body = rules});
    if (response.status != 200) {
        throw std::runtime_error("the stand-in platform refused the rules: " + response.body);
    }
    return m_version;
}

vm& fleet::start_vm(const std::string& name, const std::string& region,
                    const std::vector<std::string>& options)
{
    m_options[name] = options;
    return launch(name, region, any_port, any_port, any_port);
}

vm& fleet::restart_vm(const std::string& name)
{
    auto& old = m_vms.at(name);
    old.process.kill();
    const auto region = old.region;
    const auto callers = old.callers;
    const auto peers = old.peers;
    const auto operators = old.operators;
    return launch(name, region, callers, peers, operators);
}

vm& fleet::launch(const std::string& name, const std::string& region, const std::string& listen,
                  const std::string& peers, const std::string& operators)
{
    std::vector<std::string> arguments{m_binaries + "/programs/chicorylinkd",
                                       "--vm",
                                       name,
                                       "--region",
                                       region,
                                       "--data-center",
                                       region + "-1",
                                       "--listen",
                                       listen,
                                       "--peer-listen",
                                       peers,
                                       "--operators-listen",
                                       operators,
                                       "--platform-url",
                                       "http://" + platform_address(),
                                       "--ticket-key",
                                       ticket_key};
    arguments.insert(arguments.end(), m_peer_flags.begin(), m_peer_flags.end());
    const auto& options = m_options[name];
    arguments.insert(arguments.end(), options.begin(), options.end());
    child_process process(arguments, log_file_of(name));
    const auto& ready = process.ready_line();
    vm launched{name,
                region,
                region + "-1",
                ready.at("callers").get<std::string>(),
                ready.at("peers").get<std::string>(),
                ready.at("operators").get<std::string>(),
                std::move(process)};
    publish_vm(launched);
    m_vms.erase(name);
    return m_vms.emplace(name, std::move(launched)).first->second;
}

void fleet::publish_vm(const vm& daemon) const
{
    control_platform("vm", {{"name", daemon.name},
                            {"region", daemon.region},
                            {"data_center", daemon.data_center},
                            {"callers", daemon.callers},
                            {"peers", daemon.peers},
                            {"state", "live"}});
}

std::string fleet::target_address(const std::string& name) const
{
    return m_targets.at(name).ready_line().at("address").get<std::string>();
}

std::string fleet::platform_address() const
{
    return m_platform.ready_line().at("address").get<std::string>();
}

reply fleet::control_platform(const std::string& call, const nlohmann::json& body) const
{
    return perform({.method = "POST",
                    .url = "http://" + platform_address() + "/control/" + call,
                    .body = body.dump()});
}

reply fleet::control_target(const std::string& name, const std::string& call,
                            const nlohmann::json& body) const
{
    return perform({.method = "POST",
                    .url = "http://" + target_address(name) + "/control/" + call,
                    .body = body.dump()});
}

std::uint64_t fleet::counter(const std::string& target, const std::string& name) const
{
    const auto response =
        perform({.url = "http://" + target_address(target) + "/control/counters"});
    const auto counters = response.json();
    return counters.is_object() ? counters.value(name, std::uint64_t{0}) : 0;
}

bool fleet::wait_ready(std::uint64_t version)
{
    return wait_until([&] {
        for (const auto& [name, daemon] : m_vms) {
            if (daemon.process.running() &&
                (version_at(daemon) < version ||
                 perform({.url = daemon.operators_url("/readyz")}).status != 200)) {
                return false;
            }
        }
        return true;
    });
}

std::uint64_t fleet::version_at(const vm& daemon)
{
    const auto status = perform({.url = daemon.operators_url("/v1/status")}).json();
    return status.is_object() ? status.value("rules_version", std::uint64_t{0}) : 0;
}

std::string fleet::log_file_of(const std::string& name) const
{
    return m_log_folder + "/" + name + ".log";
}

bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds bound)
{
    const auto until = std::chrono::steady_clock::now() + bound;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string digest_of(const std::string& key)
{
    return "sha256:" + base::to_hex(base::sha256(key_salt, key));
}

call chat_call(const std::string& url, const std::string& key, const std::string& model,
               const std::string& prompt, bool stream, int max_tokens)
{
    const nlohmann::json body{
        {"model", model},
        {"messages", {{{"role", "user"}, {"content", prompt}}}},
        {"stream", stream},
        {"max_tokens", max_tokens},
    };
    call request{.method = "POST", .url = url, .body = body.dump()};
    request.headers = {"Content-Type: application/json"};
    if (!key.empty()) {
        request.headers.push_back("Authorization: Bearer " + key);
    }
    return request;
}

} // namespace chicorylink::process_tests
