#ifndef CHICORYLINK_FLEET_STORE_CONTACT_HPP
#define CHICORYLINK_FLEET_STORE_CONTACT_HPP

#include "chicorylink/base/units.hpp"

#include <optional>

namespace chicorylink::fleet {

/// @brief A time during which the store answered without an outage.
struct contact_span {
    base::time_point since;
    base::time_point until;
};

/// @brief What another VM says of its contact with the store.
struct contact_report {
    contact_span span;
    /// Whether that VM is in the same region.
    bool is_local = false;
};

/// @brief Tells outages of the store from times in which this VM alone had no contact.
///
/// Few VMs read the store, and some of them rarely. So VMs tell each other since when and until
/// when they know the store to answer, and the span of another VM closes a gap of this one. A VM of
/// another region can't tell whether this region reached the store as well, so its span closes no
/// gap with a failed read by a VM of this region.
class store_contact {
public:
    /// Longest pause between two signs of contact that is no outage.
    static constexpr base::milliseconds outage_threshold{1500};

    /// @brief A pause between two spans that may have been an outage.
    struct gap {
        base::time_point lost_at;
        base::time_point regained_at;
    };

    /// @brief Records that the store answered a VM of this region during a span.
    /// @param span Only its beginning counts if it ends before.
    void note(const contact_span& span);

    /// @brief Records that the store answered another VM.
    void note(const contact_report& reported);

    /// @brief Records a failed read of the store by a VM of this region.
    void note_failure(base::time_point at);

    /// @brief The latest span without an outage; none before the first contact.
    [[nodiscard]] const std::optional<contact_span>& span() const { return m_span; }

    /// @brief The latest outage, unless another VM had contact meanwhile.
    [[nodiscard]] const std::optional<gap>& outage() const { return m_outage; }

private:
    std::optional<contact_span> m_span;
    std::optional<gap> m_outage;
    /// Time of the latest failed read.
    std::optional<base::time_point> m_failed_at;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STORE_CONTACT_HPP
