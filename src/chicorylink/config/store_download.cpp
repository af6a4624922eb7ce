#include "chicorylink/config/store.hpp"
#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

namespace chicorylink::config {
namespace {

/// Maximum number of parts requested at a time.
constexpr std::size_t max_parts_in_flight = 32;
/// Maximum number of rejected versions that are kept.
constexpr std::size_t max_rejections = 16;
/// Interval between the stages in which the VMs of a data center pull a version.
constexpr base::milliseconds pull_stage_interval{300};
/// Delay before a download is retried after all sources failed.
constexpr base::milliseconds download_retry_delay{1'000};

constexpr base::vm_id service_source{};

bool passes_verification(const rules::part_reference& expected, std::string_view content)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(rules::verify_part(expected, content));
            return true;
        },
        [] { return false; });
}

/// Distance of a VM: 0 in the same data center, 1 in the same region, 2 elsewhere.
int distance(const membership::member& self, const membership::member& other)
{
    if (self.data_center == other.data_center) {
        return 0;
    }
    return self.region == other.region ? 1 : 2;
}

} // namespace

void store::note_version(base::vm_id from, base::config_version version)
{
    auto& reported_version = m_peer_versions[from];
    reported_version = std::max(reported_version, version);
}

void store::note_view_versions(const membership::view& snapshot)
{
    for (const auto& each : snapshot.members) {
        if (each.id != m_settings.self && each.config_known != base::config_version{}) {
            note_version(each.id, each.config_known);
        }
    }
    std::erase_if(m_peer_versions, [&](const auto& entry) {
        const auto* member = membership::find(snapshot, entry.first);
        return member == nullptr;
    });
}

void store::maybe_start_download(const membership::view& snapshot, base::time_point now,
                                 effects& out)
{
    const bool from_service = m_download && m_download->source == service_source;
    const auto timeout = from_service ? m_settings.service_stall : m_settings.stall;
    if (m_download && now - m_download->progress_at > timeout) {
        source_failed(now);
    }
    base::config_version wanted;
    for (const auto& [vm, reported_version] : m_peer_versions) {
        if (reported_version > version() && !m_rejected.contains(reported_version)) {
            wanted = std::max(wanted, reported_version);
        }
    }
    const bool newer = !m_download || wanted > m_download->version;
    const bool has_no_source = m_download && !m_download->failed.empty() &&
                               m_download->failed.contains(m_download->source);
    if (wanted == base::config_version{} && !has_no_source) {
        return;
    }
    if (wanted != m_wanted) {
        m_wanted = wanted;
        m_wanted_since = now;
    }
    const bool due = now >= m_next_download && now - m_wanted_since >= pull_delay(snapshot, wanted);
    if ((newer && due) || has_no_source) {
        if (newer) {
            m_download = download{.version = wanted, .progress_at = now};
        }
        const auto source = choose_source(snapshot);
        if (source) {
            start_download_from(*source, now, out);
            return;
        }
        m_download.reset();
        m_next_download = now + download_retry_delay;
        m_next_call = std::max(m_next_call, now + m_settings.rate_limit_delay);
    }
}

base::milliseconds store::pull_delay(const membership::view& snapshot,
                                     base::config_version wanted) const
{
    const auto* self = membership::find(snapshot, m_settings.self);
    if (!m_ready || self == nullptr) {
        return base::milliseconds{0};
    }
    std::vector<base::vm_id> vms_without_version;
    for (const auto& each : snapshot.members) {
        const auto reported_version = m_peer_versions.find(each.id);
        const bool has_version =
            reported_version != m_peer_versions.end() && reported_version->second >= wanted;
        if (each.data_center == self->data_center && !has_version) {
            vms_without_version.push_back(each.id);
        }
    }
    const auto order = membership::first_by_rendezvous(vms_without_version, wanted.value(),
                                                       vms_without_version.size());
    const auto rank = std::ranges::find(order, m_settings.self) - order.begin();
    // The stages have 2, 4, 8, ... VMs; each stage pulls from the VMs of earlier stages.
    const auto stage = std::bit_width(static_cast<std::uint64_t>(rank) / 2 + 1) - 1;
    return stage * pull_stage_interval;
}

std::optional<base::vm_id> store::choose_source(const membership::view& snapshot) const
{
    const auto* self = membership::find(snapshot, m_settings.self);
    std::vector<base::vm_id> nearest;
    int nearest_distance = 0;
    for (const auto& [vm, reported_version] : m_peer_versions) {
        const auto* other = membership::find(snapshot, vm);
        const bool usable =
            self != nullptr && other != nullptr && other->state != membership::member_state::gone &&
            reported_version >= m_download->version && !m_download->failed.contains(vm);
        if (!usable) {
            continue;
        }
        const int other_distance = distance(*self, *other);
        if (!nearest.empty() && other_distance > nearest_distance) {
            continue;
        }
        if (nearest.empty() || other_distance < nearest_distance) {
            nearest.clear();
            nearest_distance = other_distance;
        }
        nearest.push_back(vm);
    }
    if (!nearest.empty()) {
        // Spreads the VMs over the sources, so that not all pull from the first VM with the
        // version.
        return membership::first_by_rendezvous(nearest, m_settings.self.value(), 1).front();
    }
    const bool service_knows = m_service_version >= m_download->version;
    if (service_knows && !m_download->failed.contains(service_source)) {
        return service_source;
    }
    return std::nullopt;
}

