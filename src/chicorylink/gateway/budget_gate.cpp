#include "chicorylink/gateway/budget_gate.hpp"

#include "chicorylink/base/log.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/budget/codec.hpp"
#include "chicorylink/budget/engine.hpp"
#include "chicorylink/gateway/control_channel.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/single_run.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

refusal refusal_of(const budget::refused& rejection)
{
    refusal response{refusal_kind::rate_exceeded, "the team's rate and burst are used up",
                     "ask again after Retry-After", run_outcome::not_run};
    if (rejection.retry_after) {
        response.retry_after =
            std::chrono::duration_cast<base::milliseconds>(*rejection.retry_after);
    }
    switch (rejection.reason) {
    case budget::refusal::over_budget:
        break;
    case budget::refusal::larger_than_burst:
        response.message = "the request is larger than the team's burst";
        response.remedy = "send a shorter prompt or a smaller 'max_tokens'";
        break;
    case budget::refusal::unknown_team:
        response.kind = refusal_kind::region_not_allowed;
        response.message = "the team has no budget in this region";
        response.remedy = "ask a VM of an allowed region";
        break;
    case budget::refusal::not_a_member:
        response.kind = refusal_kind::not_ready;
        response.message = "this VM holds no part of the budgets now";
        response.remedy = "ask another VM, or ask again after Retry-After";
        break;
    }
    return response;
}

refusal too_many_waiting()
{
    refusal rejection{refusal_kind::rate_exceeded,
                      "too many requests of the team wait for tokens here",
                      "ask again after Retry-After", run_outcome::not_run};
    rejection.retry_after = base::milliseconds{1'000};
    return rejection;
}

} // namespace

budget_gate::budget_gate(services& deps, base::time_point now)
    : m_deps(deps), m_engine(make_engine(now))
{
}

budget_gate::~budget_gate() = default;

std::unique_ptr<budget::engine> budget_gate::make_engine(base::time_point now) const
{
    const budget::identity self{m_deps.self, m_deps.region, m_deps.process.load()};
    return std::make_unique<budget::engine>(self, budget::settings{}, now);
}

std::shared_ptr<budget::engine> budget_gate::engine() const
{
    const std::shared_lock lock(m_engine_mutex);
    return m_engine;
}

void budget_gate::reserve(const active_request_ptr& entry)
{
    try_reserve(entry);
}

void budget_gate::try_reserve(const active_request_ptr& entry)
{
    const auto now = m_deps.now();
    const budget::admission_request request{entry->team, entry->prompt_bound + entry->answer_bound,
                                            entry->arrived};
    budget::effects effects;
    const auto admitted = engine()->reserve(request, now, effects);
    perform(effects);
    if (const auto* rejection = std::get_if<budget::refused>(&admitted)) {
        finish_refused(m_deps, entry, refusal_of(*rejection));
        return;
    }
    if (const auto* later = std::get_if<budget::wait_for_loan>(&admitted)) {
        if (!keep_waiting(entry, later->until)) {
            finish_refused(m_deps, entry, too_many_waiting());
        }
        return;
    }
    const auto id = std::get<budget::granted>(admitted).id.value();
    bool ended = false;
    {
        const std::lock_guard lock(entry->mutex);
        ended = entry->phase == request_phase::done;
        if (!ended) {
            entry->reservation = id;
        }
    }
    if (ended) {
        settle(id, base::tokens{0});
        return;
    }
    run(m_deps, entry);
}

void budget_gate::settle(std::uint64_t reservation, base::tokens used)
{
    const budget::reservation_id id{reservation};
    const auto now = m_deps.now();
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            if (used.value() == 0) {
                return engine()->release(id, now);
            }
            return engine()->settle(id, used, now);
        },
        [&](const base::error& failure) {
            m_deps.metrics->add("chicorylink_settle_errors_total");
            base::log(base::log_level::warning, "settle_failed",
                      {{"message", failure.message}, {"used", used.value()}});
        },
        [] {});
}

