#ifndef CHICORYLINK_FLEET_TARGET_POOL_FIXTURE_HPP
#define CHICORYLINK_FLEET_TARGET_POOL_FIXTURE_HPP

#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/target_pool.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <fmt/format.h>

// A pool of published targets for the tests of this module.

namespace chicorylink::fleet::test_support {

inline base::time_point at(std::chrono::milliseconds since_boot)
{
    return base::time_point{since_boot};
}

inline const region_name east{"east"};
inline const std::map<data_center_name, region_name> data_center_regions{
    {data_center_name{"east-a"}, east},
    {data_center_name{"east-b"}, east},
    {data_center_name{"west-a"}, region_name{"west"}}};

/// Decodes items whose keys are target names and whose values are `engine`, `linked` or `plain`,
/// and
/// `,leaving`, `,cold` or `,b` for the second data center, or by `@` and the start of the run.
inline decoded_item decode(const published_item& item)
{
    if (item.key == "config") {
        service engines;
        engines.name = service_name{"engine"};
        engines.is_engine = true;
        engines.cold_time = std::chrono::milliseconds{3000};
        engines.cold_requests_per_second = 2.9;
        // Engines that can fetch from each other's caches.
        auto linked = engines;
        linked.name = service_name{"linked"};
        linked.fetch_tokens_per_ms = 140;
        linked.tokens_per_event = 7;
        service plain;
        plain.name = service_name{"plain"};
        return configuration_item{std::make_shared<const configuration>(
            base::config_version{1}, std::vector<route>{},
            std::vector<service>{engines, linked, plain}, std::vector<team>{}, caller_limits{})};
    }
    if (item.key.starts_with("evac/")) {
        return evacuation_item{data_center_name{item.key.substr(5)}, !item.removed};
    }
    if (item.removed) {
        return target_gone_item{target_name{item.key}, {}};
    }
    target_entry entry;
    entry.name = target_name{item.key};
    entry.service = service_name{item.value.substr(0, item.value.find_first_of(",@"))};
    if (const auto separator = item.value.find('@'); separator != std::string::npos) {
        entry.started_ms = std::stoll(item.value.substr(separator + 1));
    }
    entry.address = "10.0.0.1:" + item.key;
    entry.data_center = data_center_name{item.value.ends_with(",b") ? "east-b" : "east-a"};
    entry.slots = entry.service.text() == "plain" ? 6 : 64;
    entry.leaving = item.value.ends_with("leaving");
    entry.cold_left = std::chrono::milliseconds{item.value.ends_with("cold") ? 3000 : 0};
    return target_item{entry};
}

class target_pool_fixture {
public:
    explicit target_pool_fixture(int engines, int plain = 0) : m_state(&decode)
    {
        publish("config", "1");
        for (int number = 0; number < engines; ++number) {
            publish(fmt::format("e{}", number), "engine");
        }
        for (int number = 0; number < plain; ++number) {
            publish(fmt::format("p{}", number), "plain");
        }
    }

    void publish(const std::string& key, const std::string& value, bool removed = false,
                 base::time_point now = at(std::chrono::seconds{1}))
    {
        ++m_revision;
        const store_revision revision{store_era{}, m_revision};
        (void)m_state.apply_changes({{key, value, revision, removed}}, revision, now, now);
        m_pool.sync(m_state, east, data_center_regions, now);
    }

    void publish_run(const std::string& key, const std::string& service, std::int64_t started_ms,
                     base::time_point now)
    {
        publish(key, fmt::format("{}@{}", service, started_ms), false, now);
    }

    target_pool& pool() { return m_pool; }

private:
    published_state m_state;
    target_pool m_pool;
    std::uint64_t m_revision = 0;
};

} // namespace chicorylink::fleet::test_support

#endif // CHICORYLINK_FLEET_TARGET_POOL_FIXTURE_HPP
