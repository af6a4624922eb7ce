#ifndef CHICORYLINK_FLEET_CRASH_FLEET_FIXTURE_HPP
#define CHICORYLINK_FLEET_CRASH_FLEET_FIXTURE_HPP

#include "chicorylink/fleet/crash_quarantine.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace chicorylink::fleet::test_support {

/// @brief Size of a simulated fleet, its requests and what goes wrong.
struct crash_fleet_plan {
    std::size_t regions = 3;
    std::size_t vms = 3;
    std::size_t targets = 12;
    std::uint32_t seed = 1;
    double requests_per_second = 60;
    double deadly_per_second = 1.4;
    /// Sessions of all sound requests; each has a part of its own.
    std::size_t sessions = 200;
    /// Requests whose connection breaks although their target goes on.
    double reset_share = 0;
    /// Requests of a deadly part whose answer seems to end regularly when the target crashes.
    double unconfirmed_share = 0;
    /// Whether all deadly requests are the same one, whose prompt has no part of its own.
    bool deadly_is_whole_request = false;
    /// Datagrams that get lost.
    double lost_share = 0;
};

/// @brief Simulates VMs of several regions, their targets and reports, in virtual time.
class crash_fleet {
public:
    using milliseconds = base::milliseconds;

    static constexpr crash_subject common_part{1};
    static constexpr crash_subject deadly_part{2};
    static constexpr crash_subject deadly_request{2, crash_subject_kind::whole_request};

    explicit crash_fleet(const crash_fleet_plan& plan)
        : m_plan(plan), m_random(plan.seed), m_vms(plan.regions * plan.vms),
          m_targets(plan.regions * plan.targets)
    {
        for (auto& vm : m_vms) {
            vm.digest_due = m_now + milliseconds{between(0, 500)};
        }
    }

    void run_for(milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            step();
        }
    }

    /// @brief Ends the run of a target of the first region and cuts its requests.
    void lose_target(std::size_t number) { crash(number); }
    void set_deadly_rate(double per_second) { m_plan.deadly_per_second = per_second; }
    void set_reset_share(double share) { m_plan.reset_share = share; }
    /// @brief Replaces a VM by one that knows nothing.
    void restart_vm(std::size_t number) { m_vms.at(number).guard = {}; }

    [[nodiscard]] base::time_point now() const { return m_now; }
    [[nodiscard]] const std::vector<base::time_point>& deadly_sends() const
    {
        return m_deadly_sends;
    }
    [[nodiscard]] const std::vector<base::time_point>& crashes() const { return m_crashes; }
    [[nodiscard]] std::size_t sound_sent() const { return m_sound_sent; }
    [[nodiscard]] std::size_t sound_refused() const { return m_sound_refused; }
    /// @brief Parts that were quarantined at any VM.
    [[nodiscard]] const std::set<crash_subject>& quarantined() const { return m_quarantined; }
    [[nodiscard]] bool refuses(std::size_t vm, crash_subject subject) const
    {
        return m_vms.at(vm).guard.find(std::vector{subject}, m_now).has_value();
    }
    /// @brief Deadly requests sent later than some time after a crash, which counts from 1.
    [[nodiscard]] std::size_t sent_after_crash(std::size_t number, milliseconds delay) const
    {
        if (m_crashes.size() < number) {
            return 0;
        }
        const auto from = m_crashes.at(number - 1) + delay;
        return static_cast<std::size_t>(std::count_if(m_deadly_sends.begin(), m_deadly_sends.end(),
                                                      [&](auto at) { return at > from; }));
    }

