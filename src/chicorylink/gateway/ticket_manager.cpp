#include "chicorylink/gateway/ticket_manager.hpp"

#include "chicorylink/dispatch/ticket_table.hpp"
#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/services.hpp"

#include <mutex>
#include <optional>
#include <utility>

namespace chicorylink::gateway {

ticket_manager::ticket_manager(services& deps) : m_deps(deps), m_table(make_table()) {}

ticket_manager::~ticket_manager() = default;

base::result<std::string> ticket_manager::issue(base::team_id team, base::route_id route)
{
    BOOST_LEAF_AUTO(issued, table()->issue(team, route, m_deps.now()));
    return dispatch::to_text(issued, keys());
}

base::result<dispatch::ticket> ticket_manager::read(std::string_view text) const
{
    return dispatch::ticket_from_text(text, keys());
}

dispatch::ticket_decision ticket_manager::begin(const dispatch::ticket& value,
                                                const base::digest& request,
                                                const dispatch::attempt_id& holder)
{
    return table()->begin(value, request, holder, m_deps.now());
}

void ticket_manager::end(const dispatch::ticket& value, const dispatch::attempt_id& holder,
                         dispatch::outcome result, const http_response* response)
{
    std::optional<dispatch::stored_response> stored;
    if (response != nullptr) {
        stored.emplace();
        stored->status = static_cast<std::uint16_t>(response->status);
        stored->content_type = find_header(response->headers, "content-type");
        stored->body = response->body;
        stored->body_digest = base::sha256({}, response->body);
    }
    table()->end(value, holder, result, std::move(stored));
}

dispatch::outcome ticket_manager::refuse(const dispatch::ticket& value)
{
    if (value.executor != m_deps.self) {
        return dispatch::outcome::unknown;
    }
    return table()->refuse(value, m_deps.now()).result;
}

base::milliseconds ticket_manager::lifetime() const
{
    return table()->lifetime();
}

void ticket_manager::close()
{
    table()->close();
}

void ticket_manager::tick()
{
    table()->discard_expired(m_deps.now());
}

void ticket_manager::renew()
{
    auto new_table = make_table();
    const std::unique_lock lock(m_mutex);
    m_table = std::move(new_table);
}

std::shared_ptr<dispatch::ticket_table> ticket_manager::make_table() const
{
    dispatch::ticket_settings settings;
    settings.self = m_deps.self;
    settings.process = m_deps.process.load();
    settings.epoch = m_deps.now();
    return std::make_shared<dispatch::ticket_table>(settings);
}

std::shared_ptr<dispatch::ticket_table> ticket_manager::table() const
{
    const std::shared_lock lock(m_mutex);
    return m_table;
}

dispatch::ticket_keys ticket_manager::keys() const
{
    const auto& secrets = m_deps.config.ticket_keys;
    return {secrets.front(), secrets.size() > 1 ? secrets.back() : std::string{}};
}

} // namespace chicorylink::gateway
