#include "chicorylink/fleet/target_pool.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// Weight of the newest sample in a target's smoothed values.
constexpr double newest_sample_weight = 0.1;

/// The list of targets is complete this long after the first of them: a VM reads it at its start.
constexpr base::milliseconds list_settling_time{5000};

/// An older load report is not passed on; the next response brings a newer one.
constexpr base::milliseconds max_load_age{1000};

bool is_recent(const reported_load& load, base::time_point now)
{
    return now - load.reported_at <= max_load_age;
}

target_use with_load(const tracked_target& target, std::uint32_t in_flight, std::uint32_t unread,
                     base::time_point now)
{
    target_use use{target.id, in_flight, unread, 0, 0, max_load_age * 2};
    if (is_recent(target.load, now)) {
        use.running = target.load.running;
        use.waiting = target.load.waiting;
        use.load_age =
            std::chrono::duration_cast<base::milliseconds>(now - target.load.reported_at);
    }
    return use;
}

} // namespace

void target_pool::update_entry(tracked_target& target, const target_entry& entry, bool is_new,
                               base::time_point now)
{
    const bool is_new_run = target.entry.started_ms != entry.started_ms;
    if (is_new_run) {
        // A new run under the same name has an empty cache and no history.
        target.health = {};
        target.cache.clear();
        target.link_free_at = {};
        target.prefill = {};
        target.pace = {};
        target.load = {};
        target.speed = {};
        target.response_ms = 0;
    }
    if (target.pushback.started_ms != entry.started_ms) {
        target.pushback = {};
        target.pushback.started_ms = entry.started_ms;
    }
    if (entry.cold_left.count() > 0 && entry.cold_left != target.entry.cold_left) {
        target.cold_until = std::max(target.cold_until, now + entry.cold_left);
    }
    if (target.entry != entry) {
        target.displaced = false;
    }
    target.entry = entry;
    if (is_new) {
        // Targets of the list that this VM read at its own start have been serving.
        if (m_first_targets_at && now - *m_first_targets_at > list_settling_time) {
            begin_window(target, "added", now);
        }
    }
    else if (is_new_run) {
        begin_window(target, "restarted", now);
    }
}

/// Ends the ejection of a target that answers again; it may have restarted while it was
/// unreachable, and then counts as cold.
void target_pool::readmit_target(tracked_target& target, base::time_point now)
{
    if (target.health.may_have_restarted) {
        target.cold_until = std::max(target.cold_until, now + target.cold_time);
    }
    readmit(target.health);
    begin_window(target, "readmitted", now);
}

/// Keeps the newest load that the target reported to any VM.
void target_pool::update_load(tracked_target& target, const target_use& report,
                              base::time_point now)
{
    const auto reported_at = now - report.load_age;
    if (report.load_age <= max_load_age && is_on_probation(target.health) &&
        reported_at > target.health.ejected_at) {
        readmit_target(target, now);
    }
    if (report.load_age <= max_load_age && reported_at > target.load.reported_at) {
        target.load = {report.running, report.waiting, reported_at};
        target.unread_since_load = 0;
    }
}

void target_pool::sync(const published_state& state, const region_name& region,
                       const std::map<data_center_name, region_name>& region_of,
                       base::time_point now)
{
    std::map<target_name, tracked_target> next;
    m_names.clear();
    const auto& config = state.config();
    for (const auto& [name, entry] : state.targets()) {
        const auto region_entry = region_of.find(entry.data_center);
        if (region_entry == region_of.end() || region_entry->second != region) {
            continue;
        }
        const auto known = m_targets.find(name);
        auto target = known == m_targets.end() ? tracked_target{} : std::move(known->second);
        target.id = base::id_of<base::target_id>(name.text());
        target.data_center = hash_of(entry.data_center);
        const auto departed = m_departed_pushbacks.find(target.id);
        if (departed != m_departed_pushbacks.end()) {
            target.pushback = departed->second;
            m_departed_pushbacks.erase(departed);
        }
        const auto* service = config ? config->find_service(entry.service) : nullptr;
        target.is_engine = service != nullptr && service->is_engine;
        target.cold_time = service == nullptr ? base::milliseconds{0} : service->cold_time;
        target.cache.set_capacity(service == nullptr ? 0 : service->memory_tokens);
        target.fetch_tokens_per_ms = service == nullptr ? 0 : service->fetch_tokens_per_ms;
        target.tokens_per_event = service == nullptr ? 0 : service->tokens_per_event;
        const bool evacuated = state.is_evacuated(entry.data_center);
        if (target.evacuated && !evacuated && service != nullptr) {
            // Its targets may have become cold while they got no requests.
            target.cold_until = std::max(target.cold_until, now + service->cold_time);
        }
        target.evacuated = evacuated;
        update_entry(target, entry, known == m_targets.end(), now);
        m_first_targets_at = m_first_targets_at.value_or(now);
        m_names.emplace(target.id, name);
        next.emplace(name, std::move(target));
    }
    keep_pushbacks(next, now);
    m_targets = std::move(next);
}

