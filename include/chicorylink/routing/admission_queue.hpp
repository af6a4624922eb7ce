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

/// @brief The weighted token cost of a request for fair queueing.
[[nodiscard]] std::int64_t work_tokens(const request& req);

/// @brief Requests of one pool that wait for a slot.
/// Weighted fair queueing over teams: each team has a virtual time that advances by tokens / weight
/// for each request taken, and the team with the lowest virtual time is next. Within a team, higher
/// priorities go first, then earlier arrivals. A team that was idle starts at most a bounded burst
/// before the queue's virtual time.
class admission_queue {
public:
    explicit admission_queue(queue_limits limits = {});

    /// @brief Adds a request if the limits allow it.
    /// @param weight The team's weight in the rules; at least 1.
    /// @return Why it was not added; `none` if it was added.
    refusal_reason push(request req, std::uint32_t weight, base::time_point now);

    /// @brief The first request at the head of a team that a predicate accepts; null if none.
    /// @param accept Called with the head of each team in turn, the next team first.
    template <class Accept>
    [[nodiscard]] const request* front_if(const Accept& accept) const
    {
        for (const auto& [virtual_start, team] : m_order) {
            const auto& head = head_of(team);
            if (accept(head)) {
                return &head;
            }
        }
        return nullptr;
    }

    /// @brief Takes the next request; none if the queue is empty.
    std::optional<request> pop(base::time_point now);

    /// @brief Takes the head of one team, which must have one.
    request take(base::team_id team, base::time_point now);

    /// @brief Takes up to `limit` requests that a predicate accepts, from any position in the
    /// queue.
    template <class Accept>
    std::vector<request> take_if(const Accept& accept, std::size_t limit)
    {
        std::vector<request> taken;
        for (const auto team : waiting_teams()) {
            take_from_team(team, accept, limit, taken);
        }
        return taken;
    }

    /// @brief Takes all requests that can no longer start before their deadline.
    /// @param needed Time from leaving the queue to the start of the response.
    [[nodiscard]] std::vector<request> take_expired(base::milliseconds needed,
                                                    base::time_point now);

    /// @brief Removes one request, for example when its caller disconnected.
    bool remove(request_id id);

    /// @brief The expected wait of a request of this team if it were added now.
    /// @param fallback_rate Drain rate in tokens per second to use until it has been measured.
    [[nodiscard]] base::milliseconds expected_delay(base::team_id team, std::uint32_t weight,
                                                    double fallback_rate) const;

    /// @brief The mean work of the waiting requests, in tokens; zero if there are none.
    [[nodiscard]] double mean_work() const;

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }
    [[nodiscard]] std::size_t size_of(base::team_id team) const;
    [[nodiscard]] std::size_t teams() const { return m_order.size(); }

private:
    static constexpr std::size_t priority_count = 3;

    struct team_queue {
        std::array<std::deque<request>, priority_count> waiting;
        std::size_t size = 0;
        std::int64_t tokens = 0;
        std::uint32_t weight = 1;
        double virtual_start = 0;
    };

    [[nodiscard]] const request& head_of(base::team_id team) const;
    [[nodiscard]] std::vector<base::team_id> waiting_teams() const;
    void remove_work(base::team_id team, team_queue& entry, std::int64_t amount, std::size_t count);

    template <class Accept>
    void take_from_team(base::team_id team, const Accept& accept, std::size_t limit,
                        std::vector<request>& taken)
    {
        auto& entry = m_teams.at(team);
        std::int64_t work = 0;
        std::size_t count = 0;
        for (auto& lane : entry.waiting) {
            for (auto position = lane.begin(); position != lane.end() && taken.size() < limit;) {
                if (!accept(std::as_const(*position))) {
                    ++position;
                    continue;
                }
                work += work_tokens(*position);
                ++count;
                taken.push_back(std::move(*position));
                position = lane.erase(position);
            }
        }
        if (count > 0) {
            remove_work(team, entry, work, count);
        }
    }

    [[nodiscard]] double virtual_start_of(base::team_id team, std::uint32_t weight) const;
    void update_rate(std::int64_t amount, base::time_point now);

    queue_limits m_limits;
    std::unordered_map<base::team_id, team_queue> m_teams;
    /// Teams with waiting requests, by virtual time.
    std::set<std::pair<double, base::team_id>> m_order;
    /// Virtual times of idle teams that are less than a burst behind the queue's virtual time.
    std::map<base::team_id, double> m_idle_times;
    std::size_t m_size = 0;
    std::int64_t m_tokens = 0;
    std::uint64_t m_weights = 0;
    double m_virtual_time = 0;
    /// Drain rate while requests wait, in tokens per second; zero until measured.
    double m_rate = 0;
    base::time_point m_busy_since{};
    std::int64_t m_taken_tokens = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_ADMISSION_QUEUE_HPP