bool budget_gate::confirm(std::uint64_t reservation) const
{
    return engine()->confirm(budget::reservation_id{reservation}, m_deps.now());
}

void budget_gate::cancel(const active_request_ptr& entry)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(entry->team);
    if (found == m_waiting.end()) {
        return;
    }
    std::erase_if(found->second, [&](const waiter& one) { return one.entry == entry; });
    if (found->second.empty()) {
        m_waiting.erase(found);
    }
}

void budget_gate::on_rules(std::shared_ptr<const rules::rulebook> book)
{
    {
        const std::lock_guard lock(m_mutex);
        m_book = book;
    }
    perform(engine()->on_rules(std::move(book), m_deps.now()));
}

void budget_gate::on_view(const membership::view& members)
{
    perform(engine()->on_view(members, m_deps.now()));
}

void budget_gate::on_message(base::vm_id from, base::incarnation process,
                             std::span<const std::uint8_t> bytes)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(message, budget::decode(bytes));
            perform(engine()->on_message(from, process, message, m_deps.now()));
            return {};
        },
        [&] { m_deps.metrics->add("chicorylink_bad_input_total{reason=\"budget_message\"}"); });
}

void budget_gate::tick()
{
    const auto now = m_deps.now();
    perform(engine()->tick(now));
    for (const auto& entry : take_overdue(now)) {
        try_reserve(entry);
    }
}

void budget_gate::drain()
{
    perform(engine()->drain(m_deps.now()));
}

bool budget_gate::drained() const
{
    return engine()->drained();
}

void budget_gate::renew(base::time_point now)
{
    std::shared_ptr<budget::engine> new_engine = make_engine(now);
    std::shared_ptr<const rules::rulebook> book;
    {
        const std::lock_guard lock(m_mutex);
        book = m_book;
    }
    if (book) {
        perform(new_engine->on_rules(std::move(book), now));
    }
    const std::unique_lock lock(m_engine_mutex);
    m_engine = std::move(new_engine);
}

std::size_t budget_gate::waiting() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [team, waiters] : m_waiting) {
        count += waiters.size();
    }
    return count;
}

std::size_t budget_gate::owned_slots() const
{
    return engine()->owned_slot_count();
}

base::tokens budget_gate::spendable(base::team_id team) const
{
    return budget::whole_tokens(engine()->spendable(team, m_deps.now()));
}

void budget_gate::perform(const budget::effects& effects)
{
    for (const auto& message : effects.messages) {
        m_deps.network->send_control(message.to, budget_channel,
                                     wrap_control(m_deps.process, budget::encode(message.body)));
    }
    for (const auto team : effects.ready) {
        for (const auto& entry : take_waiting(team)) {
            try_reserve(entry);
        }
    }
}

bool budget_gate::keep_waiting(const active_request_ptr& entry, base::time_point until)
{
    const std::lock_guard lock(m_mutex);
    auto& waiters = m_waiting[entry->team];
    if (waiters.size() >= max_waiting_per_team) {
        return false;
    }
    waiters.push_back({entry, until});
    return true;
}

std::vector<active_request_ptr> budget_gate::take_waiting(base::team_id team)
{
    const std::lock_guard lock(m_mutex);
    std::vector<active_request_ptr> ready;
    const auto found = m_waiting.find(team);
    if (found != m_waiting.end()) {
        for (auto& one : found->second) {
            ready.push_back(std::move(one.entry));
        }
        m_waiting.erase(found);
    }
    return ready;
}

std::vector<active_request_ptr> budget_gate::take_overdue(base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<active_request_ptr> overdue;
    for (auto& [team, waiters] : m_waiting) {
        std::erase_if(waiters, [&](const waiter& one) {
            if (one.until > now) {
                return false;
            }
            overdue.push_back(one.entry);
            return true;
        });
    }
    std::erase_if(m_waiting, [](const auto& row) { return row.second.empty(); });
    return overdue;
}

} // namespace chicorylink::gateway
