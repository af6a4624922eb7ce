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

/// @brief True time of the simulated fleet.
using instant = std::chrono::nanoseconds;

struct fleet_options {
    std::uint64_t seed = 1;
    settings budget_settings;
    instant local_delay = std::chrono::milliseconds(1);
    instant remote_delay = std::chrono::milliseconds(55);
    /// Per thousand messages.
    int dropped = 0;
    int doubled = 0;
    int delayed = 0;
    instant max_extra_delay = std::chrono::seconds(20);
    /// How long the simulated membership permits a VM to spend.
    instant fence_term = std::chrono::seconds(8);
    instant max_list_lag = std::chrono::seconds(3);
    /// Whether messages are encoded and decoded, and their bytes counted.
    bool encode = true;
};

/// @brief A caller's request.
struct request {
    base::team_id team;
    std::int64_t upper_bound = 0;
    std::int64_t actual = 0;
    instant duration{};
    /// Called with whether it was admitted.
    std::function<void(bool)> done;
};

/// @brief Simulates budget engines in virtual time with a fake network, platform list and
/// membership. The fake membership knows the true state and keeps the contract of the real one: a
/// process that some VM sees as gone cannot spend any more.
class fleet {
public:
    explicit fleet(fleet_options options) : m_options(options), m_random(options.seed) {}

