#include "settings_options.hpp"

#include <string>

namespace chicorylink::programs {
namespace {

constexpr const char* place_group = "Place";
constexpr const char* network_group = "Addresses";
constexpr const char* security_group = "TLS and secrets";
constexpr const char* limits_group = "Limits";
constexpr const char* other_group = "Other";

template <class Value>
CLI::Option* add(CLI::App& app, const char* group, const std::string& flag, Value& value,
                 const std::string& text)
{
    return app.add_option(flag, value, text)
        ->envname(gateway::environment_variable_of(flag))
        ->group(group)
        ->capture_default_str();
}

void add_place(CLI::App& app, gateway::settings& value)
{
    add(app, place_group, "--vm", value.vm, "Name of this VM, as in the platform's list");
    add(app, place_group, "--region", value.region, "Region of this VM, as in the rules");
    add(app, place_group, "--data-center", value.data_center, "Data center of this VM");
}

void add_addresses(CLI::App& app, gateway::settings& value)
{
    add(app, network_group, "--listen", value.listen, "IP:port for callers");
    add(app, network_group, "--peer-listen", value.peer_listen, "IP:port for the other VMs");
    add(app, network_group, "--operators-listen", value.operators_listen,
        "IP:port for operators; keep it away from callers");
    add(app, network_group, "--platform-url", value.platform_url,
        "http://IP:port of the platform's services");
}

void add_security(CLI::App& app, gateway::settings& value)
{
    add(app, security_group, "--peer-ca", value.peer_ca_file,
        "PEM file of the authority that signs the VMs' certificates");
    add(app, security_group, "--peer-certificate", value.peer_certificate_file,
        "PEM file of this VM's certificate for peer links");
    add(app, security_group, "--peer-key", value.peer_key_file,
        "PEM file of this VM's private key for peer links");
    app.add_flag("--peer-plaintext", value.peer_plaintext,
                 "Peer links without TLS; for tests on one machine only")
        ->envname(gateway::environment_variable_of("--peer-plaintext"))
        ->group(security_group);
    add(app, security_group, "--callers-certificate", value.callers_certificate_file,
        "PEM file of the callers' listener; TLS is on with it");
    add(app, security_group, "--callers-key", value.callers_key_file,
        "PEM file of the callers' listener's private key");
    add(app, security_group, "--ticket-key", value.ticket_keys,
        "Secret that signs tickets, the same on all VMs; give two during a change, the new first")
        ->delimiter(',')
        ->default_str("");
}

void add_limits(CLI::App& app, gateway::settings& value)
{
    add(app, limits_group, "--max-body-bytes", value.max_body_bytes, "Largest request body");
    add(app, limits_group, "--max-answer-bytes", value.max_answer_bytes,
        "Largest answer that is not streamed");
    add(app, limits_group, "--max-connections", value.max_connections,
        "Callers' connections at once");
    add(app, limits_group, "--idle-seconds", value.idle_seconds,
        "A connection on which nothing moves is closed after this time");
    add(app, limits_group, "--read-seconds", value.read_seconds,
        "The longest time that a request may take to arrive");
    add(app, limits_group, "--default-answer-tokens", value.default_answer_tokens,
        "Token limit of an answer whose request names none");
}

} // namespace

void add_options(CLI::App& app, command_line& line)
{
    add_place(app, line.settings);
    add_addresses(app, line.settings);
    add_security(app, line.settings);
    add_limits(app, line.settings);
    add(app, other_group, "--log-level", line.settings.log_level, "debug, info, warning or error")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
    app.add_option_function<unsigned>(
           "--drain-seconds",
           [&line](unsigned seconds) { line.settings.drain_limit = std::chrono::seconds(seconds); },
           "The longest time that a stop waits for requests in progress (default 600)")
        ->envname(gateway::environment_variable_of("--drain-seconds"))
        ->group(other_group);
    app.add_flag("--check-settings", line.check_only, "Check the settings and exit")
        ->group(other_group);
}

} // namespace chicorylink::programs
