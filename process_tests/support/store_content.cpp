#include "store_content.hpp"

#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {

void publish(stand_ins::published_store& store, const version_content& content)
{
    auto routes = nlohmann::json::array();
    for (const auto& path : content.paths) {
        routes.push_back({{"name", path},
                          {"host", "h"},
                          {"pathPrefix", path},
                          {"kind", "safe"},
                          {"timeoutMs", 4000},
                          {"maxAttempts", 2},
                          {"service", "app"}});
    }
    store.put("op/config",
              nlohmann::json{{"version", content.version},
                             {"routes", routes},
                             {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                             {"tenants", {{{"name", "cards"}, {"apiKeys", content.keys}}}}}
                  .dump());
}

void publish(stand_ins::published_store& store, const target_content& target)
{
    store.put("servers/" + target.name, nlohmann::json{{"service", "app"},
                                                       {"address", target.address},
                                                       {"zone", target.zone},
                                                       {"slots", 6},
                                                       {"state", target.state},
                                                       {"coldLeftMs", 0},
                                                       {"sequence", target.sequence},
                                                       {"born", target.started_ms}}
                                            .dump());
}

} // namespace chicorylink::process_tests
