#include "chicorylink/config/store.hpp"
#include "chicorylink/rules/manifest.hpp"

#include <optional>
#include <utility>

namespace chicorylink::config {
namespace {

constexpr base::vm_id service_source{};

template <class Value, class Function>
std::optional<Value> value_or_none(Function&& function)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, function());
            return std::optional<Value>{std::move(value)};
        },
        [] { return std::optional<Value>{}; });
}

} // namespace

void store::handle(const announcement& received, base::time_point /*now*/, effects& /*out*/)
{
    note_version(received.from.vm, received.version);
}

void store::handle(const version_query& received, base::time_point /*now*/, effects& out)
{
    out.post(received.from.vm, version_answer{self_sender(), version()});
}

void store::handle(const version_answer& received, base::time_point /*now*/, effects& /*out*/)
{
    m_answered.insert(received.from.vm);
    if (received.version != base::config_version{}) {
        note_version(received.from.vm, received.version);
    }
}

void store::handle(const manifest_request& received, base::time_point /*now*/, effects& out)
{
    const bool have = m_book && version() >= received.at_least;
    out.post(received.from.vm,
             manifest_reply{self_sender(), have ? m_manifest_text : std::string()});
}

void store::handle(const manifest_reply& received, base::time_point now, effects& out)
{
    const bool expected =
        m_download && m_download->source == received.from.vm && !m_download->manifest;
    if (!expected) {
        return;
    }
    auto manifest =
        value_or_none<rules::manifest>([&] { return rules::parse_manifest(received.text); });
    if (!manifest || manifest->version <= version() || m_rejected.contains(manifest->version)) {
        source_failed(now);
        return;
    }
    on_manifest(std::move(*manifest), received.text, now, out);
}

void store::handle(const part_request& received, base::time_point /*now*/, effects& out)
{
    part_reply reply{.from = self_sender(), .digest = received.digest, .offset = received.offset};
    const auto position = m_parts.find(received.digest);
    if (position != m_parts.end() && received.offset <= position->second->size()) {
        reply.total = position->second->size();
        reply.content = position->second->substr(received.offset, chunk_size_bytes);
    }
    out.post(received.from.vm, std::move(reply));
}

void store::handle(const part_reply& received, base::time_point now, effects& out)
{
    if (!m_download || m_download->source != received.from.vm) {
        return;
    }
    const auto position = m_download->partial.find(received.digest);
    if (position == m_download->partial.end() || received.offset != position->second.size()) {
        return;
    }
    const auto limit = static_cast<std::uint64_t>(rules::value_size_limit.value());
    if (received.total == 0 || received.total > limit) {
        source_failed(now);
        return;
    }
    position->second += received.content;
    m_download->progress_at = now;
    if (position->second.size() >= received.total) {
        on_complete_part(received.digest, std::move(position->second), now, out);
        return;
    }
    const auto next = position->second.size();
    out.post(received.from.vm, part_request{self_sender(), received.digest, next});
}

effects store::on_part(const base::digest& digest, const std::optional<std::string>& content,
                       const membership::view& snapshot, base::time_point now)
{
    effects out;
    ++m_status.service_calls;
    const bool awaited =
        m_download && m_download->source == service_source && m_download->partial.contains(digest);
    if (awaited && content) {
        on_complete_part(digest, *content, now, out);
    }
    else if (awaited) {
        source_failed(now);
    }
    maybe_start_download(snapshot, now, out);
    maybe_become_ready(snapshot, now, out);
    announce(snapshot, out);
    return out;
}

} // namespace chicorylink::config
