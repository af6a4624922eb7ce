#ifndef CHICORYLINK_FRONT_STREAM_VERSIONS_HPP
#define CHICORYLINK_FRONT_STREAM_VERSIONS_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/placement_message.hpp"
#include "chicorylink/fleet/stream_origins.hpp"
#include "chicorylink/fleet/version_history.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::front {

struct front_core;

/// @brief The software version that began a stream, as far as it is known.
struct known_version {
    std::optional<fleet::version_hash> version;
    /// How it is known, for the log.
    std::string_view known_by;
};

/// @brief Knows or finds out which software version began a stream.
///
/// The VM that passes the first event of a stream to its caller records the version and tells it to
/// some VMs of its region. A VM that doesn't know a stream asks these, and last relies on the
/// published state: a service that has had a single version for long enough.
class stream_versions {
public:
    using handler = std::function<void(const known_version&)>;

    explicit stream_versions(front_core& core) : m_core(core) {}

    /// @brief Records the version that began a stream and tells other VMs.
    /// @param stays How long a caller may take the stream up.
    void record(fleet::stream_hash stream, fleet::version_hash version, base::milliseconds stays,
                base::time_point now);

    /// @brief Finds the version of a stream that a caller takes up. The handler may be called
    /// before this function returns.
    void find(fleet::stream_hash stream, const fleet::service_name& service, handler on_found,
              base::time_point now);

    /// @brief Handles what another VM of the region sent.
    void receive(const fleet::placement_message& message, const std::string& sender,
                 base::time_point now);

    /// @brief Sends what was recorded, and decides about streams that no VM knows.
    void tick(base::time_point now);

    /// @brief The text of a version, for the log.
    [[nodiscard]] std::string text_of(const fleet::service_name& service,
                                      fleet::version_hash version) const
    {
        return m_history.text_of(service, version);
    }

private:
    struct search {
        fleet::stream_hash stream;
        fleet::service_name service;
        base::time_point begun_at{};
        /// The VMs that were asked and have not answered.
        std::set<std::string> asked;
        bool is_repeated = false;
        handler on_found;
    };
    struct outgoing_origins {
        std::vector<fleet::stream_origin> unsent;
        /// Origins of the last message, which are sent a second time.
        std::vector<fleet::stream_origin> to_resend;
    };

    void ask(std::uint64_t number, const search& asking);
    void send_origins();
    void note_state(base::time_point now);
    /// @brief The version of the stream by the published state.
    [[nodiscard]] std::optional<fleet::version_hash> proved_version(const search& pending,
                                                                    base::time_point now) const;
    /// @brief What is known of a search by now; none if it goes on.
    [[nodiscard]] std::optional<known_version> decide(const search& pending,
                                                      base::time_point now) const;

    front_core& m_core;
    fleet::stream_origins m_origins;
    fleet::version_history m_history;
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, search> m_searches;
    std::map<std::string, outgoing_origins> m_outgoing;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_STREAM_VERSIONS_HPP
