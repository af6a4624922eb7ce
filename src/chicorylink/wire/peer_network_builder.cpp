#include "chicorylink/wire/peer_network_builder.hpp"

#include "chicorylink/base/metrics.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/wire/event_loop.hpp"
#include "chicorylink/wire/frame_codec.hpp"
#include "chicorylink/wire/peer_network.hpp"
#include "chicorylink/wire/send_scheduler.hpp"
#include "chicorylink/wire/socket.hpp"
#include "chicorylink/wire/tls_context.hpp"

#include <utility>

namespace chicorylink::wire {
namespace {

base::leaf::error_id bad_setting(std::string message, std::string remedy)
{
    return base::fail(base::error_kind::invalid_setting, std::move(message), std::move(remedy));
}

base::result<void> check(const link_limits& limits)
{
    if (limits.frame_bytes < send_scheduler::chunk_bytes + envelope_bytes) {
        return bad_setting("the frame limit is too small", "use at least 32 KB");
    }
    if (limits.stream_window == 0 || limits.stream_buffer == 0 || limits.streams == 0) {
        return bad_setting("a limit of the peer links is zero", "give a positive limit");
    }
    if (limits.dead_after <= limits.ping_interval || limits.backoff_max < limits.backoff_min) {
        return bad_setting("the times of the peer links contradict each other",
                           "make dead_after longer than ping_interval, and backoff_max at least "
                           "backoff_min");
    }
    return {};
}

} // namespace

peer_network_builder::peer_network_builder(base::vm_id self, base::incarnation process)
{
    m_settings.self = self;
    m_settings.process = process;
}

peer_network_builder& peer_network_builder::listen(std::string address)
{
    m_settings.listen_address = std::move(address);
    return *this;
}

peer_network_builder& peer_network_builder::tls(tls_settings settings)
{
    m_settings.tls = std::move(settings);
    return *this;
}

peer_network_builder& peer_network_builder::plain_text()
{
    m_plain_text = true;
    return *this;
}

peer_network_builder& peer_network_builder::limits(link_limits value)
{
    m_settings.limits = value;
    return *this;
}

peer_network_builder& peer_network_builder::metrics(base::metrics& value)
{
    m_metrics = &value;
    return *this;
}

peer_network_builder& peer_network_builder::handler(peer_handler value)
{
    m_handler = std::move(value);
    return *this;
}

base::result<std::unique_ptr<peer_network>> peer_network_builder::build()
{
    if (m_settings.tls.has_value() == m_plain_text) {
        return bad_setting("peer links need exactly one of TLS and plain text",
                           "give authority, certificate and key files, or the plain text flag");
    }
    if (m_metrics == nullptr) {
        return bad_setting("the peer network has no metrics", "call metrics() before build()");
    }
    BOOST_LEAF_CHECK(check(m_settings.limits));
    std::shared_ptr<const tls_context> tls;
    if (m_settings.tls) {
        BOOST_LEAF_ASSIGN(tls, tls_context::load(*m_settings.tls));
    }
    BOOST_LEAF_AUTO(listener, listen_on(m_settings.listen_address));
    m_settings.listen_address = bound_address(listener);
    m_settings.seed = base::random_bits();
    return std::make_unique<peer_network>(std::make_unique<event_loop>(
        m_settings, std::move(m_handler), *m_metrics, std::move(listener), std::move(tls)));
}

} // namespace chicorylink::wire
