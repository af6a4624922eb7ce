// Stand-in for a model engine in tests (docs/STAND_INS.md).

#include "stand_ins/engine_settings.hpp"
#include "stand_ins/engine_state.hpp"
#include "stand_ins/run.hpp"

#include <chrono>
#include <string>
#include <thread>

#include <CLI/CLI.hpp>

namespace stand_ins = chicorylink::stand_ins;

namespace {

/// Refreshes the load report as long as the process runs.
void report_load(stand_ins::engine_state& engine, std::chrono::milliseconds lag)
{
    while (true) {
        std::this_thread::sleep_for(lag);
        engine.refresh_report();
    }
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stands in for a model engine in tests."};
    std::string listen = "127.0.0.1:0";
    stand_ins::engine_settings settings;
    auto token_delay = settings.token_delay.count();
    auto prefill = settings.prefill_per_token.count();
    auto report_lag = settings.report_lag.count();
    bool no_resume = false;
    app.add_option("--listen", listen, "IPv4:port to listen on; port 0 takes a free one");
    app.add_option("--slots", settings.slots, "requests that run at once");
    app.add_option("--queue-limit", settings.queue_limit, "requests that wait for a slot");
    app.add_option("--token-delay-ms", token_delay, "time of one token");
    app.add_option("--prefill-us", prefill, "time to read one prompt token that is not cached");
    app.add_option("--cached-prefixes", settings.cached_prefixes, "prefixes kept in the cache");
    app.add_option("--report-lag-ms", report_lag, "how old a load report may be");
    app.add_option("--default-tokens", settings.default_tokens, "answer length without max_tokens");
    app.add_option("--models", settings.models, "models served; all when none is given");
    app.add_flag("--checks-fencing", settings.checks_fencing, "refuse orders of an older token");
    app.add_flag("--no-resume", no_resume, "ignore X-Resume-From");
    CLI11_PARSE(app, argc, argv);
    settings.token_delay = std::chrono::milliseconds{token_delay};
    settings.prefill_per_token = std::chrono::microseconds{prefill};
    settings.report_lag = std::chrono::milliseconds{report_lag};
    settings.can_resume = !no_resume;
    stand_ins::engine_state engine(settings);
    std::thread([&engine, lag = settings.report_lag] { report_load(engine, lag); }).detach();
    return stand_ins::run(
        listen,
        {.respond =
             [&engine](const stand_ins::http_request& request) { return engine.respond(request); },
         .before_body =
             [&engine](const stand_ins::http_request& request) { engine.before_body(request); }});
}
