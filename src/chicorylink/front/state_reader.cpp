#include "chicorylink/front/state_reader.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/store_watch.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/item_copy.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

constexpr int ok = 200;
constexpr int history_gone = 410;

/// How long the store may hold a watch without news, for the first delegate of a region and for the
/// others. Each answer confirms the configuration as of its question; with the time until the next
/// one and that of a delegate's digests, the region's VMs stay under half of the bound on withdrawn
/// keys.
constexpr base::milliseconds first_watch_time{600};
constexpr base::milliseconds other_watch_time{6000};

/// What a watch may take beyond that, and a read in all, before its connection is taken to be dead.
/// Covers a store that is sixty times slower than usual.
constexpr base::milliseconds answer_slack{800};
constexpr base::milliseconds snapshot_limit{1500};

/// Pauses after a failed read; each call is priced, refused ones too.
constexpr base::milliseconds first_retry{100};
constexpr base::milliseconds longest_retry{800};

/// Changes come in bursts, as when targets start together; one call after this pause takes them
/// all. A small part of the time in which a change must be in force.
constexpr base::milliseconds pause_after_news{150};

/// A configuration that nobody confirmed for so long is confirmed by a peer's copy or by the store;
/// further copies follow at this interval. A third of the bound on withdrawn keys is left for the
/// calls of a few VMs and for the way of their answers to the others.
constexpr base::milliseconds unconfirmed_before_copy{2400};
constexpr base::milliseconds unconfirmed_before_watch{2600};
constexpr base::milliseconds copy_interval{700};
constexpr base::milliseconds copy_limit{600};

/// A peer whose own proof is older does not help.
constexpr base::milliseconds useful_age{3000};

base::milliseconds age_of(base::time_point then, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(now - then);
}

} // namespace

state_reader::state_reader(front_core& core, std::function<void()> on_change)
    : m_core(core), m_on_change(std::move(on_change)),
      m_store(core.loop, core.settings.store_address), m_pause(core.loop)
{
}

void state_reader::start()
{
    read_snapshot({});
}

std::optional<base::milliseconds> state_reader::watch_time(base::time_point now) const
{
    const auto& self = m_core.settings.self;
    const auto delegates = m_core.members.delegates_of(self.region, now);
    if (delegates.front() == self.ip) {
        return first_watch_time;
    }
    const bool is_delegate =
        std::find(delegates.begin(), delegates.end(), self.ip) != delegates.end();
    const auto confirmed = m_core.state.confirmed_at();
    if (confirmed && now - *confirmed <= unconfirmed_before_watch) {
        return is_delegate ? std::optional{other_watch_time} : std::nullopt;
    }
    fleet::unconfirmed_vm who;
    who.ip = self.ip;
    who.region_vms = m_core.members.region_ips(now).size();
    who.is_delegate = is_delegate;
    who.hears_delegate =
        std::any_of(delegates.begin(), delegates.end(), [&](const std::string& ip) {
            const auto* delegate = m_core.members.find(ip);
            return delegate != nullptr && fleet::roster::is_heard(*delegate, now);
        });
    const auto* best = confirmed_peer(now);
    who.hears_confirmed = best != nullptr && best->second.direct_at &&
                          *best->second.confirmed_age + (now - *best->second.direct_at) <
                              unconfirmed_before_watch / 2;
    return fleet::asks_store(who, now) ? std::optional{first_watch_time} : std::nullopt;
}

const std::pair<const std::string, fleet::member>*
state_reader::confirmed_peer(base::time_point now) const
{
    const std::pair<const std::string, fleet::member>* best = nullptr;
    for (const auto& entry : m_core.members.members()) {
        const auto& who = entry.second;
        if (!fleet::roster::is_heard(who, now) || !who.confirmed_age ||
            *who.confirmed_age > useful_age) {
            continue;
        }
        if (best == nullptr || *who.confirmed_age < *best->second.confirmed_age) {
            best = &entry;
        }
    }
    return best;
}

void state_reader::read_snapshot(const std::string& after)
{
    if (after.empty()) {
        m_page_items.clear();
    }
    m_core.counters.add("store_reads_total");
    m_store.get(m_core.protocol.snapshot_target(after), snapshot_limit,
                [this](const read_result& result) { on_snapshot_page(result); });
}

void state_reader::on_snapshot_page(const read_result& result)
{
    if (result.status != ok) {
        retry_later(result);
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(page, m_core.protocol.read_store_answer(result.body));
            take_page(std::move(page), result.sent_at);
            return {};
        },
        [&](const base::error& problem) {
            retry_later({0, {}, base::describe(problem), result.sent_at});
        },
        [&] {
            retry_later({0, {}, "the answer can't be read", result.sent_at});
        });
}

void state_reader::take_page(store_answer page, base::time_point sent_at)
{
    note_answer();
    if (m_page_items.empty()) {
        m_snapshot_as_of = page.as_of;
        m_snapshot_sent_at = sent_at;
    }
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_page_items));
    if (page.has_more && !m_page_items.empty()) {
        read_snapshot(m_page_items.back().key);
        return;
    }
    note_changes(m_core.state.apply_snapshot(m_page_items, m_snapshot_as_of, m_snapshot_sent_at,
                                             base::boot_now()),
                 "store");
    m_watch_from = m_snapshot_as_of;
    watch_if_due();
}

void state_reader::watch_if_due()
{
    const auto wait = watch_time(base::boot_now());
    if (!wait || m_watch_from == 0 || m_store.is_busy() || m_is_pausing) {
        return;
    }
    m_core.counters.add("store_reads_total");
    m_store.get(m_core.protocol.watch_target(m_watch_from, *wait), *wait + answer_slack,
                [this](const read_result& result) { on_watch(result); });
}

