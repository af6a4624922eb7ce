#ifndef CHICORYLINK_CONFIG_STORE_HPP
#define CHICORYLINK_CONFIG_STORE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/config/download.hpp"
#include "chicorylink/config/effects.hpp"
#include "chicorylink/config/message.hpp"
#include "chicorylink/config/settings.hpp"
#include "chicorylink/config/status.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace chicorylink::config {

/// @brief The outcome of a watch call to the configuration service.
enum class watch_result {
    /// The service returned a manifest.
    newer,
    /// Nothing newer within the wait.
    unchanged,
    /// The service refused the call for its rate limit.
    overloaded,
    /// No answer, or an error.
    failed,
};

/// @brief Keeps the rules version in force and downloads newer ones.
///
/// Versions only increase. One VM of each data center watches the service; others learn of versions
/// from heartbeats and announcements and pull the contents from peers. A version takes effect as a
/// whole or, if any line is invalid, not at all; all VMs apply the same validation. Not
/// thread-safe; its owner calls it under one lock and publishes `effects::apply` through `current`.
class store {
public:
    store(settings own, base::time_point now);

    /// @brief Must be called every 100 to 250 ms and after each change of the view.
    [[nodiscard]] effects tick(const membership::view& snapshot, base::time_point now);

    /// @brief Handles a message that arrived over an authenticated peer link.
    [[nodiscard]] effects receive(const message& received, const membership::view& snapshot,
                                  base::time_point now);

    /// @brief Handles the outcome of the call in `effects::watch`; must be called once for each.
    /// @param text The manifest when the result is `newer`, else empty.
    [[nodiscard]] effects on_watch(watch_result result, std::string_view text,
                                   const membership::view& snapshot, base::time_point now);

    /// @brief Handles the outcome of a fetch from `effects::fetch`.
    /// @param content The part as received; empty when the call failed.
    [[nodiscard]] effects on_part(const base::digest& digest,
                                  const std::optional<std::string>& content,
                                  const membership::view& snapshot, base::time_point now);

    /// @brief Whether requests may be served. A VM that is catching up may not serve before it has
    /// the newest version of its region, see docs/design/configuration.md.
    [[nodiscard]] bool ready() const { return m_ready; }
    [[nodiscard]] const std::shared_ptr<const rules::rulebook>& in_force() const { return m_book; }
    [[nodiscard]] base::config_version version() const;
    [[nodiscard]] const status& report() const { return m_status; }

private:
    using part = std::shared_ptr<const std::string>;

    void handle(const announcement& received, base::time_point now, effects& out);
    void handle(const version_query& received, base::time_point now, effects& out);
    void handle(const version_answer& received, base::time_point now, effects& out);
    void handle(const manifest_request& received, base::time_point now, effects& out);
    void handle(const manifest_reply& received, base::time_point now, effects& out);
    void handle(const part_request& received, base::time_point now, effects& out);
    void handle(const part_reply& received, base::time_point now, effects& out);

    /// Configuration service.
    void maybe_start_watch(const membership::view& snapshot, base::time_point now, effects& out);
    [[nodiscard]] bool should_query_service(base::time_point now) const;
    [[nodiscard]] bool is_on_duty(const membership::view& snapshot) const;
    void record_service_result(bool answered, base::time_point now, effects& out);

    /// Downloads.
    void note_version(base::vm_id from, base::config_version version);
    void note_view_versions(const membership::view& snapshot);
    void maybe_start_download(const membership::view& snapshot, base::time_point now, effects& out);
    /// How long this VM waits before it pulls a version, while other VMs of its data center do.
    [[nodiscard]] base::milliseconds pull_delay(const membership::view& snapshot,
                                                base::config_version wanted) const;
    [[nodiscard]] std::optional<base::vm_id> choose_source(const membership::view& snapshot) const;
    void start_download_from(base::vm_id source, base::time_point now, effects& out);
    void source_failed(base::time_point now);
    void on_manifest(rules::manifest manifest, std::string text, base::time_point now,
                     effects& out);
    void request_parts(effects& out);
    void on_complete_part(const base::digest& digest, std::string content, base::time_point now,
                          effects& out);
    void record_corrupt_content(std::string detail, base::time_point now, effects& out);
    void finish(base::time_point now, effects& out);
    void accept(std::shared_ptr<const rules::rulebook> book, effects& out);
    void reject(base::config_version version, std::string why, effects& out);
    void announce(const membership::view& snapshot, effects& out);

    /// Catching up after a start or a pause.
    void detect_resume(const membership::view& snapshot, base::time_point now, effects& out);
    void maybe_become_ready(const membership::view& snapshot, base::time_point now, effects& out);
    [[nodiscard]] base::config_version newest_heard() const;
    [[nodiscard]] sender self_sender() const { return {m_settings.self, m_settings.process}; }

    settings m_settings;
    status m_status;
    std::shared_ptr<const rules::rulebook> m_book;
    rules::manifest m_manifest;
    std::string m_manifest_text;
    /// Parts by digest, of the version in force, the previous one and the current download.
    std::map<base::digest, part> m_parts;
    std::optional<download> m_download;
    base::time_point m_next_download{};
    /// The newest known version that is not in force, and when it became known.
    base::config_version m_wanted;
    base::time_point m_wanted_since{};
    std::map<base::config_version, std::string> m_rejected;
    /// The newest version that each VM is known to have.
    std::map<base::vm_id, base::config_version> m_peer_versions;
    base::config_version m_service_version;

    bool m_call_in_progress = false;
    base::time_point m_next_call;

    bool m_ready = false;
    bool m_resumed = false;
    base::time_point m_resumed_at{};
    base::time_point m_catching_up_since;
    base::time_point m_next_query;
    std::set<base::vm_id> m_answered;
    bool m_service_answered = false;
    bool m_announcement_pending = false;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_STORE_HPP
