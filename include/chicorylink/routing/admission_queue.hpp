#ifndef CHICORYLINK_ROUTING_ADMISSION_QUEUE_HPP
#define CHICORYLINK_ROUTING_ADMISSION_QUEUE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/decision.hpp"
#include "chicorylink/routing/request.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorylink::routing {

/// @brief Bounds of one queue.
struct queue_limits {
    std::size_t total = 4096;
    std::size_t per_team = 1024;
};

/// @brief The tokens by which a request counts in the queue's fairness.
[[nodiscard]] std::int64_t work_tokens(const request& asked);

/// @brief Requests of one pool that wait for a slot.
///
/// Weighted fair over teams by tokens: each team has a virtual time that advances by tokens over
/// weight with each request it is given, and the team with the least virtual time is next. Within a
/// team higher priorities go first, then earlier arrivals. A team that was idle starts a
/// bounded burst before the queue's virtual time.
class admission_queue {
public:
    explicit admission_queue(queue_limits limits = {});

    /// @brief Adds a request when the bounds allow it.
    /// @param weight The team's weight in the rules; at least 1.
    /// @return The reason for which it was not added; `none` when it was.
    refusal_reason push(request waiting, std::uint32_t weight, base::time_point now);

    /// @brief The request that is next among teams that a predicate accepts; null without one.
    /// @param accept Called with the head of each team in turn, the next team first.
    template <class Accept>
    [[nodiscard]] const request* front_if(const Accept& accept) const
    {
        for (const auto& [start, who] : m_order) {
            const auto& head = head_of(who);
            if (accept(head)) {
                return &head;
            }
        }
        return nullptr;
    }

    /// @brief Takes the request that is next; none when the queue is empty.
    std::optional<request> pop(base::time_point now);

    /// @brief Takes the head of one team, which must have one.
    request take(base::team_id who, base::time_point now);

    /// @brief Takes up to `limit` requests that a predicate accepts, from any place in the queue.
    template <class Accept>
    std::vector<request> take_if(const Accept& accept, std::size_t limit)
    {
        std::vector<request> taken;
        for (const auto who : waiting_teams()) {
            take_from_team(who, accept, limit, taken);
        }
        return taken;
    }

    /// @brief Takes all requests that can't begin before their deadline any more.
    /// @param needed The time that a request needs after the queue for its answer to begin.
    [[nodiscard]] std::vector<request> take_expired(base::milliseconds needed,
                                                    base::time_point now);

    /// @brief Takes one request out, such as when its caller went away.
    bool remove(request_id id);

    /// @brief The time that a request of a team would wait if it was added now.
    /// @param fallback_rate Tokens a second that leave the queue, while it was not measured.
    [[nodiscard]] base::milliseconds expected_delay(base::team_id who, std::uint32_t weight,
                                                    double fallback_rate) const;

    /// @brief The mean work of the waiting requests, in tokens; zero when there is none.
    [[nodiscard]] double mean_work() const;

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] std::size_t size_of(base::team_id who) const;
    [[nodiscard]] std::size_t teams() const { return m_order.size(); }

private:
    static constexpr std::size_t priority_count = 3;

    struct team_queue {
        std::array<std::deque<request>, priority_count> waiting;
        std::size_t size = 0;
        std::int64_t tokens = 0;
        std::uint32_t weight = 1;
        double start = 0;
    };

    [[nodiscard]] const request& head_of(base::team_id who) const;
    [[nodiscard]] std::vector<base::team_id> waiting_teams() const;
    void forget_work(base::team_id who, team_queue& entry, std::int64_t amount, std::size_t count);

    template <class Accept>
    void take_from_team(base::team_id who, const Accept& accept, std::size_t limit,
                        std::vector<request>& taken)
    {
        auto& entry = m_teams.at(who);
        std::int64_t work = 0;
        std::size_t count = 0;
        for (auto& lane : entry.waiting) {
            for (auto place = lane.begin(); place != lane.end() && taken.size() < limit;) {
                if (!accept(std::as_const(*place))) {
                    ++place;
                    continue;
                }
                work += work_tokens(*place);
                ++count;
                taken.push_back(std::move(*place));
                place = lane.erase(place);
            }
        }
        if (count > 0) {
            forget_work(who, entry, work, count);
        }
    }

    [[nodiscard]] double start_of(base::team_id who, std::uint32_t weight) const;
    void measure(std::int64_t amount, base::time_point now);

    queue_limits m_limits;
    std::unordered_map<base::team_id, team_queue> m_teams;
    /// Teams with waiting requests, by virtual time.
    std::set<std::pair<double, base::team_id>> m_order;
    /// Virtual times of teams that became idle, kept while they are ahead of the queue's.
    std::map<base::team_id, double> m_ahead;
    std::size_t m_size = 0;
    std::int64_t m_tokens = 0;
    std::uint64_t m_weights = 0;
    double m_virtual_time = 0;
    /// Tokens a second that leave the queue while it holds requests; zero before it is known.
    double m_rate = 0;
    base::time_point m_busy_since{};
    std::int64_t m_taken_tokens = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_ADMISSION_QUEUE_HPP