void state_reader::on_watch(const read_result& result)
{
    if (result.status == history_gone) {
        write_log(m_core, log_event(m_core, "store_history_gone").add("revision", m_watch_from));
        read_snapshot({});
        return;
    }
    if (result.status != ok) {
        retry_later(result);
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(news, m_core.protocol.read_store_answer(result.body));
            note_answer();
            note_changes(m_core.state.apply_changes(news.items, news.as_of, result.sent_at,
                                                    base::boot_now()),
                         "store");
            m_watch_from = std::max(m_watch_from, news.as_of);
            if (news.items.empty()) {
                watch_if_due();
            }
            else {
                pause(pause_after_news);
            }
            return {};
        },
        [&](const base::error& problem) {
            retry_later({0, {}, base::describe(problem), result.sent_at});
        },
        [&] {
            retry_later({0, {}, "the answer can't be read", result.sent_at});
        });
}

void state_reader::note_answer()
{
    m_answered_at = base::boot_now();
    m_retry_after = base::milliseconds{0};
    if (std::exchange(m_is_lost, false)) {
        write_log(m_core, log_event(m_core, "store_regained"));
    }
}

void state_reader::retry_later(const read_result& result)
{
    if (!std::exchange(m_is_lost, true)) {
        write_log(m_core, log_event(m_core, "store_lost")
                              .add("status", result.status)
                              .add("reason", result.problem)
                              .add("waited_ms", age_of(result.sent_at, base::boot_now()).count()));
    }
    m_core.counters.add("store_failures_total");
    m_retry_after = std::clamp(m_retry_after * 2, first_retry, longest_retry);
    pause(m_retry_after);
}

void state_reader::pause(base::milliseconds time)
{
    m_pause.expires_after(time);
    m_is_pausing = true;
    m_pause.async_wait([this](boost::system::error_code stopped) {
        if (stopped) {
            return;
        }
        m_is_pausing = false;
        if (m_watch_from == 0) {
            read_snapshot({});
        }
        else {
            watch_if_due();
        }
    });
}

void state_reader::on_heartbeat(const fleet::heartbeat& message)
{
    const auto& config = m_core.state.config();
    const bool vouches = message.confirmed_age && *message.confirmed_age <= useful_age;
    if (vouches && config && message.version == config->version() && message.echo_ms > 0) {
        // The sender had our last heartbeat when it vouched, so its proof is at least that new.
        const base::time_point echoed{base::milliseconds{message.echo_ms}};
        m_core.state.confirm(echoed - *message.confirmed_age);
    }
    const bool reads_itself =
        (m_store.is_busy() || m_is_pausing) && !m_is_lost && m_watch_from != 0;
    if (vouches && message.items_revision > m_core.state.items_revision() && !reads_itself &&
        m_core.state.as_of() != 0) {
        copy_from(message.from.ip, m_core.state.items_revision());
    }
}

void state_reader::tick(base::time_point now)
{
    watch_if_due();
    const auto confirmed = m_core.state.confirmed_at();
    const bool unconfirmed = !confirmed || now - *confirmed > unconfirmed_before_copy;
    const bool tried_store = m_is_lost || m_answered_at;
    if (!unconfirmed || !tried_store || now - m_copied_at < copy_interval) {
        return;
    }
    if (const auto* best = confirmed_peer(now)) {
        copy_from(best->first, 0);
    }
}

void state_reader::copy_from(const std::string& ip, std::uint64_t after)
{
    if (m_peer && m_peer->is_busy()) {
        return;
    }
    m_copied_at = base::boot_now();
    const auto& control = m_core.settings.control_address;
    const auto address = ip + control.substr(control.rfind(':'));
    if (!m_peer || m_peer->address() != address) {
        m_peer = std::make_unique<reader_client>(m_core.loop, address);
    }
    m_core.counters.add("peer_copies_total");
    m_peer->get(item_copy_target(after), copy_limit,
                [this](const read_result& result) { on_copy(result); });
}

void state_reader::on_copy(const read_result& result)
{
    if (result.status != ok) {
        write_log(m_core, log_event(m_core, "peer_copy_failed")
                              .add("address", m_peer->address())
                              .add("status", result.status)
                              .add("reason", result.problem));
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(copy, decode_item_copy(result.body));
            if (copy.as_of == 0 || !copy.confirmed_age) {
                return {};
            }
            const auto confirmed_at = result.sent_at - *copy.confirmed_age;
            const auto now = base::boot_now();
            note_changes(
                copy.after == 0
                    ? m_core.state.apply_snapshot(copy.items, copy.as_of, confirmed_at, now)
                    : m_core.state.apply_changes(copy.items, copy.as_of, confirmed_at, now),
                m_peer->address());
            return {};
        },
        [&](const base::error& problem) {
            write_log(m_core, log_event(m_core, "peer_copy_failed")
                                  .add("address", m_peer->address())
                                  .add("reason", base::describe(problem)));
        },
        [] {});
}

void state_reader::note_changes(const std::vector<fleet::applied_change>& changes,
                                std::string_view source)
{
    for (const auto& change : changes) {
        write_log(m_core, log_event(m_core, change.what)
                              .add("name", change.name)
                              .add("revision", change.revision)
                              .add("detail", change.detail)
                              .add("source", source));
    }
    if (!changes.empty()) {
        m_on_change();
    }
}

} // namespace chicorylink::front
