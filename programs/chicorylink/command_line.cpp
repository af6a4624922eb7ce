#include "programs/chicorylink/command_line.hpp"

#include "programs/chicorylink/daemon_commands.hpp"
#include "programs/chicorylink/output.hpp"
#include "programs/chicorylink/rules_commands.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>

namespace chicorylink::cli {
namespace {

constexpr const char* footer =
    "Exit codes: 0 success; 1 the rules are faulty or the daemon refused the call;\n"
    "2 wrong usage; 3 the daemon can't be reached.";

/// The parsed command-line options.
struct settings {
    bool json = false;
    std::string daemon;
    std::string file;
    std::string newer_file;
    std::vector<std::string> vm_addresses;
    std::string team;
    std::string route;
    std::string folder;
    std::uint64_t version = 0;
    std::string salt;
};

using command = std::function<exit_code(const settings&, const output&)>;

/// Declares the commands of the tool and stores the selected one to be run.
class command_set {
public:
    explicit command_set(CLI::App& app) : m_app(app) { m_app.require_subcommand(1); }

    void add_rules_commands()
    {
        auto* rules = m_app.add_subcommand("rules", "Work with a rules file (docs/RULES.md)");
        rules->require_subcommand(1);
        auto* check = add(*rules, "check", "Report every fault of a rules file", &run_check);
        add_file(*check, "FILE", m_settings.file);
        check
            ->add_option("--vm", m_settings.vm_addresses,
                         "IP:port of a VM of the system, which no target may have; repeatable")
            ->allow_extra_args(false);
        auto* diff = add(*rules, "diff", "Show what a newer file changes and who asked", &run_diff);
        add_file(*diff, "OLD", m_settings.file);
        add_file(*diff, "NEW", m_settings.newer_file);
        auto* explain = add(
            *rules, "explain",
            "Show where a team's requests may run and why; exit code 1 when nowhere", &run_explain);
        add_file(*explain, "FILE", m_settings.file);
        explain->add_option("--team", m_settings.team, "name of the team")->required();
        explain->add_option("--route", m_settings.route, "name of the route")->required();
        auto* split = add(*rules, "split", "Write the manifest and parts to publish", &run_split);
        add_file(*split, "FILE", m_settings.file);
        split->add_option("--out", m_settings.folder, "folder to write to")->required();
        split->add_option("--version", m_settings.version, "version; larger than any before")
            ->required()
            ->check(CLI::PositiveNumber);
        add_salt(*split);
    }

    void add_key_commands()
    {
        auto* key = m_app.add_subcommand("key", "Work with callers' keys");
        key->require_subcommand(1);
        auto* make = add(*key, "new", "Make a key; only its digest goes into the rules", &run_key);
        add_salt(*make);
        make->add_option("--team", m_settings.team, "team for the printed rule line");
    }

    void add_daemon_commands()
    {
        struct call_command {
            const char* name;
            const char* help;
            const char* method;
            const char* path;
        };
        static constexpr std::array<call_command, 6> calls{{
            {"status", "Show the state of a daemon", "GET", "/v1/status"},
            {"vms", "List the VMs that a daemon knows", "GET", "/v1/vms"},
            {"targets", "List the targets and their load", "GET", "/v1/targets"},
            {"teams", "List the teams: fairness, refusals, tokens", "GET", "/v1/teams"},
            {"audit", "List the changes that came into force", "GET", "/v1/audit"},
            {"drain", "Tell a daemon to finish its work and stop", "POST", "/v1/drain"},
        }};
        for (const auto& call : calls) {
            auto* added =
                add(m_app, call.name, call.help, [call](const settings& options, const output& to) {
                    return call_daemon({options.daemon, call.method, call.path}, to);
                });
            added
                ->add_option("--daemon", m_settings.daemon,
                             "URL of the daemon's operators' listener, such as "
                             "http://10.0.0.5:9100")
                ->envname("CHICORYLINK_DAEMON")
                ->required();
        }
    }

    [[nodiscard]] exit_code run(std::ostream& out, std::ostream& err) const
    {
        return m_selected(m_settings, {out, err, m_settings.json});
    }

private:
    static exit_code run_check(const settings& options, const output& to)
    {
        return check_rules(options.file, options.vm_addresses, to);
    }

    static exit_code run_diff(const settings& options, const output& to)
    {
        return diff_rules_files(options.file, options.newer_file, to);
    }

    static exit_code run_explain(const settings& options, const output& to)
    {
        return explain_rules(options.file, options.team, options.route, to);
    }

    static exit_code run_split(const settings& options, const output& to)
    {
        return split_rules_file({options.file, options.folder, options.version, options.salt}, to);
    }

    static exit_code run_key(const settings& options, const output& to)
    {
        return make_key(options.salt, options.team, to);
    }

    CLI::App* add(CLI::App& parent, const std::string& name, const std::string& help, command run)
    {
        auto* added = parent.add_subcommand(name, help);
        added->add_flag("--json", m_settings.json, "Print JSON for programs");
        added->callback([this, run = std::move(run)] { m_selected = run; });
        return added;
    }

    static void add_file(CLI::App& to, const std::string& name, std::string& file)
    {
        to.add_option(name, file, "rules file")->required()->check(CLI::ExistingFile);
    }

    void add_salt(CLI::App& to)
    {
        to.add_option("--salt", m_settings.salt, "salt of the key digests, as in the manifest")
            ->required();
    }

    CLI::App& m_app;
    settings m_settings;
    command m_selected;
};

} // namespace

exit_code run_command_line(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
{
    CLI::App app{"Operators' tool of the chicorylink inference gateway."};
    app.footer(footer);
    app.set_version_flag("--version", CHICORYLINK_VERSION);
    command_set commands(app);
    commands.add_rules_commands();
    commands.add_key_commands();
    commands.add_daemon_commands();
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure) {
        // The library reports help and version requests as errors with the code 0.
        const int code = app.exit(failure, out, err);
        return code == 0 ? exit_code::success : exit_code::usage;
    }
    return commands.run(out, err);
}

} // namespace chicorylink::cli
