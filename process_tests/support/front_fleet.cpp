#include "front_fleet.hpp"

#include <cstdlib>
#include <fstream>
#include <unistd.h>

#include <fmt/format.h>

namespace chicorylink::process_tests {

front_fleet::front_fleet(const std::string& binaries, const std::string& name)
    : m_program(fmt::format("{}/bin/chicorylink-front", binaries)),
      m_folder(std::filesystem::temp_directory_path() / fmt::format("{}_{}", name, ::getpid()))
{
    std::filesystem::create_directories(m_folder);
}

front_fleet::~front_fleet()
{
    m_vms.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void front_fleet::start(const std::string& ip, const std::string& region)
{
    const auto file = m_folder / (ip + ".json");
    const auto at = [&](int port) { return fmt::format("{}:{}", ip, port); };
    const auto first = m_vms.empty() ? ip : m_vms.begin()->first;
    auto seeds = nlohmann::json::array();
    for (const auto& seed : m_seeds.empty() ? std::vector{first} : m_seeds) {
        seeds.push_back(fmt::format("{}:{}", seed, control_port));
    }
    const nlohmann::json settings{
        {"node", "vm-" + ip},
        {"bootstrap", !m_vms.contains(ip)},
        {"ip", ip},
        {"zone", region + "-a"},
        {"region", region},
        {"internalPorts", {peer_port, peer_port + 15}},
        {"seedAddrs", seeds},
        {"zones", {{"east-a", "east"}, {"east-b", "east"}, {"west-a", "west"}}},
        {"listen",
         {{"front", at(callers_port)},
          {"ready", at(ready_port)},
          {"control", at(control_port)},
          {"directory", at(directory_port)}}},
        {"limits", {{"memoryMb", m_memory_mb}}},
        {"bounds",
         {{"revokeMs", withdrawal_bound.count()},
          {"graceS", 8},
          {"retryBudgetRatio", 0.2},
          {"budgetSlack", m_retry_slack},
          {"budgetWindowS", 10}}},
        {"platform", {{"address", m_store_address}}}};
    std::ofstream(file) << settings.dump();
    ::setenv("CHICORYLINK_BOOT", file.c_str(), 1);
    m_vms.insert_or_assign(ip, std::make_unique<child_process>(
                                   std::vector{m_program}, (m_folder / (ip + ".log")).string()));
}

void front_fleet::publish_target(const std::string& name, const std::string& address,
                                 const std::string& zone, std::int64_t started_ms,
                                 const std::string& version)
{
    m_store.put("servers/" + name, nlohmann::json{{"service", "app"},
                                                  {"address", address},
                                                  {"zone", zone},
                                                  {"version", version},
                                                  {"slots", 6},
                                                  {"state", "ready"},
                                                  {"coldLeftMs", 0},
                                                  {"sequence", 1},
                                                  {"born", started_ms}}
                                       .dump());
}

void front_fleet::publish_config(int version, const std::vector<std::string>& keys,
                                 const std::string& dropped_path)
{
    const auto route = [](const std::string& path, const std::string& kind) {
        return nlohmann::json{
            {"name", path},     {"host", "h"},       {"pathPrefix", path},
            {"kind", kind},     {"timeoutMs", 4000}, {"goalMs", 400},
            {"gapGoalMs", 400}, {"service", "app"},  {"maxAttempts", 2},
            {"public", false},  {"resumable", true}, {"allowedRegions", nlohmann::json::array()}};
    };
    auto west_only = route("/west/", "safe");
    west_only["allowedRegions"] = {"west"};
    auto west_stream = route("/west-stream/", "streaming");
    west_stream["allowedRegions"] = {"west"};
    west_stream["timeoutMs"] = 15'000;
    auto routes = nlohmann::json::array({route("/safe/", "safe"), route("/unsafe/", "unsafe"),
                                         route("/stream/", "streaming"), west_only, west_stream});
    for (auto it = routes.begin(); it != routes.end();) {
        it = it->at("name") == dropped_path ? routes.erase(it) : std::next(it);
    }
    m_store.put("op/config", nlohmann::json{{"version", version},
                                            {"routes", routes},
                                            {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                                            {"tenants", {{{"name", "cards"}, {"apiKeys", keys}}}}}
                                 .dump());
}

call front_fleet::request(const std::string& ip, const std::string& path, const std::string& id,
                          const std::string& key)
{
    call outgoing;
    outgoing.method = "POST";
    outgoing.url = fmt::format("http://{}:{}{}", ip, callers_port, path);
    outgoing.headers = {"Host: h", "X-Chicorylink-Request-Id: " + id,
                        "X-Chicorylink-Deadline-Ms: 4000", "X-Chicorylink-Key: " + key};
    outgoing.body = "order";
    return outgoing;
}

bool front_fleet::is_ready(const std::string& ip)
{
    call outgoing;
    outgoing.url = fmt::format("http://{}:{}/readiness", ip, ready_port);
    return perform(outgoing).status == 200;
}

nlohmann::json front_fleet::directory(const std::string& ip, const std::string& region,
                                      const std::string& host)
{
    call outgoing;
    outgoing.url = fmt::format("http://{}:{}/resolve?name={}&region={}&zone={}-a", ip,
                               directory_port, host, region, region);
    const auto response = perform(outgoing);
    return response.status == 200 ? nlohmann::json::parse(response.body).at("addresses")
                                  : nlohmann::json::array();
}

} // namespace chicorylink::process_tests
