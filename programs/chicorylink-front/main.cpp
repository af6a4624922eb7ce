#include "chicorylink/base/secret.hpp"
#include "chicorylink/front/front_daemon.hpp"
#include "protocol.hpp"
#include "settings.hpp"

#include <csignal>
#include <iostream>

namespace chicorylink::programs {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

base::result<int> run_daemon(bool check_only)
{
    BOOST_LEAF_AUTO(settings, platform_adapter::load_settings());
    if (check_only) {
        std::cout << "settings are valid\n";
        return exit_ok;
    }
    settings.self.run = base::incarnation{base::random_bits()};
    const auto protocol = platform_adapter::protocol();
    BOOST_LEAF_AUTO(daemon, front::front_daemon::start(std::move(settings), protocol,
                                                       &platform_adapter::load_settings));
    daemon->run();
    return exit_ok;
}

int fail(const base::error& failure)
{
    std::cerr << "chicorylink-front: " << base::describe(failure) << "\n";
    return failure.kind == base::error_kind::invalid_setting ? exit_bad_settings : exit_failure;
}

} // namespace
} // namespace chicorylink::programs

int main(int argc, char** argv)
{
    using namespace chicorylink;
    std::signal(SIGPIPE, SIG_IGN);
    const bool check_only = argc == 2 && std::string_view{argv[1]} == "--check";
    if (argc > 1 && !check_only) {
        std::cerr << "usage: chicorylink-front [--check]\n"
                     "Runs the daemon of one VM on the users' platform. The environment names its\n"
                     "settings file; --check only tells whether the settings are valid.\n";
        return programs::exit_bad_settings;
    }
    return base::leaf::try_handle_all(
        [&] { return programs::run_daemon(check_only); },
        [](const base::error& failure) { return programs::fail(failure); },
        [] { return programs::exit_failure; });
}
