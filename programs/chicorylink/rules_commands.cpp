#include "programs/chicorylink/rules_commands.hpp"

#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/diff.hpp"
#include "chicorylink/rules/explain.hpp"
#include "chicorylink/rules/manifest.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/split.hpp"
#include "programs/chicorylink/output.hpp"
#include "programs/chicorylink/table.hpp"

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>
#include <system_error>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::cli {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t key_bytes = 24;

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

ordered_json error_row(const rules::rule_error& diagnostic)
{
    return {{"file", diagnostic.file},
            {"line", diagnostic.line},
            {"column", diagnostic.column},
            {"message", diagnostic.message},
            {"remedy", diagnostic.remedy}};
}

void print_errors(const std::vector<rules::rule_error>& errors, const output& to)
{
    if (!to.json) {
        for (const auto& diagnostic : errors) {
            to.err << rules::to_string(diagnostic) << '\n';
        }
        to.err << errors.size() << (errors.size() == 1 ? " error\n" : " errors\n");
        return;
    }
    auto rows = ordered_json::array();
    for (const auto& diagnostic : errors) {
        rows.push_back(error_row(diagnostic));
    }
    to.out << ordered_json{{"ok", false}, {"errors", rows}}.dump() << '\n';
}

/// Reads a rules file; prints its errors and returns null when it has any.
std::shared_ptr<const rules::rulebook> load(const std::string& file, const output& to,
                                            const std::vector<std::string>& vm_addresses = {})
{
    rules::parse_options options;
    options.file = file;
    options.vm_addresses = vm_addresses;
    auto outcome = rules::parse_rules(read_file(file), options);
    if (!outcome.errors.empty()) {
        print_errors(outcome.errors, to);
    }
    return outcome.book;
}

ordered_json change_row(const rules::change& each)
{
    return {{"what", rules::to_string(each.what)},
            {"kind", rules::to_string(each.kind)},
            {"name", each.name},
            {"field", each.field},
            {"old", each.old_value},
            {"new", each.new_value},
            {"line", each.source.line},
            {"asked_by", each.source.asked_by}};
}

ordered_json explanation_row(const rules::region_explanation& each)
{
    return {{"region", each.region},    {"verdict", rules::to_string(each.verdict)},
            {"targets", each.targets},  {"reason", each.reason},
            {"line", each.source.line}, {"asked_by", each.source.asked_by}};
}

void print_rows(const ordered_json& rows, const output& to)
{
    if (to.json) {
        to.out << ordered_json{{"rows", rows}}.dump() << '\n';
        return;
    }
    to.out << format_table(rows);
}

/// Writes to a temporary file in the same folder first, so that readers see a complete file or
/// none.
bool write_file(const std::filesystem::path& path, const std::string& contents)
{
    auto partial = path;
    partial += ".partial";
    {
        std::ofstream file(partial, std::ios::binary | std::ios::trunc);
        file << contents;
        file.close();
        if (!file) {
            return false;
        }
    }
    std::error_code failure;
    std::filesystem::rename(partial, path, failure);
    return !failure;
}

bool write_parts(const std::filesystem::path& folder, const rules::manifest& new_manifest,
                 const std::vector<std::string>& parts)
{
    std::error_code failure;
    std::filesystem::create_directories(folder / "parts", failure);
    if (failure) {
        return false;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (!write_file(folder / "parts" / base::to_hex(new_manifest.parts[i].digest), parts[i])) {
            return false;
        }
    }
    return write_file(folder / "manifest", rules::print_manifest(new_manifest));
}

} // namespace

exit_code check_rules(const std::string& file, const std::vector<std::string>& vm_addresses,
                      const output& to)
{
    const auto book = load(file, to, vm_addresses);
    if (!book) {
        return exit_code::refused;
    }
    const ordered_json summary{{"ok", true},
                               {"regions", book->regions().size()},
                               {"links", book->links().size()},
                               {"routes", book->routes().size()},
                               {"targets", book->targets().size()},
                               {"teams", book->teams().size()},
                               {"keys", book->keys().size()}};
    to.out << (to.json ? summary.dump() + "\n" : format_object(summary));
    return exit_code::success;
}

exit_code diff_rules_files(const std::string& older, const std::string& newer, const output& to)
{
    const auto old_book = load(older, to);
    const auto new_book = load(newer, to);
    if (!old_book || !new_book) {
        return exit_code::refused;
    }
    const auto changes = rules::diff_rules(*old_book, *new_book);
    if (to.json) {
        auto rows = ordered_json::array();
        for (const auto& each : changes) {
            rows.push_back(change_row(each));
        }
        print_rows(rows, to);
        return exit_code::success;
    }
    for (const auto& each : changes) {
        to.out << rules::to_string(each) << '\n';
    }
    to.out << changes.size() << (changes.size() == 1 ? " change\n" : " changes\n");
    return exit_code::success;
}

exit_code explain_rules(const std::string& file, const std::string& team, const std::string& route,
                        const output& to)
{
    const auto book = load(file, to);
    if (!book) {
        return exit_code::refused;
    }
    return base::leaf::try_handle_all(
        [&]() -> base::result<exit_code> {
            BOOST_LEAF_AUTO(regions, rules::explain_route(*book, team, route));
            auto rows = ordered_json::array();
            bool runs_somewhere = false;
            for (const auto& each : regions) {
                rows.push_back(explanation_row(each));
                runs_somewhere = runs_somewhere || each.verdict == rules::region_verdict::runs;
            }
            print_rows(rows, to);
            return runs_somewhere ? exit_code::success : exit_code::refused;
        },
        [&](const base::error& failure) {
            to.err << base::describe(failure) << '\n';
            return exit_code::refused;
        },
        [] { return exit_code::refused; });
}

exit_code split_rules_file(const split_request& request, const output& to)
{
    if (!load(request.file, to)) {
        return exit_code::refused;
    }
    const auto parts = rules::split_rules(read_file(request.file));
    const auto new_manifest =
        rules::make_manifest(base::config_version{request.version}, request.salt, parts);
    const auto text = rules::print_manifest(new_manifest);
    const bool is_valid = base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(rules::parse_manifest(text));
            return true;
        },
        [&](const base::error& failure) {
            to.err << base::describe(failure) << '\n';
            return false;
        },
        [] { return false; });
    if (!is_valid) {
        return exit_code::refused;
    }
    if (!write_parts(request.folder, new_manifest, parts)) {
        to.err << fmt::format("can't write to '{}'; check that it is a folder with free space\n",
                              request.folder);
        return exit_code::refused;
    }
    const ordered_json summary{{"version", request.version},
                               {"parts", parts.size()},
                               {"manifest_bytes", text.size()},
                               {"folder", request.folder}};
    to.out << (to.json ? summary.dump() + "\n" : format_object(summary));
    return exit_code::success;
}

exit_code make_key(const std::string& salt, const std::string& team, const output& to)
{
    const auto key = base::random_hex(key_bytes);
    const auto digest = "sha256:" + base::to_hex(base::sha256(salt, key));
    const ordered_json generated{
        {"key", key},
        {"digest", digest},
        {"rule", fmt::format("key {} {} # WHO ASKED: WHY", team.empty() ? "TEAM" : team, digest)}};
    to.out << (to.json ? generated.dump() + "\n" : format_object(generated));
    return exit_code::success;
}

} // namespace chicorylink::cli
