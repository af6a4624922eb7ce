#ifndef CHICORYLINK_FLEET_REGION_CHOICE_HPP
#define CHICORYLINK_FLEET_REGION_CHOICE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/region_digest.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace chicorylink::fleet {

/// @brief What is known of a service in another region.
struct remote_region {
    region_name region;
    /// How long work waits there, this VM's own recent sends included.
    base::milliseconds wait{0};
    base::milliseconds round_trip{0};
    std::uint32_t usable_targets = 0;
};

/// @brief What a request needs, for the choice of a region.
struct region_request {
    bool is_engine = false;
    /// Prompt tokens that another region would have to read.
    std::uint32_t prompt_tokens = 0;
    /// Those of them that this region's targets may hold and another's may not.
    std::uint32_t shared_tokens = 0;
    /// Of the prompt's session; its requests go to the same region when they may.
    std::uint64_t session = 0;
    base::milliseconds latency_objective{0};
    base::milliseconds time_left{0};
    /// Whether the caller was refused before and came back.
    bool is_return = false;
    region_name own_region;
    /// Targets of this region that could serve it.
    std::uint32_t own_targets = 0;
    /// Whether another region refused it or failed: it is not sent away for its parts' sake again.
    bool was_sent_away = false;
};

enum class place_kind { here, elsewhere, nowhere };

/// @brief Where a request goes.
struct place {
    place_kind kind = place_kind::nowhere;
    region_name region;
    /// To another region.
    base::milliseconds round_trip{0};
    /// The expected wait there, or the shortest wait anywhere when it goes nowhere.
    base::milliseconds wait{0};
    /// In another region: when it should begin, and the prompt tokens that have to be read.
    base::milliseconds start{0};
    std::uint32_t tokens = 0;
};

/// @brief Chooses between this region, others and none.
///
/// Each session has a region of its own, by rendezvous hash weighted by the regions' targets. A
/// request whose shared parts take longer to read than the way to that region goes there, unless
/// this region holds them too or that region is loaded: otherwise each region reads the parts of
/// all sessions, and at its peak a region has only its own targets.
/// @param here The best target of this region; none when it has none or is not allowed.
/// @param others Regions that the request may go to.
[[nodiscard]] place choose_place(const std::optional<placement_choice>& here,
                                 const std::vector<remote_region>& others,
                                 const region_request& request);

/// @brief Up to where a request stays in its region.
struct stay_limits {
    base::milliseconds wait{0};
    /// The longest when no other region is better.
    base::milliseconds start{0};
    /// Shared prompt tokens that may be read here though the session's own region holds them.
    std::uint32_t reread_tokens = std::numeric_limits<std::uint32_t>::max();
};
[[nodiscard]] stay_limits limits_here(const std::vector<remote_region>& others,
                                      const region_request& request);

/// @brief The wait above which a request is refused at once.
///
/// Short of capacity, a caller that came back as it was told goes before one that comes for the
/// first time.
[[nodiscard]] base::milliseconds longest_wait(const region_request& request);

/// @brief Prompt tokens that this VM sent to other regions since their last news.
class remote_sends {
public:
    void note(const region_name& region, const service_name& service, std::uint32_t tokens,
              base::time_point now);

    /// @brief What this VM sent within the last interval of news.
    [[nodiscard]] std::uint64_t recent_tokens(const region_name& region,
                                              const service_name& service,
                                              base::time_point now) const;

private:
    struct sent {
        base::time_point at{};
        std::uint32_t tokens = 0;
    };
    std::map<std::pair<region_name, service_name>, std::vector<sent>> m_sent;
};

/// @brief The newest digest of each other region.
class region_news {
public:
    /// News that is older says nothing of the present load.
    static constexpr base::milliseconds news_bound{2500};

    /// @brief Takes a digest over unless a newer one of its region is known.
    void note(const region_digest& digest, base::time_point now);

    /// @brief Whether there is recent news of a region.
    [[nodiscard]] bool knows(const region_name& region, base::time_point now) const;

    /// @brief All digests that are recent enough, with their present age.
    [[nodiscard]] std::vector<region_digest> recent(base::time_point now) const;

private:
    struct entry {
        region_digest digest;
        base::time_point made_at{};
    };
    std::map<region_name, entry> m_entries;
};

/// @brief What is assumed of a region that VMs are known in and nothing else.
[[nodiscard]] remote_region region_without_news(const region_name& region);

/// @brief The other regions where a service has usable targets.
[[nodiscard]] std::vector<remote_region> remote_regions(const region_news& news,
                                                        const service_name& service,
                                                        const remote_sends& sends,
                                                        base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_REGION_CHOICE_HPP