void store::start_download_from(base::vm_id source, base::time_point now, effects& out)
{
    if (!m_download) {
        m_download = download{.version = m_service_version};
    }
    m_download->source = source;
    m_download->progress_at = now;
    m_download->partial.clear();
    if (m_download->manifest) {
        request_parts(out);
        return;
    }
    if (source != service_source) {
        out.post(source, manifest_request{self_sender(), m_download->version});
    }
    else if (!m_call_in_progress) {
        out.watch = {.after = version(), .wait = base::milliseconds{0}};
        m_call_in_progress = true;
    }
}

void store::source_failed(base::time_point now)
{
    m_download->failed.insert(m_download->source);
    m_download->progress_at = now;
}

void store::on_manifest(rules::manifest manifest, std::string text, base::time_point now,
                        effects& out)
{
    m_download->version = manifest.version;
    m_download->manifest = std::move(manifest);
    m_download->manifest_text = std::move(text);
    m_download->progress_at = now;
    request_parts(out);
    finish(now, out);
}

void store::request_parts(effects& out)
{
    auto& current = *m_download;
    for (const auto& reference : current.manifest->parts) {
        if (current.partial.size() >= max_parts_in_flight) {
            return;
        }
        if (m_parts.contains(reference.digest) || current.partial.contains(reference.digest)) {
            continue;
        }
        current.partial[reference.digest] = {};
        if (current.source == service_source) {
            out.fetch.push_back(reference.digest);
        }
        else {
            out.post(current.source, part_request{self_sender(), reference.digest, 0});
        }
    }
}

void store::on_complete_part(const base::digest& digest, std::string content, base::time_point now,
                             effects& out)
{
    const auto& wanted = m_download->manifest->parts;
    const auto reference = std::ranges::find(wanted, digest, &rules::part_reference::digest);
    if (reference == wanted.end()) {
        return;
    }
    if (!passes_verification(*reference, content)) {
        source_failed(now);
        record_corrupt_content("a part does not have the digest of the manifest", now, out);
        return;
    }
    m_parts[digest] = std::make_shared<const std::string>(std::move(content));
    m_download->partial.erase(digest);
    m_download->progress_at = now;
    request_parts(out);
    finish(now, out);
}

void store::record_corrupt_content(std::string detail, base::time_point /*now*/, effects& out)
{
    ++m_status.corrupt_contents;
    out.events.push_back({event_kind::content_corrupt, version(), std::move(detail)});
}

void store::finish(base::time_point now, effects& out)
{
    const auto manifest = *m_download->manifest;
    const auto present = [&](const auto& reference) { return m_parts.contains(reference.digest); };
    if (!std::ranges::all_of(manifest.parts, present)) {
        return;
    }
    std::vector<std::string> contents;
    contents.reserve(manifest.parts.size());
    for (const auto& reference : manifest.parts) {
        contents.push_back(*m_parts.at(reference.digest));
    }
    const auto text = std::move(m_download->manifest_text);
    m_download.reset();
    m_next_download = now;
    auto parsed =
        rules::parse_parts(contents, {.version = manifest.version, .key_salt = manifest.key_salt});
    if (!parsed.book) {
        const auto why = parsed.errors.empty() ? std::string("unknown error")
                                               : rules::to_string(parsed.errors.front());
        reject(manifest.version, why, out);
        return;
    }
    const auto previous = std::exchange(m_manifest, manifest);
    m_manifest_text = text;
    std::set<base::digest> kept;
    for (const auto& reference : previous.parts) {
        kept.insert(reference.digest);
    }
    for (const auto& reference : manifest.parts) {
        kept.insert(reference.digest);
    }
    std::erase_if(m_parts, [&](const auto& entry) { return !kept.contains(entry.first); });
    m_announcement_pending = true;
    accept(std::move(parsed.book), out);
}

void store::accept(std::shared_ptr<const rules::rulebook> book, effects& out)
{
    const auto older = version();
    if (m_book) {
        for (auto& change : rules::diff_rules(*m_book, *book)) {
            out.audit.push_back({older, book->version(), std::move(change)});
        }
    }
    m_book = std::move(book);
    out.apply = m_book;
    out.events.push_back({event_kind::version_in_force, version(), "all rules were accepted"});
    m_status.in_force = version();
}

void store::reject(base::config_version version, std::string why, effects& out)
{
    out.events.push_back({event_kind::version_rejected, version, why});
    if (version > m_status.rejected) {
        m_status.rejected = version;
        m_status.rejection = why;
    }
    m_rejected[version] = std::move(why);
    if (m_rejected.size() > max_rejections) {
        m_rejected.erase(m_rejected.begin());
    }
}

} // namespace chicorylink::config
