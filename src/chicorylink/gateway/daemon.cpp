#include "chicorylink/gateway/daemon.hpp"

#include "chicorylink/gateway/daemon_core.hpp"

#include <utility>

namespace chicorylink::gateway {

daemon::daemon(std::unique_ptr<daemon_core> core) : m_core(std::move(core)) {}

daemon::~daemon() = default;

base::result<std::unique_ptr<daemon>> daemon::start(const settings& config)
{
    auto core = std::make_unique<daemon_core>(config);
    BOOST_LEAF_CHECK(core->start());
    return std::unique_ptr<daemon>(new daemon(std::move(core)));
}

std::string daemon::addresses() const
{
    return m_core->addresses();
}

void daemon::reload_tls()
{
    m_core->reload_tls();
}

void daemon::stop()
{
    m_core->stop();
}

} // namespace chicorylink::gateway