const tracked_target* target_pool::find(const target_name& name) const
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : &found->second;
}

tracked_target* target_pool::find_mutable(const target_name& name)
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : &found->second;
}

const tracked_target* target_pool::find(base::target_id id) const
{
    const auto found = m_names.find(id);
    return found == m_names.end() ? nullptr : find(found->second);
}

void target_pool::on_reserved(const target_name& name, const prompt* request_prompt,
                              std::uint32_t unread, std::uint8_t urgency, base::time_point now,
                              base::time_point ready_at)
{
    if (auto* target = find_mutable(name)) {
        ++target->reserved.in_flight;
        target->reserved.unread_tokens.at(urgency) += unread;
        ++target->reserved.unread_requests.at(urgency);
        if (target->is_engine) {
            const double speed =
                default_prompt_tokens_per_ms / scheduling::time_factor(target->speed, now);
            scheduling::serve(target->prefill, speed, now);
            scheduling::place(target->prefill, unread, urgency);
        }
        if (request_prompt != nullptr) {
            target->cache.note_read(*request_prompt, now, ready_at);
        }
    }
}

void target_pool::on_reserved_begun(const target_name& name, base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        target->reserved.begun_at = now;
    }
}

void target_pool::on_reserved_read(const target_name& name, std::uint32_t unread,
                                   std::uint8_t urgency)
{
    if (auto* target = find_mutable(name)) {
        auto& tokens = target->reserved.unread_tokens.at(urgency);
        tokens -= std::min<std::uint64_t>(tokens, unread);
        auto& requests = target->reserved.unread_requests.at(urgency);
        requests -= std::min(requests, 1U);
    }
}

void target_pool::on_reserved_canceled(const target_name& name, std::uint32_t unread,
                                       std::uint8_t urgency)
{
    if (auto* target = find_mutable(name)) {
        scheduling::cancel(target->prefill, unread, urgency);
    }
}

void target_pool::on_reserved_ended(const target_name& name)
{
    if (auto* target = find_mutable(name)) {
        target->reserved.in_flight -= std::min(target->reserved.in_flight, 1U);
    }
}

void target_pool::set_first_due(const std::map<target_name, base::time_point>& due)
{
    for (auto& [name, target] : m_targets) {
        const auto found = due.find(name);
        target.reserved.first_due =
            found == due.end() ? std::nullopt : std::optional{found->second};
    }
}

void target_pool::on_sent(const target_name& name, const prompt* request_prompt,
                          std::uint32_t unread, base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        ++target->in_flight;
        target->unread_tokens += unread;
        target->unread_since_load += unread;
        const auto measured = static_cast<double>(unread);
        target->mean_unread =
            target->mean_unread <= 0
                ? measured
                : target->mean_unread + newest_sample_weight * (measured - target->mean_unread);
        if (request_prompt != nullptr) {
            target->cache.note_read(*request_prompt, now);
        }
    }
}

void target_pool::on_begun(const target_name& name, std::uint32_t unread, base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        target->unread_tokens -= std::min(target->unread_tokens, unread);
        target->last_bytes_at = now;
    }
}

