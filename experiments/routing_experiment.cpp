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
    const experiment::user* profile = nullptr;
    const experiment::experiment_case* test_case = nullptr;
    const named_policy* policy = nullptr;
};

experiment::figure_row run_job(const job& work, const options& settings)
{
    std::vector<experiment::measure_values> runs;
    for (const auto seed : settings.seeds) {
        const auto calls = experiment::make_calls(*work.profile, work.test_case->amount, seed);
        experiment::fleet fleet(*work.profile, *work.test_case, work.policy->decide, seed);
        runs.push_back(experiment::evaluate(fleet.run(calls)));
    }
    return {work.profile->name, work.test_case->name, work.policy->name, experiment::mean_of(runs)};
}

std::vector<experiment::figure_row> run_all(const std::vector<job>& jobs, const options& settings)
{
    std::vector<experiment::figure_row> rows(jobs.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    workers.reserve(settings.threads);
    for (unsigned index = 0; index < settings.threads; ++index) {
        workers.emplace_back([&] {
            for (auto job_index = next++; job_index < jobs.size(); job_index = next++) {
                rows[job_index] = run_job(jobs[job_index], settings);
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
    options settings;
    CLI::App app{"Compares routing policies in virtual time"};
    app.add_option("--seeds", settings.seeds, "Seeds of the runs; figures are their means");
    app.add_option("--user", settings.user, "Only this user: naipes or rihla");
    app.add_option("--case", settings.case_name, "Only this case");
    app.add_option("--policy", settings.policy, "Only this policy");
    app.add_option("--seconds", settings.seconds, "Virtual length of a run");
    app.add_option("--threads", settings.threads, "Threads that run cases");
    app.add_flag("--table-only", settings.table_only, "No JSON lines");
    CLI11_PARSE(app, argc, argv);

    const std::vector<experiment::user> users{experiment::make_naipes(), experiment::make_rihla()};
    std::vector<std::vector<experiment::experiment_case>> cases;
    cases.reserve(users.size());
    std::vector<job> jobs;
    for (const auto& profile : users) {
        cases.push_back(
            experiment::make_cases(profile, base::milliseconds{settings.seconds * 1000}));
    }
    for (std::size_t index = 0; index < users.size(); ++index) {
        for (const auto& test_case : cases[index]) {
            for (const auto& policy : policies()) {
                if (selected(settings.user, users[index].name) &&
                    selected(settings.case_name, test_case.name) &&
                    selected(settings.policy, policy.name)) {
                    jobs.push_back({&users[index], &test_case, &policy});
                }
            }
        }
    }
    fmt::print("seeds:");
    for (const auto seed : settings.seeds) {
        fmt::print(" {}", seed);
    }
    fmt::print("\n");
    for (const auto& profile : users) {
        fmt::print("{}: {:.2f} calls/s complete at one engine at most\n", profile.name,
                   experiment::engine_capacity(profile));
    }
    const auto rows = run_all(jobs, settings);
    if (!settings.table_only) {
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
