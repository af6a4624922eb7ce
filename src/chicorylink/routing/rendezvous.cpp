#include "chicorylink/routing/rendezvous.hpp"

namespace chicorylink::routing {

std::size_t rendezvous_winner(const region_state& state, prefix_hash session)
{
    std::size_t winner = state.targets.size();
    std::uint64_t heaviest = 0;
    for (std::size_t index = 0; index < state.targets.size(); ++index) {
        const auto& target = state.targets[index];
        const auto weight = rendezvous_weight(session.value(), target.id.value());
        if (weight >= heaviest && takes_work(target)) {
            heaviest = weight;
            winner = index;
        }
    }
    return winner;
}

} // namespace chicorylink::routing
