#include "chicorylink/gateway/daemon.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "chicorylink/gateway/daemon_core.hpp"

namespace chicorylink::gateway {

class daemon::implementation {
public:
    explicit implementation(const settings& config) : core(config) {}

    daemon_core core;
};

daemon::daemon(std::unique_ptr<implementation> made) : m_implementation(std::move(made)) {}

daemon::~daemon() = default;

base::result<std::unique_ptr<daemon>> daemon::start(const settings& config)
{
    auto made = std::make_unique<implementation>(config);
    BOOST_LEAF_CHECK(made->core.start());
    return std::unique_ptr<daemon>(new daemon(std::move(made)));
}

std::string daemon::addresses() const
{
    return m_implementation->core.addresses();
}

void daemon::reload_tls()
{
    m_implementation->core.reload_tls();
}

void daemon::stop()
{
    m_implementation->core.stop();
}

}  // namespace chicorylink::gateway
