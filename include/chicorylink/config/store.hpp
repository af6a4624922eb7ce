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

/// @brief How a call of the service for a manifest ended.
enum class watch_result {
    /// A manifest came.
    newer,
    /// Nothing newer within the wait.
    unchanged,
    /// The service refused for its rate.
    overloaded,
    /// No answer, or an error.
    failed,
};

/// @brief Which version of the rules is in force, and the way to newer ones.
///
/// Versions only grow. One VM of each data center watches the service; others hear of versions in
/// heartbeats and announcements and pull the contents from peers. A version comes into force as a
/// whole or, when any line is wrong, not at all; the check is the same everywhere. Not
/// thread-safe; its owner calls it under one lock and publishes `effects::apply` through `current`.
class store {
public:
    store(settings own, base::time_point now);

    /// @brief To be called every 100 to 250 ms and after each change of the view.
    [[nodiscard]] effects tick(const membership::view& seen, base::time_point now);

    /// @brief A message arrived over an authenticated peer link.
    [[nodiscard]] effects receive(const message& received, const membership::view& seen,
                                  base::time_point now);

    /// @brief The call of `effects::watch` ended; each call must be answered once.
    /// @param text The manifest when the result is `newer`, else empty.
    [[nodiscard]] effects on_watch(watch_result result, std::string_view text,
                                   const membership::view& seen, base::time_point now);

    /// @brief A call of `effects::fetch` ended.
    /// @param content The part as received; empty when the call failed.
    [[nodiscard]] effects on_part(const base::digest& digest,
                                  const std::optional<std::string>& content,
                                  const membership::view& seen, base::time_point now);

    /// @brief Whether requests may be served. A newcomer may not before it knows the newest
    /// version of its region, see docs/design/configuration.md.
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

    /// The service.
    void consider_watch(const membership::view& seen, base::time_point now, effects& out);
    [[nodiscard]] bool must_ask_service(base::time_point now) const;
    [[nodiscard]] bool is_on_duty(const membership::view& seen) const;
    void note_service(bool answered, base::time_point now, effects& out);

    /// Downloads.
    void hear(base::vm_id from, base::config_version version);
    void hear_view(const membership::view& seen);
    void consider_download(const membership::view& seen, base::time_point now, effects& out);
    /// How long this VM leaves a newer version to others of its data center first.
    [[nodiscard]] base::milliseconds pull_delay(const membership::view& seen,
                                                base::config_version wanted) const;
    [[nodiscard]] std::optional<base::vm_id> choose_source(const membership::view& seen) const;
    void begin_from(base::vm_id source, base::time_point now, effects& out);
    void source_failed(base::time_point now);
    void take_manifest(rules::manifest manifest, std::string text, base::time_point now,
                       effects& out);
    void ask_parts(effects& out);
    void take_part(const base::digest& digest, std::string content, base::time_point now,
                   effects& out);
    void note_corrupt(std::string detail, base::time_point now, effects& out);
    void finish(base::time_point now, effects& out);
    void accept(std::shared_ptr<const rules::rulebook> book, effects& out);
    void reject(base::config_version version, std::string why, effects& out);
    void announce(const membership::view& seen, effects& out);

    /// Newcomers.
    void notice_wake(const membership::view& seen, base::time_point now, effects& out);
    void consider_ready(const membership::view& seen, base::time_point now, effects& out);
    [[nodiscard]] base::config_version newest_heard() const;
    [[nodiscard]] sender myself() const { return {m_own.self, m_own.process}; }

    settings m_own;
    status m_status;
    std::shared_ptr<const rules::rulebook> m_book;
    rules::manifest m_manifest;
    std::string m_manifest_text;
    /// Contents by digest: of the version in force, the one before it, and the download.
    std::map<base::digest, part> m_parts;
    std::optional<download> m_download;
    base::time_point m_next_download{};
    /// The newest version heard of and not in force, and since when.
    base::config_version m_wanted;
    base::time_point m_wanted_since{};
    std::map<base::config_version, std::string> m_rejected;
    /// The newest version heard of each VM.
    std::map<base::vm_id, base::config_version> m_heard;
    base::config_version m_service_version;

    bool m_call_open = false;
    base::time_point m_next_call;

    bool m_ready = false;
    bool m_woken = false;
    base::time_point m_woke_at{};
    base::time_point m_catching_up_since;
    base::time_point m_next_query;
    std::set<base::vm_id> m_answered;
    bool m_service_answered = false;
    bool m_must_announce = false;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_STORE_HPP
