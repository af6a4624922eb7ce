#include "chicorylink/config/codec.hpp"
#include "chicorylink/config/store.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace chicorylink::config {
namespace {

constexpr base::time_point start{std::chrono::hours{1}};
constexpr base::vm_id self{1};
constexpr base::vm_id peer{2};

const std::string first_rules = "region a # lena: first\n"
                                "team shop regions=a rate=10/s burst=100 # lena: new\n";
const std::string second_rules = "region a # lena: first\n"
                                 "team shop regions=a rate=20/s burst=100 # omar: sale\n";

membership::view make_view(std::uint64_t peer_version)
{
    membership::view snapshot{.self = self};
    for (const auto id : {self, peer}) {
        snapshot.members.push_back({.id = id,
                                    .region = base::region_id{1},
                                    .data_center = base::data_center_id{1},
                                    .state = membership::member_state::live,
                                    .config_known = base::config_version{peer_version},
                                    .reaches_service = true});
    }
    return snapshot;
}

struct published {
    published(std::uint64_t version, const std::string& text) : parts{text}
    {
        manifest = rules::make_manifest(base::config_version{version}, "salt1234", parts);
    }

    [[nodiscard]] std::string text() const { return rules::print_manifest(manifest); }
    [[nodiscard]] const base::digest& digest() const { return manifest.parts.front().digest; }

    std::vector<std::string> parts;
    rules::manifest manifest;
};

store make_store()
{
    return store{{.self = self, .process = base::incarnation{9}}, start};
}

effects load(store& own, const published& version, base::time_point now)
{
    const auto snapshot = make_view(0);
    auto out = own.on_watch(watch_result::newer, version.text(), snapshot, now);
    if (out.fetch.empty()) {
        return out;
    }
    return own.on_part(version.digest(), version.parts.front(), snapshot, now);
}

TEST(config_store, change_takes_effect_with_its_audit_entries)
{
    auto own = make_store();
    EXPECT_NE(load(own, {1, first_rules}, start).apply, nullptr);
    const auto out = load(own, {2, second_rules}, start);
    ASSERT_NE(out.apply, nullptr);
    EXPECT_EQ(out.apply->version(), base::config_version{2});
    const auto rate =
        std::ranges::find(out.audit, "rate", [](const auto& entry) { return entry.what.field; });
    ASSERT_NE(rate, out.audit.end());
    EXPECT_EQ(rate->what.source.asked_by, "omar: sale");
    EXPECT_EQ(rate->what.source.line, 2U);
    EXPECT_EQ(rate->older, base::config_version{1});
    EXPECT_EQ(rate->newer, base::config_version{2});
}

TEST(config_store, older_version_is_never_applied)
{
    auto own = make_store();
    (void)load(own, {2, second_rules}, start);
    const auto out = load(own, {1, first_rules}, start);
    EXPECT_EQ(out.apply, nullptr);
    EXPECT_EQ(own.version(), base::config_version{2});
    EXPECT_TRUE(own.report().service_behind);
}

TEST(config_store, one_invalid_line_rejects_the_whole_version)
{
    auto own = make_store();
    (void)load(own, {1, first_rules}, start);
    const auto out =
        load(own, {2, second_rules + "team x regions=b rate=1/s burst=1 # a\n"}, start);
    EXPECT_EQ(out.apply, nullptr);
    EXPECT_EQ(own.version(), base::config_version{1});
    EXPECT_EQ(own.report().rejected, base::config_version{2});
    EXPECT_FALSE(own.report().rejection.empty());
}

TEST(config_store, corrupt_part_changes_nothing)
{
    auto own = make_store();
    const published version{1, first_rules};
    const auto snapshot = make_view(0);
    (void)own.on_watch(watch_result::newer, version.text(), snapshot, start);
    const auto out = own.on_part(version.digest(), first_rules + "\n", snapshot, start);
    EXPECT_EQ(out.apply, nullptr);
    EXPECT_EQ(own.report().corrupt_contents, 1U);
}

TEST(config_store, starting_vm_does_not_serve_an_older_version_than_its_region)
{
    auto own = make_store();
    (void)load(own, {1, first_rules}, start);
    const auto snapshot = make_view(2);
    const auto now = start + std::chrono::minutes{1};
    (void)own.tick(snapshot, now);
    EXPECT_EQ(own.version(), base::config_version{1});
    EXPECT_FALSE(own.ready());
}

TEST(config_store, large_part_is_sent_in_chunks)
{
    auto provider = make_store();
    std::string rules_text = first_rules;
    for (int i = 0; rules_text.size() < 2 * chunk_size_bytes; ++i) {
        rules_text += "team t" + std::to_string(i) + " regions=a rate=1/s burst=1 # lena: new\n";
    }
    const published version{1, rules_text};
    (void)load(provider, version, start);
    store receiver{{.self = peer, .process = base::incarnation{8}}, start};
    auto snapshot = make_view(1);
    snapshot.self = peer;
    auto out = receiver.tick(snapshot, start);
    std::size_t chunks = 0;
    for (int round = 0; round < 20 && receiver.version() == base::config_version{}; ++round) {
        const auto requests = out.send;
        out = {};
        for (const auto& each : requests) {
            for (const auto& reply : provider.receive(each.content, snapshot, start).send) {
                const auto message = decode(encode(reply.content)).value();
                chunks += std::holds_alternative<part_reply>(message) ? 1 : 0;
                const auto next = receiver.receive(message, snapshot, start).send;
                out.send.insert(out.send.end(), next.begin(), next.end());
            }
        }
    }
    EXPECT_EQ(receiver.version(), base::config_version{1});
    EXPECT_GE(chunks, 3U);
}

TEST(config_codec, truncated_bytes_are_refused)
{
    const auto bytes = encode(part_reply{{self, base::incarnation{9}}, {}, 3, 0, "abc"});
    for (std::size_t size = 0; size < bytes.size(); size += 2) {
        const auto accepted = base::leaf::try_handle_all(
            [&]() -> base::result<bool> {
                BOOST_LEAF_CHECK(decode({bytes.data(), size}));
                return true;
            },
            [] { return false; });
        EXPECT_FALSE(accepted) << size;
    }
}

} // namespace
} // namespace chicorylink::config