    std::size_t add_vm(base::region_id region, double clock_rate = 1.0)
    {
        auto& added = m_nodes.emplace_back(std::make_unique<node>());
        added->index = m_nodes.size() - 1;
        added->id = base::id_of<base::vm_id>("vm-" + std::to_string(added->index));
        added->address = "address-" + std::to_string(added->index);
        added->region = region;
        added->clock_rate = clock_rate;
        added->lag = instant{static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(m_options.max_list_lag.count() + 1))};
        m_by_id[added->id] = added->index;
        start(*added);
        set_listed(added->index, true);
        return added->index;
    }

    void crash(std::size_t vm) { m_nodes[vm]->running = false; }

    /// @brief Starts a new process at the same address, which proves that the old one ended.
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
        for (auto& late : std::exchange(m_nodes[vm]->deferred, {})) {
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
        run_on(*m_nodes[vm],
               [this](node& vm_node) { return vm_node.core->drain(local_time(vm_node)); });
    }
    void set_platform_unreachable(std::size_t vm, bool unreachable)
    {
        m_nodes[vm]->platform_unreachable = unreachable;
    }
    /// @brief Partitions two VMs from each other, or ends their partition.
    void set_partitioned(std::size_t a, std::size_t b, bool partitioned)
    {
        for (const auto& pair : {std::pair{a, b}, std::pair{b, a}}) {
            partitioned ? (void)m_partitions.insert(pair) : (void)m_partitions.erase(pair);
        }
    }
    /// @brief Publishes rules; each VM receives them after a random delay of at most the given one.
    void publish(const std::shared_ptr<const rules::rulebook>& book, instant max_delay = {})
    {
        m_book = book;
        for (auto& each : m_nodes) {
            const auto delay = instant{
                max_delay.count() == 0 ? 0
                                       : static_cast<std::int64_t>(m_random()) % max_delay.count()};
            deliver_rules(*each, book, m_now + instant{std::abs(delay.count())});
        }
    }
    void at(instant when, std::function<void()> task)
    {
        m_events.push({std::max(when, m_now), m_next_event++, std::move(task)});
    }

    void submit(std::size_t vm, request call)
    {
        auto& vm_node = *m_nodes[vm];
        if (!vm_node.running || vm_node.paused) {
            finish(call, false);
            return;
        }
        attempt(vm_node, {std::move(call), local_time(vm_node), vm_node.process, 0});
    }

    void run_until(instant end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            auto next = std::move(const_cast<event&>(m_events.top()));
            m_events.pop();
            m_now = next.when;
            next.task();
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
    [[nodiscard]] membership::view view_of(std::size_t vm) { return view_for(*m_nodes[vm]); }
    [[nodiscard]] std::mt19937_64& random() { return m_random; }
    [[nodiscard]] const std::vector<admitted>& admissions(base::team_id team)
    {
        return m_admitted[team];
    }
    [[nodiscard]] std::uint64_t message_count() const { return m_messages; }
    [[nodiscard]] std::uint64_t byte_count() const { return m_bytes; }

private:
    struct waiting_request {
        request call;
        base::time_point first_requested_at;
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
        bool platform_unreachable = false;
        base::incarnation process;
        instant permitted_until{};
        instant list_as_of{};
        std::unique_ptr<engine> core;
        std::map<base::team_id, std::vector<waiting_request>> waiting;
        std::vector<std::function<void()>> deferred;
    };

    struct list_change {
        instant when;
        std::size_t vm;
        bool listed;
    };

    struct event {
        instant when;
        std::uint64_t number;
        std::function<void()> task;
        friend bool operator<(const event& left, const event& right)
        {
            return std::pair{left.when, left.number} > std::pair{right.when, right.number};
        }
    };

    [[nodiscard]] base::time_point local_time(const node& vm_node) const
    {
        constexpr std::int64_t first_offset = 1'000'000'000'000;
        const auto ticks = static_cast<double>(m_now.count()) * vm_node.clock_rate;
        return base::time_point{
            base::nanoseconds{first_offset * static_cast<std::int64_t>(vm_node.index + 1) +
                              static_cast<std::int64_t>(ticks)}};
    }

    void start(node& vm_node)
    {
        vm_node.running = true;
        vm_node.leaving = false;
        vm_node.process = base::incarnation{++m_next_process};
        vm_node.permitted_until = m_now;
        vm_node.waiting.clear();
        vm_node.deferred.clear();
        vm_node.core =
            std::make_unique<engine>(identity{vm_node.id, vm_node.region, vm_node.process},
                                     m_options.budget_settings, local_time(vm_node));
        if (m_book) {
            deliver_rules(vm_node, m_book, m_now);
        }
        schedule_tick(vm_node, vm_node.process,
                      m_now + random_part(std::chrono::milliseconds(100)));
        schedule_view(vm_node, vm_node.process, m_now);
    }

    instant random_part(instant limit)
    {
        return instant{static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, limit.count())))};
    }

    void deliver_rules(node& vm_node, std::shared_ptr<const rules::rulebook> book, instant when)
    {
        at(when, [this, &vm_node, book] {
            if (vm_node.running) {
                run_when_awake(vm_node, vm_node.process, [this, &vm_node, book] {
                    run_on(vm_node,
                           [&](node& here) { return here.core->on_rules(book, local_time(here)); });
                });
            }
        });
    }

    void schedule_tick(node& vm_node, base::incarnation process, instant when)
    {
        at(when, [this, &vm_node, process] {
            if (!vm_node.running || vm_node.process != process) {
                return;
            }
            if (!vm_node.paused) {
                run_on(vm_node, [this](node& here) { return here.core->tick(local_time(here)); });
            }
            schedule_tick(vm_node, process, m_now + std::chrono::milliseconds(100));
        });
    }

    void schedule_view(node& vm_node, base::incarnation process, instant when)
    {
        at(when, [this, &vm_node, process] {
            if (!vm_node.running || vm_node.process != process) {
                return;
            }
            if (!vm_node.paused) {
                renew(vm_node);
                const auto member_list = view_for(vm_node);
                run_on(vm_node, [&](node& here) {
                    return here.core->on_view(member_list, local_time(here));
                });
            }
            schedule_view(vm_node, process, m_now + std::chrono::milliseconds(500));
        });
    }

    /// The permission lasts for a term after a list that shows this VM, or while every process of
    /// the region that could take over its slots is reachable.
    void renew(node& vm_node)
    {
        if (!vm_node.platform_unreachable) {
            vm_node.list_as_of = std::max(vm_node.list_as_of, m_now - vm_node.lag);
        }
        const bool list_shows_it =
            !vm_node.platform_unreachable && listed_at(vm_node.index, m_now - vm_node.lag);
        bool all_reached = true;
        for (const auto& other : m_nodes) {
            const bool can_take_over = other->region == vm_node.region &&
                                       other->index != vm_node.index && other->running &&
                                       other->listed;
            all_reached = all_reached &&
                          (!can_take_over || (!partitioned(vm_node, *other) && !other->paused));
        }
        instant until{};
        if (list_shows_it) {
            until = m_now - vm_node.lag + m_options.fence_term;
        }
        if (vm_node.platform_unreachable && all_reached && vm_node.listed) {
            until = std::max(until, m_now + m_options.fence_term / 4);
        }
        vm_node.permitted_until = std::max(vm_node.permitted_until, until);
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

    [[nodiscard]] membership::view view_for(const node& vm_node) const
    {
        membership::view member_list;
        member_list.self = vm_node.id;
        member_list.member_until =
            local_time(vm_node) + std::chrono::duration_cast<base::nanoseconds>(
                                      (vm_node.permitted_until - m_now) * 99 / 100);
        member_list.list_is_fresh = m_now - vm_node.list_as_of <= m_options.max_list_lag * 2;
        for (const auto& each : m_nodes) {
            const bool fenced = m_now > each->permitted_until;
            const bool in_list =
                each->index == vm_node.index || listed_at(each->index, vm_node.list_as_of);
            const bool ever_listed = in_list || known_before(each->index, vm_node.list_as_of);
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
                const bool gone = member_list.list_is_fresh && fenced;
                entry.state =
                    gone ? membership::member_state::gone : membership::member_state::suspect;
            }
            else if (!each->running || each->paused || partitioned(vm_node, *each)) {
                entry.state = membership::member_state::suspect;
            }
            else if (each->leaving) {
                entry.state = membership::member_state::leaving;
            }
            member_list.members.push_back(entry);
        }
        return member_list;
    }

    [[nodiscard]] bool known_before(std::size_t vm, instant when) const
    {
        return std::ranges::any_of(m_list_changes, [&](const list_change& each) {
            return each.vm == vm && each.when <= when;
        });
    }

    [[nodiscard]] bool partitioned(const node& a, const node& b) const
    {
        return m_partitions.contains({a.index, b.index});
    }

    template <class Action>
    void run_on(node& vm_node, Action action)
    {
        perform(vm_node, action(vm_node));
    }

    void perform(node& vm_node, effects result)
    {
        for (auto& each : result.messages) {
            send(vm_node, std::move(each));
        }
        for (const auto team : result.ready) {
            auto waiting = std::exchange(vm_node.waiting[team], {});
            for (auto& each : waiting) {
                attempt(vm_node, std::move(each));
            }
        }
    }

    void send(node& from, outgoing sent)
    {
        const auto to = m_by_id.find(sent.to);
        if (to == m_by_id.end()) {
            return;
        }
        ++m_messages;
        if (m_options.encode) {
            const auto bytes = encode(sent.body);
            m_bytes += bytes.size();
            sent.body = decode(bytes).value();
        }
        auto& target = *m_nodes[to->second];
        const auto delay =
            from.region == target.region ? m_options.local_delay : m_options.remote_delay;
        const auto copies = chance(m_options.dropped) ? 0 : chance(m_options.doubled) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto extra =
                chance(m_options.delayed) ? random_part(m_options.max_extra_delay) : instant{};
            at(m_now + delay + extra, [this, &from, &target, process = from.process,
                                       body = sent.body] {
                if (target.running && !partitioned(from, target)) {
                    run_when_awake(target, target.process, [this, &from, &target, process, body] {
                        run_on(target, [&](node& here) {
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

    void run_when_awake(node& vm_node, base::incarnation process, std::function<void()> task)
    {
        auto guarded = [&vm_node, process, task = std::move(task)] {
            if (vm_node.running && vm_node.process == process) {
                task();
            }
        };
        if (vm_node.paused) {
            vm_node.deferred.push_back(guarded);
            return;
        }
        guarded();
    }

    void attempt(node& vm_node, waiting_request waiting_call)
    {
        if (!vm_node.running || vm_node.process != waiting_call.process) {
            finish(waiting_call.call, false);
            return;
        }
        effects result;
        const admission_request wanted{waiting_call.call.team,
                                       base::tokens{waiting_call.call.upper_bound},
                                       waiting_call.first_requested_at};
        const auto now = local_time(vm_node);
        const auto verdict = vm_node.core->reserve(wanted, now, result);
        if (const auto* grant = std::get_if<granted>(&verdict)) {
            admit(vm_node, waiting_call.call, grant->id);
        }
        else if (const auto* wait = std::get_if<wait_for_loan>(&verdict)) {
            const auto left = std::max(wait->until - now, base::nanoseconds{0});
            waiting_call.number = ++m_next_waiting;
            const auto number = waiting_call.number;
            const auto team = waiting_call.call.team;
            vm_node.waiting[team].push_back(std::move(waiting_call));
            at(m_now + left * 101 / 100, [this, &vm_node, team, number] {
                auto& queue = vm_node.waiting[team];
                const auto found = std::ranges::find(queue, number, &waiting_request::number);
                if (found != queue.end()) {
                    auto late = std::move(*found);
                    queue.erase(found);
                    attempt(vm_node, std::move(late));
                }
            });
        }
        else {
            finish(waiting_call.call, false);
        }
        perform(vm_node, std::move(result));
    }

    void admit(node& vm_node, const request& call, reservation_id id)
    {
        auto& events = m_admitted[call.team];
        events.push_back(
            {std::chrono::duration<double>(m_now).count(), static_cast<double>(call.upper_bound)});
        const auto entry = events.size() - 1;
        finish(call, true);
        at(m_now + call.duration, [this, &vm_node, call, id, entry, process = vm_node.process] {
            if (!vm_node.running || vm_node.process != process) {
                return;
            }
            run_when_awake(vm_node, process, [this, &vm_node, call, id, entry] {
                m_admitted[call.team][entry].tokens = static_cast<double>(call.actual);
                (void)vm_node.core->settle(id, base::tokens{call.actual}, local_time(vm_node));
            });
        });
    }

    static void finish(const request& call, bool accepted)
    {
        if (call.done) {
            call.done(accepted);
        }
    }

    fleet_options m_options;
    std::mt19937_64 m_random;
    instant m_now{};
    std::vector<std::unique_ptr<node>> m_nodes;
    std::map<base::vm_id, std::size_t> m_by_id;
    std::vector<list_change> m_list_changes;
    std::set<std::pair<std::size_t, std::size_t>> m_partitions;
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
