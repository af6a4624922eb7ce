#ifndef CHICORYLINK_BUDGET_TESTING_FLEET_HPP
#define CHICORYLINK_BUDGET_TESTING_FLEET_HPP

#include "chicorylink/budget/codec.hpp"
#include "chicorylink/budget/engine.hpp"
#include "chicorylink/budget/testing/checker.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chicorylink::budget::testing {

/// @brief True time of the fake fleet.
using instant = std::chrono::nanoseconds;

struct fleet_options {
    std::uint64_t seed = 1;
    settings terms;
    instant local_delay = std::chrono::milliseconds(1);
    instant remote_delay = std::chrono::milliseconds(55);
    /// Of a thousand messages.
    int dropped = 0;
    int doubled = 0;
    int delayed = 0;
    instant longest_extra_delay = std::chrono::seconds(20);
    /// How long a permission of the fake membership lasts.
    instant fence_term = std::chrono::seconds(8);
    instant longest_list_lag = std::chrono::seconds(3);
    /// Whether all messages go through their bytes, which are counted.
    bool encode = true;
};

/// @brief What a caller sends.
struct request {
    base::team_id team;
    std::int64_t upper_bound = 0;
    std::int64_t actual = 0;
    instant duration{};
    /// Called with whether it was admitted.
    std::function<void(bool)> done;
};

/// @brief Budget engines in virtual time, with fakes of the messages, of the platform's list and
/// of membership. The fake membership knows the truth and keeps the contract of the real one: a
/// process that some VM sees as gone can't spend any more.
class fleet {
public:
    explicit fleet(fleet_options options) : m_options(options), m_random(options.seed) {}

    std::size_t add_vm(base::region_id region, double clock_rate = 1.0)
    {
        auto& made = m_nodes.emplace_back(std::make_unique<node>());
        made->index = m_nodes.size() - 1;
        made->id = base::id_of<base::vm_id>("vm-" + std::to_string(made->index));
        made->address = "address-" + std::to_string(made->index);
        made->region = region;
        made->clock_rate = clock_rate;
        made->lag = instant{static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(m_options.longest_list_lag.count() + 1))};
        m_by_id[made->id] = made->index;
        start(*made);
        set_listed(made->index, true);
        return made->index;
    }

    void crash(std::size_t vm) { m_nodes[vm]->running = false; }

    /// @brief A new process at the same address: proves that the old one ended.
    void restart(std::size_t vm)
    {
        m_nodes[vm]->paused = false;
        start(*m_nodes[vm]);
        set_listed(vm, true);
    }
    void pause(std::size_t vm) { m_nodes[vm]->paused = true; }
    void resume(std::size_t vm)
    {
        m_nodes[vm]->paused = false;
        for (auto& late : std::exchange(m_nodes[vm]->held_back, {})) {
            late();
        }
    }
    void set_listed(std::size_t vm, bool listed)
    {
        if (listed == m_nodes[vm]->listed) {
            return;
        }
        m_nodes[vm]->listed = listed;
        m_list_changes.push_back({m_now, vm, listed});
    }
    void set_leaving(std::size_t vm)
    {
        m_nodes[vm]->leaving = true;
        act(*m_nodes[vm], [this](node& on) { return on.core->drain(local_time(on)); });
    }
    void cut_from_platform(std::size_t vm, bool cut) { m_nodes[vm]->platform_cut = cut; }
    /// @brief Parts two VMs, or heals the part.
    void part(std::size_t a, std::size_t b, bool parted)
    {
        for (const auto& pair : {std::pair{a, b}, std::pair{b, a}}) {
            parted ? (void)m_parts.insert(pair) : (void)m_parts.erase(pair);
        }
    }
    /// @brief Publishes rules; each VM gets them within the longest delay given.
    void publish(const std::shared_ptr<const rules::rulebook>& book, instant longest_delay = {})
    {
        m_book = book;
        for (auto& each : m_nodes) {
            const auto delay =
                instant{longest_delay.count() == 0
                            ? 0
                            : static_cast<std::int64_t>(m_random()) % longest_delay.count()};
            deliver_rules(*each, book, m_now + instant{std::abs(delay.count())});
        }
    }
    void at(instant when, std::function<void()> what)
    {
        m_events.push({std::max(when, m_now), m_next_event++, std::move(what)});
    }

    void submit(std::size_t vm, request what)
    {
        auto& on = *m_nodes[vm];
        if (!on.running || on.paused) {
            finish(what, false);
            return;
        }
        attempt(on, {std::move(what), local_time(on), on.process, 0});
    }

    void run_until(instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            auto next = std::move(const_cast<event&>(m_events.top()));
            m_events.pop();
            m_now = next.when;
            next.what();
        }
        m_now = end;
    }
    void run_for(instant duration) { run_until(m_now + duration); }

    [[nodiscard]] instant now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] engine& at_vm(std::size_t vm) { return *m_nodes[vm]->core; }
    [[nodiscard]] base::vm_id id_of(std::size_t vm) const { return m_nodes[vm]->id; }
    [[nodiscard]] std::size_t index_of(base::vm_id id) const { return m_by_id.at(id); }
    [[nodiscard]] bool usable(std::size_t vm) const
    {
        return m_nodes[vm]->running && !m_nodes[vm]->paused;
    }
    [[nodiscard]] base::time_point clock_of(std::size_t vm) const
    {
        return local_time(*m_nodes[vm]);
    }
    [[nodiscard]] membership::view view_of(std::size_t vm) { return look(*m_nodes[vm]); }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }
    [[nodiscard]] const std::vector<admitted>& admissions(base::team_id team)
    {
        return m_admitted[team];
    }
    [[nodiscard]] std::uint64_t message_count() const { return m_messages; }
    [[nodiscard]] std::uint64_t byte_count() const { return m_bytes; }

