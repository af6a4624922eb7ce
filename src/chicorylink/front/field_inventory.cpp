#include "chicorylink/front/field_inventory.hpp"

namespace chicorylink::front {
namespace {

/// Names that are remembered at most, however many targets make up.
constexpr std::size_t max_seen_names = 64;

} // namespace

field_inventory::field_inventory(const header_names& names)
    : m_names{
          "Cache-Control", "Connection",  "Content-Encoding", "Content-Length", "Content-Type",
          "Date",          "ETag",        "Expires",          "Keep-Alive",     "Last-Modified",
          "Location",      "Retry-After", "Server",           "Trailer",        "Transfer-Encoding",
          "Vary"}
{
    m_names.insert({names.request_id, names.signature, names.load, names.not_run, names.leaving,
                    names.rate_limit});
    m_names.insert(names.unused_in_responses.begin(), names.unused_in_responses.end());
}

bool field_inventory::is_new(std::string_view name)
{
    if (m_seen >= max_seen_names || m_names.contains(name)) {
        return false;
    }
    m_names.emplace(name);
    ++m_seen;
    return true;
}

} // namespace chicorylink::front