private:
    static constexpr milliseconds tick{25};
    static constexpr milliseconds down_time{3'000};
    static constexpr milliseconds update_interval{100};
    static constexpr std::size_t delegates = 2;

    struct request {
        std::size_t vm = 0;
        std::vector<crash_subject> parts;
        bool is_deadly = false;
        base::time_point begins_at{};
        base::time_point ends_at{};
        /// When the target crashes or the connection breaks; unset for most.
        base::time_point breaks_at{};
        bool has_survived = false;
        int attempts = 1;
    };
    struct simulated_target {
        std::int64_t started_ms = 1;
        base::time_point up_at{};
        std::vector<request> running;
    };
    struct heard_digest {
        crash_reports reports;
        base::time_point made_at{};
    };
    struct simulated_vm {
        crash_quarantine guard;
        base::time_point digest_due{};
        base::time_point remote_due{};
        /// Newest digests of other regions, by region.
        std::map<std::size_t, heard_digest> heard;
    };
    struct message {
        base::time_point arrives_at{};
        std::size_t to = 0;
        std::size_t from_region = 0;
        crash_reports reports;
        base::time_point made_at{};
        bool is_digest = false;
    };

    int between(int low, int high) { return std::uniform_int_distribution{low, high}(m_random); }
    bool happens(double share) { return std::bernoulli_distribution{share}(m_random); }
    [[nodiscard]] std::size_t region_of(std::size_t vm) const { return vm / m_plan.vms; }

    void step()
    {
        deliver();
        arrive(m_plan.requests_per_second, false);
        arrive(m_plan.deadly_per_second, true);
        for (std::size_t number = 0; number < m_targets.size(); ++number) {
            serve(number);
        }
        for (std::size_t number = 0; number < m_vms.size(); ++number) {
            report(number);
        }
        if (m_now - m_updated_at >= update_interval) {
            m_updated_at = m_now;
            for (auto& vm : m_vms) {
                for (const auto& change : vm.guard.update(m_now)) {
                    if (is_begin(change.cause)) {
                        m_quarantined.insert(change.subject);
                    }
                }
            }
        }
    }

    void arrive(double per_second, bool is_deadly)
    {
        const auto mean = per_second * std::chrono::duration<double>(tick).count();
        for (int count = std::poisson_distribution{mean}(m_random); count > 0; --count) {
            request item;
            item.vm = static_cast<std::size_t>(between(0, static_cast<int>(m_vms.size()) - 1));
            const auto sessions = static_cast<int>(m_plan.sessions);
            const crash_subject session{100 + static_cast<std::uint64_t>(between(1, sessions))};
            const crash_subject itself{1'000'000 + ++m_number, crash_subject_kind::whole_request};
            item.parts = {common_part, session, itself};
            item.is_deadly = is_deadly;
            if (is_deadly && m_plan.deadly_is_whole_request) {
                item.parts = {common_part, session, deadly_request};
            }
            else if (is_deadly) {
                // No other request has its session.
                item.parts = {common_part, crash_subject{1'000'000 + m_number}, deadly_part,
                              itself};
            }
            send(std::move(item));
        }
    }

    void send(request item)
    {
        auto& guard = m_vms.at(item.vm).guard;
        guard.note_request(item.parts, m_now);
        m_sound_sent += item.is_deadly ? 0 : 1;
        if (guard.find(item.parts, m_now)) {
            m_sound_refused += item.is_deadly ? 0 : 1;
            return;
        }
        const auto first = region_of(item.vm) * m_plan.targets;
        std::vector<std::size_t> usable;
        for (std::size_t number = first; number < first + m_plan.targets; ++number) {
            if (m_targets.at(number).up_at <= m_now) {
                usable.push_back(number);
            }
        }
        if (usable.empty()) {
            return;
        }
        item.begins_at = m_now + milliseconds{between(50, 500)};
        item.ends_at = item.begins_at + milliseconds{between(300, 5'000)};
        item.has_survived = false;
        item.breaks_at = {};
        if (item.is_deadly) {
            m_deadly_sends.push_back(m_now);
            item.breaks_at = item.begins_at + milliseconds{between(75, 250)};
        }
        else if (happens(m_plan.reset_share)) {
            item.breaks_at = m_now + milliseconds{between(25, 1'500)};
        }
        const auto chosen =
            usable.at(static_cast<std::size_t>(between(0, static_cast<int>(usable.size()) - 1)));
        m_targets.at(chosen).running.push_back(std::move(item));
    }

    void serve(std::size_t number)
    {
        auto& target = m_targets.at(number);
        bool crashes = false;
        std::vector<request> cut;
        std::erase_if(target.running, [&](request& item) {
            auto& guard = m_vms.at(item.vm).guard;
            const bool breaks = item.breaks_at != base::time_point{} && m_now >= item.breaks_at;
            if (breaks && !item.is_deadly) {
                cut.push_back(item);
                return true;
            }
            crashes = crashes || breaks;
            const bool is_done = m_now >= item.ends_at;
            if (!item.has_survived && !item.is_deadly &&
                (is_done || m_now >= item.begins_at + std::chrono::seconds{1})) {
                item.has_survived = true;
                guard.note_survival(item.parts, item.begins_at, m_now);
            }
            return is_done && !breaks;
        });
        for (auto& item : cut) {
            break_off(number, item);
        }
        if (crashes) {
            m_crashes.push_back(m_now);
            crash(number);
        }
    }

    void crash(std::size_t number)
    {
        auto& target = m_targets.at(number);
        const auto running = std::exchange(target.running, {});
        for (const auto& item : running) {
            break_off(number, item);
        }
        target.up_at = m_now + down_time;
        ++target.started_ms;
    }

    void break_off(std::size_t number, request item)
    {
        const target_run run{base::target_id{number + 1}, m_targets.at(number).started_ms};
        auto& guard = m_vms.at(item.vm).guard;
        if (item.is_deadly && happens(m_plan.unconfirmed_share)) {
            guard.note_unconfirmed_end(item.parts, run, m_now);
            return;
        }
        if (!item.has_survived) {
            guard.note_crash(item.parts, run, m_now);
        }
        if (++item.attempts <= 2) {
            m_repeats.push_back(std::move(item));
        }
    }

    void report(std::size_t number)
    {
        auto& vm = m_vms.at(number);
        for (auto& item : std::exchange(m_repeats, {})) {
            send(std::move(item));
        }
        const auto first = region_of(number) * m_plan.vms;
        const auto delegate_count = std::min(delegates, m_plan.vms);
        const auto own = vm.guard.take_own(m_now);
        for (auto to = first; to < first + delegate_count && !own.empty(); ++to) {
            if (to != number) {
                post(to, number, own, false, between(2, 20));
            }
        }
        if (number >= first + delegate_count) {
            return;
        }
        if (m_now >= vm.digest_due) {
            const auto interval = std::max<std::size_t>(250, 20 * m_plan.vms);
            vm.digest_due = m_now + milliseconds{interval};
            send_digest(number, first, first + m_plan.vms);
        }
        if (m_now >= vm.remote_due) {
            vm.remote_due = m_now + milliseconds{500};
            for (std::size_t region = 0; region < m_plan.regions; ++region) {
                if (region != region_of(number)) {
                    post(region * m_plan.vms, number, vm.guard.digest_reports(m_now), true,
                         between(30, 120));
                }
            }
        }
    }

    void send_digest(std::size_t number, std::size_t first, std::size_t end)
    {
        auto& vm = m_vms.at(number);
        for (auto to = first; to < end; ++to) {
            if (to == number) {
                continue;
            }
            post(to, number, vm.guard.digest_reports(m_now), true, between(2, 20));
            for (const auto& [region, digest] : vm.heard) {
                m_messages.push_back({m_now + milliseconds{between(2, 20)}, to, region,
                                      digest.reports, digest.made_at, true});
            }
        }
    }

    void post(std::size_t to, std::size_t from, const crash_reports& reports, bool is_digest,
              int delay_ms)
    {
        if (happens(m_plan.lost_share)) {
            return;
        }
        m_messages.push_back(
            {m_now + milliseconds{delay_ms}, to, region_of(from), reports, m_now, is_digest});
    }

    void deliver()
    {
        std::vector<message> arrived;
        std::erase_if(m_messages, [&](message& item) {
            if (item.arrives_at > m_now) {
                return false;
            }
            arrived.push_back(std::move(item));
            return true;
        });
        for (auto& item : arrived) {
            auto& vm = m_vms.at(item.to);
            // The way itself is not part of an age.
            const auto held = item.arrives_at - item.made_at;
            const auto delay = std::max(base::nanoseconds{0}, held - milliseconds{100});
            vm.guard.apply(item.reports, item.is_digest,
                           std::chrono::duration_cast<milliseconds>(delay), m_now);
            if (item.is_digest && item.from_region != region_of(item.to)) {
                vm.heard[item.from_region] = {std::move(item.reports), item.made_at};
            }
        }
    }

    crash_fleet_plan m_plan;
    std::mt19937 m_random;
    base::time_point m_now{std::chrono::hours{1}};
    base::time_point m_updated_at{};
    std::vector<simulated_vm> m_vms;
    std::vector<simulated_target> m_targets;
    std::vector<message> m_messages;
    std::vector<request> m_repeats;
    std::vector<base::time_point> m_deadly_sends;
    std::vector<base::time_point> m_crashes;
    std::set<crash_subject> m_quarantined;
    std::uint64_t m_number = 0;
    std::size_t m_sound_sent = 0;
    std::size_t m_sound_refused = 0;
};

} // namespace chicorylink::fleet::test_support

#endif // CHICORYLINK_FLEET_CRASH_FLEET_FIXTURE_HPP