void target_pool::on_ended(const target_name& name, std::uint32_t unread)
{
    if (auto* target = find_mutable(name)) {
        target->in_flight -= std::min(target->in_flight, 1U);
        target->unread_tokens -= std::min(target->unread_tokens, unread);
    }
}

bool target_pool::on_outcome(const target_name& name, target_outcome outcome,
                             base::milliseconds took, base::time_point now)
{
    auto* target = find_mutable(name);
    if (target == nullptr) {
        return false;
    }
    if (outcome == target_outcome::answered && !target->is_engine) {
        const double stated = scheduling::stated_factor(target->speed, now).value_or(1);
        const double measured = static_cast<double>(took.count()) / stated;
        target->response_ms =
            target->response_ms <= 0
                ? measured
                : target->response_ms + newest_sample_weight * (measured - target->response_ms);
    }
    if (outcome == target_outcome::answered || outcome == target_outcome::server_error) {
        note_served(target->pushback, now);
    }
    const bool answers = outcome == target_outcome::answered ||
                         outcome == target_outcome::server_error || outcome == target_outcome::shed;
    if (answers && is_on_probation(target->health)) {
        readmit_target(*target, now);
    }
    return fleet::on_outcome(target->health, outcome, now);
}

void target_pool::on_bytes_received(const target_name& name, base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        target->last_bytes_at = now;
    }
}

bool target_pool::on_unresponsive(const target_name& name, base::time_point now)
{
    auto* target = find_mutable(name);
    if (target == nullptr || is_ejected(target->health, now)) {
        return false;
    }
    eject(target->health, now);
    target->health.may_have_restarted = true;
    return true;
}

void target_pool::on_load(const target_name& name, std::uint32_t running, std::uint32_t waiting,
                          base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        target->load = {running, waiting, now};
        target->unread_since_load = 0;
    }
}

void target_pool::on_displaced(const target_name& name)
{
    if (auto* target = find_mutable(name)) {
        target->displaced = true;
    }
}

void target_pool::on_peer_use(const std::string& ip, const std::vector<target_use>& use,
                              base::time_point now)
{
    for (auto& [name, target] : m_targets) {
        std::erase_if(target.peer_loads, [&](const peer_use& other) { return other.ip == ip; });
    }
    for (const auto& entry : use) {
        const auto name = m_names.find(entry.target);
        if (name != m_names.end()) {
            auto& target = m_targets.at(name->second);
            target.peer_loads.push_back({ip, entry.in_flight, entry.unread_tokens, now});
            update_load(target, entry, now);
        }
    }
}

void target_pool::on_region_use(const std::vector<target_use>& use, base::time_point now)
{
    for (auto& [name, target] : m_targets) {
        target.region = {0, 0, now};
    }
    for (const auto& entry : use) {
        const auto name = m_names.find(entry.target);
        if (name != m_names.end()) {
            auto& target = m_targets.at(name->second);
            const auto& own = target.previous_report;
            target.region = {entry.in_flight - std::min(entry.in_flight, own.in_flight),
                             entry.unread_tokens - std::min(entry.unread_tokens, own.unread_tokens),
                             now};
            update_load(target, entry, now);
        }
    }
}

std::vector<target_use> target_pool::region_use(base::time_point now) const
{
    std::vector<target_use> use;
    for (const auto& [name, target] : m_targets) {
        const auto others = reported_by_peers(target, now);
        const auto in_flight = target.in_flight + others.in_flight;
        if (in_flight > 0 || is_recent(target.load, now)) {
            use.push_back(
                with_load(target, in_flight, target.unread_tokens + others.unread_tokens, now));
        }
    }
    return use;
}

std::vector<target_use> target_pool::own_use(base::time_point now) const
{
    std::vector<target_use> use;
    for (const auto& [name, target] : m_targets) {
        if (target.in_flight > 0 || is_recent(target.load, now)) {
            use.push_back(with_load(target, target.in_flight, target.unread_tokens, now));
        }
    }
    return use;
}

void target_pool::note_reported(base::time_point now)
{
    for (auto& [name, target] : m_targets) {
        target.previous_report = target.last_report;
        target.last_report = {target.in_flight, target.unread_tokens, now};
    }
}

} // namespace chicorylink::fleet
