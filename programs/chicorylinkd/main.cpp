#include "chicorylink/base/log.hpp"
#include "chicorylink/gateway/daemon.hpp"
#include "settings_options.hpp"

#include <csignal>
#include <iostream>
#include <memory>
#include <pthread.h>

#include <nlohmann/json.hpp>

namespace chicorylink::programs {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

/// Blocks signals on all threads; the main thread waits for them.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

base::log_level level_of(const std::string& name)
{
    if (name == "debug") {
        return base::log_level::debug;
    }
    if (name == "warning") {
        return base::log_level::warning;
    }
    return name == "error" ? base::log_level::error : base::log_level::info;
}

void wait_for_stop(gateway::daemon& running, const sigset_t& signals)
{
    while (true) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != SIGHUP) {
            return;
        }
        running.reload_tls();
    }
}

int fail(const base::error& failure)
{
    std::cerr << "chicorylinkd: " << base::describe(failure) << "\n";
    return failure.kind == base::error_kind::invalid_setting ? exit_bad_settings : exit_failure;
}

base::result<int> run_daemon(const command_line& line)
{
    BOOST_LEAF_CHECK(gateway::check(line.settings));
    if (line.check_only) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    base::set_log_level(level_of(line.settings.log_level));
    base::set_log_context({{"vm", line.settings.vm}, {"region", line.settings.region}});
    const auto signals = block_signals();
    BOOST_LEAF_AUTO(running, gateway::daemon::start(line.settings));
    std::cout << running->addresses() << std::endl;
    wait_for_stop(*running, signals);
    running->stop();
    return exit_ok;
}

int run(int argc, char** argv)
{
    CLI::App app{"chicorylinkd: the daemon of the multi-region inference gateway.\n"
                 "Each flag can be set by its environment variable instead. SIGTERM stops the\n"
                 "daemon after its requests in progress; SIGHUP loads the TLS files again."};
    command_line line;
    add_options(app, line);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& failure) {
        const int code = app.exit(failure);
        return code == 0 ? exit_ok : exit_bad_settings;
    }
    return base::leaf::try_handle_all([&] { return run_daemon(line); },
                                      [](const base::error& failure) { return fail(failure); },
                                      [] { return exit_failure; });
}

} // namespace
} // namespace chicorylink::programs

int main(int argc, char** argv)
{
    return chicorylink::programs::run(argc, argv);
}
