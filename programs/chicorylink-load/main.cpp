#include "plan.hpp"
#include "runner.hpp"
#include "summary.hpp"

#include <cstdio>
#include <fstream>
#include <string>

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace {

using namespace chicorylink;

/// The gnuplot script that plots the data file of a run.
void write_plot(const std::string& name, const load::summary& result)
{
    std::ofstream(name + ".dat") << result.to_plot_data();
    std::ofstream(name + ".gnuplot") << fmt::format("set terminal svg\n"
                                                    "set output '{0}.svg'\n"
                                                    "set xlabel 'quantile'\n"
                                                    "set ylabel 'ms'\n"
                                                    "set logscale y\n"
                                                    "plot '{0}.dat' using 1:2 with linespoints "
                                                    "title 'first token', "
                                                    "'{0}.dat' using 1:3 with linespoints "
                                                    "title 'whole answer'\n",
                                                    name);
}

} // namespace

int main(int argc, char** argv)
{
    load::plan load_plan;
    std::string json_file;
    std::string plot_name;
    int seconds = 60;
    CLI::App app{"Loads daemons of this machine in an open loop and reports quantiles"};
    app.add_option("--address", load_plan.addresses, "VM to call, 127.0.0.1:PORT; may be repeated")
        ->envname("CHICORYLINK_LOAD_ADDRESS");
    app.add_option("--key", load_plan.key, "Key of the team")->envname("CHICORYLINK_LOAD_KEY");
    app.add_option("--model", load_plan.model, "Route to ask for")->capture_default_str();
    app.add_option("--rate", load_plan.calls_per_second, "Calls a second")->capture_default_str();
    app.add_option("--calls", load_plan.calls, "Calls in all, at most")->capture_default_str();
    app.add_option("--seconds", seconds, "Time in which calls start")->capture_default_str();
    app.add_option("--open", load_plan.max_open, "Calls open at once")->capture_default_str();
    app.add_option("--prompt-words", load_plan.prompt_words, "Words of a prompt")
        ->capture_default_str();
    app.add_option("--answer-tokens", load_plan.answer_tokens, "Tokens asked for")
        ->capture_default_str();
    app.add_option("--sessions", load_plan.sessions, "Conversations")->capture_default_str();
    app.add_option("--seed", load_plan.seed, "Seed of the start times")->capture_default_str();
    app.add_option("--json", json_file, "File for the figures as JSON");
    app.add_option("--plot", plot_name, "Name of a gnuplot script and its data file");
    CLI11_PARSE(app, argc, argv);
    load_plan.time_limit = base::milliseconds{static_cast<std::int64_t>(seconds) * 1000};

    return base::leaf::try_handle_all(
        [&]() -> base::result<int> {
            BOOST_LEAF_CHECK(load::check(load_plan));
            load::summary result;
            load::run(load_plan, result);
            fmt::print("seed {}\n{}", load_plan.seed, result.to_table());
            if (!json_file.empty()) {
                std::ofstream(json_file) << result.to_json().dump() << '\n';
            }
            if (!plot_name.empty()) {
                write_plot(plot_name, result);
            }
            return result.complete() > 0 && result.truncated() == 0 ? 0 : 1;
        },
        [](const base::error& failure) {
            fmt::print(stderr, "{}\n", base::describe(failure));
            return 2;
        },
        [] { return 2; });
}
