#include "cases.hpp"
#include "chicorylink/routing/baselines.hpp"
#include "fleet.hpp"
#include "report.hpp"
#include "workload.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/core.h>

namespace {

using namespace chicorylink;
using experiment::measure;

struct named_policy {
    std::string name;
    routing::policy_function decide;
};

const std::vector<named_policy>& policies()
{
    static const std::vector<named_policy> all{
        {experiment::own_policy, &routing::choose},    {"random", &routing::random_policy},
        {"round_robin", &routing::round_robin_policy}, {"least_load", &routing::least_load_policy},
        {"affinity", &routing::affinity_policy},       {"local_only", &routing::local_only_policy},
    };
    return all;
}

struct options {
    std::vector<std::uint64_t> seeds{1, 2, 3, 4, 5, 6};
    std::string user;
    std::string case_name;
    std::string policy;
    int seconds = 240;
    unsigned threads = 4;
    bool table_only = false;
};

/// One policy in one case of one user, run once for each seed.
struct job {
    const experiment::user* who = nullptr;
    const experiment::experiment_case* what = nullptr;
    const named_policy* policy = nullptr;
};

experiment::figure_row run_job(const job& work, const options& chosen)
{
    std::vector<experiment::measure_values> runs;
    for (const auto seed : chosen.seeds) {
        const auto calls = experiment::make_calls(*work.who, work.what->amount, seed);
        experiment::fleet fleet(*work.who, *work.what, work.policy->decide, seed);
        runs.push_back(experiment::evaluate(fleet.run(calls)));
    }
    return {work.who->name, work.what->name, work.policy->name, experiment::mean_of(runs)};
}

std::vector<experiment::figure_row> run_all(const std::vector<job>& jobs, const options& chosen)
{
    std::vector<experiment::figure_row> rows(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    workers.reserve(chosen.threads);
    for (unsigned index = 0; index < chosen.threads; ++index) {
        workers.emplace_back([&] {
            for (auto taken = next++; taken < jobs.size(); taken = next++) {
                rows[taken] = run_job(jobs[taken], chosen);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    return rows;
}

bool selected(const std::string& wanted, const std::string& name)
{
    return wanted.empty() || wanted == name;
}

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    CLI::App app{"Compares routing policies in virtual time"};
    app.add_option("--seeds", chosen.seeds, "Seeds of the runs; figures are their means");
    app.add_option("--user", chosen.user, "Only this user: naipes or rihla");
    app.add_option("--case", chosen.case_name, "Only this case");
    app.add_option("--policy", chosen.policy, "Only this policy");
    app.add_option("--seconds", chosen.seconds, "Virtual length of a run");
    app.add_option("--threads", chosen.threads, "Threads that run cases");
    app.add_flag("--table-only", chosen.table_only, "No JSON lines");
    CLI11_PARSE(app, argc, argv);

    const std::vector<experiment::user> users{experiment::make_naipes(), experiment::make_rihla()};
    std::vector<std::vector<experiment::experiment_case>> cases;
    cases.reserve(users.size());
    std::vector<job> jobs;
    for (const auto& who : users) {
        cases.push_back(experiment::make_cases(who, base::milliseconds{chosen.seconds * 1000}));
    }
    for (std::size_t index = 0; index < users.size(); ++index) {
        for (const auto& what : cases[index]) {
            for (const auto& policy : policies()) {
                if (selected(chosen.user, users[index].name) &&
                    selected(chosen.case_name, what.name) && selected(chosen.policy, policy.name)) {
                    jobs.push_back({&users[index], &what, &policy});
                }
            }
        }
    }
    fmt::print("seeds:");
    for (const auto seed : chosen.seeds) {
        fmt::print(" {}", seed);
    }
    fmt::print("\n");
    for (const auto& who : users) {
        fmt::print("{}: {:.2f} calls/s complete at one engine at most\n", who.name,
                   experiment::engine_capacity(who));
    }
    const auto rows = run_all(jobs, chosen);
    if (!chosen.table_only) {
        experiment::print_json_lines(rows);
    }
    experiment::print_table(rows);
    experiment::print_losses(rows);
    experiment::print_key_measures(rows, "naipes",
                                   {measure::first_token_p99_ms, measure::worst_team_ratio});
    experiment::print_key_measures(
        rows, "rihla", {measure::wrongful_refusals_percent, measure::sent_away_percent});
    return 0;
}
