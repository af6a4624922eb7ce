// Parses arbitrary bytes as a manifest. An accepted one must parse the same after printing.

#include "chicorylink/rules/manifest.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    namespace base = chicorylink::base;
    namespace rules = chicorylink::rules;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(read, rules::parse_manifest(text));
            const auto again = rules::parse_manifest(rules::print_manifest(read));
            if (!again || *again != read) {
                std::abort();
            }
            return {};
        },
        [] {});
    return 0;
}
