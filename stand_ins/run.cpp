#include "stand_ins/run.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::stand_ins {

int run(const std::string& listen, http_handlers handlers)
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const http_server server(listen, std::move(handlers));
        fmt::print("{{\"address\": \"{}\"}}\n", server.address());
        std::fflush(stdout);
        int received = 0;
        sigwait(&stop_signals, &received);
        // Handlers may block as long as their clients wait, so the exit doesn't wait for them.
        std::_Exit(EXIT_SUCCESS);
    }
    catch (const std::exception& failure) {
        fmt::print(stderr, "{}\n", failure.what());
        return EXIT_FAILURE;
    }
}

} // namespace chicorylink::stand_ins
