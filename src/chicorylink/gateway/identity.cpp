#include "chicorylink/gateway/identity.hpp"

#include "chicorylink/rules/rulebook.hpp"

namespace chicorylink::gateway {

std::variant<identity, refusal> identify(const rules::rulebook& book,
                                         const std::vector<std::string>& keys)
{
    if (keys.size() > 1) {
        return refusal{refusal_kind::ambiguous_key, "the request presents several keys",
                       "send one key, in one place"};
    }
    if (keys.empty()) {
        const auto public_team = base::id_of<base::team_id>(public_team_name);
        if (book.find(public_team) == nullptr) {
            return refusal{refusal_kind::no_key, "the request presents no key",
                           "send 'Authorization: Bearer KEY'"};
        }
        return identity{public_team, std::nullopt};
    }
    const auto digest = base::sha256(book.key_salt(), keys.front());
    const auto* key = book.find_key(digest);
    if (key == nullptr) {
        return refusal{refusal_kind::unknown_key, "the key is unknown or was withdrawn",
                       "ask the operators for a key"};
    }
    return identity{key->team, digest};
}

} // namespace chicorylink::gateway