private:
    struct waiting_request {
        request what;
        base::time_point first_asked;
        base::incarnation process;
        std::uint64_t number = 0;
    };

    struct node {
        std::size_t index = 0;
        base::vm_id id;
        std::string address;
        base::region_id region;
        double clock_rate = 1.0;
        instant lag{};
        bool running = false;
        bool paused = false;
        bool listed = false;
        bool leaving = false;
        bool platform_cut = false;
        base::incarnation process;
        instant permitted_until{};
        instant list_as_of{};
        std::unique_ptr<engine> core;
        std::map<base::team_id, std::vector<waiting_request>> waiting;
        std::vector<std::function<void()>> held_back;
    };

    struct list_change {
        instant when;
        std::size_t vm;
        bool listed;
    };

    struct event {
        instant when;
        std::uint64_t number;
        std::function<void()> what;
        friend bool operator<(const event& left, const event& right)
        {
            return std::pair{left.when, left.number} > std::pair{right.when, right.number};
        }
    };

    [[nodiscard]] base::time_point local_time(const node& on) const
    {
        constexpr std::int64_t first_offset = 1'000'000'000'000;
        const auto ticks = static_cast<double>(m_now.count()) * on.clock_rate;
        return base::time_point{
            base::nanoseconds{first_offset * static_cast<std::int64_t>(on.index + 1) +
                              static_cast<std::int64_t>(ticks)}};
    }

    void start(node& on)
    {
        on.running = true;
        on.leaving = false;
        on.process = base::incarnation{++m_next_process};
        on.permitted_until = m_now;
        on.waiting.clear();
        on.held_back.clear();
        on.core = std::make_unique<engine>(identity{on.id, on.region, on.process}, m_options.terms,
                                           local_time(on));
        if (m_book) {
            deliver_rules(on, m_book, m_now);
        }
        schedule_tick(on, on.process, m_now + random_part(std::chrono::milliseconds(100)));
        schedule_view(on, on.process, m_now);
    }

    instant random_part(instant whole)
    {
        return instant{static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, whole.count())))};
    }

    void deliver_rules(node& on, std::shared_ptr<const rules::rulebook> book, instant when)
    {
        at(when, [this, &on, book] {
            if (on.running) {
                when_awake(on, on.process, [this, &on, book] {
                    act(on,
                        [&](node& here) { return here.core->on_rules(book, local_time(here)); });
                });
            }
        });
    }

    void schedule_tick(node& on, base::incarnation process, instant when)
    {
        at(when, [this, &on, process] {
            if (!on.running || on.process != process) {
                return;
            }
            if (!on.paused) {
                act(on, [this](node& here) { return here.core->tick(local_time(here)); });
            }
            schedule_tick(on, process, m_now + std::chrono::milliseconds(100));
        });
    }

    void schedule_view(node& on, base::incarnation process, instant when)
    {
        at(when, [this, &on, process] {
            if (!on.running || on.process != process) {
                return;
            }
            if (!on.paused) {
                renew(on);
                const auto seen = look(on);
                act(on, [&](node& here) { return here.core->on_view(seen, local_time(here)); });
            }
            schedule_view(on, process, m_now + std::chrono::milliseconds(500));
        });
    }

    /// The permission lasts for a term after a list that shows this VM, or while every process of
    /// the region that could take over is reached.
    void renew(node& on)
    {
        if (!on.platform_cut) {
            on.list_as_of = std::max(on.list_as_of, m_now - on.lag);
        }
        const bool list_shows_it = !on.platform_cut && listed_at(on.index, m_now - on.lag);
        bool all_reached = true;
        for (const auto& other : m_nodes) {
            const bool matters = other->region == on.region && other->index != on.index &&
                                 other->running && other->listed;
            all_reached = all_reached && (!matters || (!parted(on, *other) && !other->paused));
        }
        instant until{};
        if (list_shows_it) {
            until = m_now - on.lag + m_options.fence_term;
        }
        if (on.platform_cut && all_reached && on.listed) {
            until = std::max(until, m_now + m_options.fence_term / 4);
        }
        on.permitted_until = std::max(on.permitted_until, until);
    }

    [[nodiscard]] bool listed_at(std::size_t vm, instant when) const
    {
        bool listed = false;
        for (const auto& each : m_list_changes) {
            if (each.vm == vm && each.when <= when) {
                listed = each.listed;
            }
        }
        return listed;
    }

    [[nodiscard]] membership::view look(const node& on) const
    {
        membership::view seen;
        seen.self = on.id;
        seen.member_until = local_time(on) + std::chrono::duration_cast<base::nanoseconds>(
                                                 (on.permitted_until - m_now) * 99 / 100);
        seen.list_is_fresh = m_now - on.list_as_of <= m_options.longest_list_lag * 2;
        for (const auto& each : m_nodes) {
            const bool fenced = m_now > each->permitted_until;
            const bool in_list = each->index == on.index || listed_at(each->index, on.list_as_of);
            const bool ever_listed = in_list || known_before(each->index, on.list_as_of);
            if (!ever_listed) {
                continue;
            }
            membership::member entry;
            entry.id = each->id;
            entry.region = each->region;
            entry.peer_address = each->address;
            entry.process = each->process;
            entry.state = membership::member_state::live;
            if (!in_list) {
                const bool gone = seen.list_is_fresh && fenced;
                entry.state =
                    gone ? membership::member_state::gone : membership::member_state::suspect;
            }
            else if (!each->running || each->paused || parted(on, *each)) {
                entry.state = membership::member_state::suspect;
            }
            else if (each->leaving) {
                entry.state = membership::member_state::leaving;
            }
            seen.members.push_back(entry);
        }
        return seen;
    }

    [[nodiscard]] bool known_before(std::size_t vm, instant when) const
    {
        return std::ranges::any_of(m_list_changes, [&](const list_change& each) {
            return each.vm == vm && each.when <= when;
        });
    }

    [[nodiscard]] bool parted(const node& a, const node& b) const
    {
        return m_parts.contains({a.index, b.index});
    }

    template <class Action>
    void act(node& on, Action action)
    {
        carry_out(on, action(on));
    }

    void carry_out(node& on, effects result)
    {
        for (auto& each : result.messages) {
            send(on, std::move(each));
        }
        for (const auto team : result.ready) {
            auto waiting = std::exchange(on.waiting[team], {});
            for (auto& each : waiting) {
                attempt(on, std::move(each));
            }
        }
    }

    void send(node& from, outgoing what)
    {
        const auto to = m_by_id.find(what.to);
        if (to == m_by_id.end()) {
            return;
        }
        ++m_messages;
        if (m_options.encode) {
            const auto bytes = encode(what.body);
            m_bytes += bytes.size();
            what.body = decode(bytes).value();
        }
        auto& target = *m_nodes[to->second];
        const auto delay =
            from.region == target.region ? m_options.local_delay : m_options.remote_delay;
        const auto copies = chance(m_options.dropped) ? 0 : chance(m_options.doubled) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto extra =
                chance(m_options.delayed) ? random_part(m_options.longest_extra_delay) : instant{};
            at(m_now + delay + extra, [this, &from, &target, process = from.process,
                                       body = what.body] {
                if (target.running && !parted(from, target)) {
                    when_awake(target, target.process, [this, &from, &target, process, body] {
                        act(target, [&](node& here) {
                            return here.core->on_message(from.id, process, body, local_time(here));
                        });
                    });
                }
            });
        }
    }

    bool chance(int per_mille)
    {
        return per_mille > 0 && static_cast<int>(m_random() % 1000) < per_mille;
    }

    void when_awake(node& on, base::incarnation process, std::function<void()> what)
    {
        auto guarded = [&on, process, what = std::move(what)] {
            if (on.running && on.process == process) {
                what();
            }
        };
        if (on.paused) {
            on.held_back.push_back(guarded);
            return;
        }
        guarded();
    }

    void attempt(node& on, waiting_request what)
    {
        if (!on.running || on.process != what.process) {
            finish(what.what, false);
            return;
        }
        effects result;
        const ask wanted{what.what.team, base::tokens{what.what.upper_bound}, what.first_asked};
        const auto now = local_time(on);
        const auto verdict = on.core->reserve(wanted, now, result);
        if (const auto* yes = std::get_if<granted>(&verdict)) {
            admit(on, what.what, yes->id);
        }
        else if (const auto* wait = std::get_if<wait_for_loan>(&verdict)) {
            const auto left = std::max(wait->until - now, base::nanoseconds{0});
            what.number = ++m_next_waiting;
            const auto number = what.number;
            const auto team = what.what.team;
            on.waiting[team].push_back(std::move(what));
            at(m_now + left * 101 / 100, [this, &on, team, number] {
                auto& queue = on.waiting[team];
                const auto found = std::ranges::find(queue, number, &waiting_request::number);
                if (found != queue.end()) {
                    auto late = std::move(*found);
                    queue.erase(found);
                    attempt(on, std::move(late));
                }
            });
        }
        else {
            finish(what.what, false);
        }
        carry_out(on, std::move(result));
    }

    void admit(node& on, const request& what, reservation_id id)
    {
        auto& events = m_admitted[what.team];
        events.push_back(
            {std::chrono::duration<double>(m_now).count(), static_cast<double>(what.upper_bound)});
        const auto entry = events.size() - 1;
        finish(what, true);
        at(m_now + what.duration, [this, &on, what, id, entry, process = on.process] {
            if (!on.running || on.process != process) {
                return;
            }
            when_awake(on, process, [this, &on, what, id, entry] {
                m_admitted[what.team][entry].tokens = static_cast<double>(what.actual);
                (void)on.core->settle(id, base::tokens{what.actual}, local_time(on));
            });
        });
    }

    static void finish(const request& what, bool yes)
    {
        if (what.done) {
            what.done(yes);
        }
    }

    fleet_options m_options;
    std::mt19937_64 m_random;
    instant m_now{};
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<base::vm_id, std::size_t> m_by_id;
    std::vector<list_change> m_list_changes;
    std::set<std::pair<std::size_t, std::size_t>> m_parts;
    std::priority_queue<event> m_events;
    std::uint64_t m_next_event = 0;
    std::uint64_t m_next_process = 0;
    std::uint64_t m_next_waiting = 0;
    std::shared_ptr<const rules::rulebook> m_book;
    std::map<base::team_id, std::vector<admitted>> m_admitted;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace chicorylink::budget::testing

#endif // CHICORYLINK_BUDGET_TESTING_FLEET_HPP
