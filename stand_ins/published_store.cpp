#include "stand_ins/published_store.hpp"

#include <chrono>
#include <utility>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace chicorylink::stand_ins {
namespace {

/// Small, so that tests read more than one page.
constexpr std::size_t page_items = 3;

/// How long an unresponsive store delays a read; longer than any reader waits.
constexpr std::chrono::seconds unresponsive_delay{4};

std::string to_base64(const std::string& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

nlohmann::json to_json(const std::string& key, const std::string& value, std::uint64_t revision,
                       bool removed)
{
    nlohmann::json entry{{"key", key}, {"revision", revision}};
    if (removed) {
        entry["tombstone"] = true;
    }
    else {
        entry["value"] = to_base64(value);
    }
    return entry;
}

} // namespace

published_store::published_store(const std::string& listen)
    : m_server(listen, {[this](const http_request& request) { return respond(request); }, {}})
{
}

published_store::~published_store()
{
    const std::lock_guard lock(m_mutex);
    m_is_stopping = true;
    m_changed.notify_all();
}

void published_store::change(const std::string& key, item next)
{
    const std::lock_guard lock(m_mutex);
    next.revision = ++m_revision;
    m_items[key] = std::move(next);
    m_changed.notify_all();
}

void published_store::put(const std::string& key, const std::string& value)
{
    change(key, {value, 0, false});
}

void published_store::remove(const std::string& key)
{
    change(key, {{}, 0, true});
}

void published_store::compact_history()
{
    const std::lock_guard lock(m_mutex);
    m_compacted_revision = ++m_revision;
    m_changed.notify_all();
}

void published_store::set_read_mode(read_mode value)
{
    const std::lock_guard lock(m_mutex);
    m_read_mode = value;
    m_changed.notify_all();
}

published_store::copy published_store::take_copy()
{
    const std::lock_guard lock(m_mutex);
    return {m_items, m_revision, m_compacted_revision};
}

void published_store::restore(const copy& older)
{
    const std::lock_guard lock(m_mutex);
    m_items = older.items;
    m_revision = older.revision;
    m_compacted_revision = older.compacted_revision;
    ++m_era;
    m_changed.notify_all();
}

void published_store::set_era_header(const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    m_era_header = value;
}

void published_store::reset_era_header()
{
    const std::lock_guard lock(m_mutex);
    m_era_header.reset();
}

http_response published_store::with_era(http_response response) const
{
    const auto era = m_era_header.value_or(std::to_string(m_era));
    if (!era.empty()) {
        response.headers.emplace_back("Store-Era", era);
    }
    return response;
}

http_response published_store::respond(const http_request& request)
{
    {
        std::unique_lock lock(m_mutex);
        if (m_read_mode == read_mode::refuse) {
            return with_era(error_response(503, "the store refuses"));
        }
        if (m_read_mode == read_mode::unresponsive) {
            m_changed.wait_for(lock, unresponsive_delay, [this] {
                return m_is_stopping || m_read_mode != read_mode::unresponsive;
            });
            http_response response;
            response.drop = true;
            return response;
        }
    }
    return request.path == "/kv-watch" ? wait_for_change(request) : page(request);
}

http_response published_store::page(const http_request& request)
{
    const std::lock_guard lock(m_mutex);
    const std::string after{request.argument("after")};
    nlohmann::json body{{"items", nlohmann::json::array()}, {"hasMore", false}};
    for (auto entry = m_items.upper_bound(after); entry != m_items.end(); ++entry) {
        if (entry->second.removed) {
            continue;
        }
        if (body["items"].size() == page_items) {
            body["hasMore"] = true;
            break;
        }
        body["items"].push_back(
            to_json(entry->first, entry->second.value, entry->second.revision, false));
    }
    body["asOf"] = m_revision;
    return with_era(json_response(200, body));
}

http_response published_store::wait_for_change(const http_request& request)
{
    const auto after = std::stoull(std::string{request.argument("after")});
    const std::chrono::milliseconds wait{std::stoul(std::string{request.argument("waitMs")})};
    std::unique_lock lock(m_mutex);
    const auto era = m_era;
    if (after > m_revision) {
        return with_era(error_response(410, "no such revision"));
    }
    m_changed.wait_for(lock, wait, [&] {
        return m_is_stopping || m_revision > after || m_read_mode != read_mode::normal ||
               m_era != era;
    });
    if (m_read_mode != read_mode::normal || m_era != era) {
        http_response response;
        response.drop = true;
        return response;
    }
    if (after < m_compacted_revision) {
        return with_era(error_response(410, "history is gone"));
    }
    nlohmann::json body{{"events", nlohmann::json::array()}, {"asOf", m_revision}};
    for (const auto& [key, entry] : m_items) {
        if (entry.revision > after) {
            body["events"].push_back(to_json(key, entry.value, entry.revision, entry.removed));
        }
    }
    return with_era(json_response(200, body));
}

} // namespace chicorylink::stand_ins
