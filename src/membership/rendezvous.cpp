#include "verbenadock/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Verbenadock::Membership {

std::vector<std::string> rendezvous(std::string_view key, const std::vector<std::string> &members, std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    std::vector<std::pair<std::uint64_t, const std::string *>> weights;
    weights.reserve(members.size());
    for (const auto &member : members) {
        weights.emplace_back(XXH3_64bits_withSeed(member.data(), member.size(), seed), &member);
    }
    const auto end = weights.begin() + static_cast<std::ptrdiff_t>(std::min(count, weights.size()));
    std::partial_sort(weights.begin(), end, weights.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<std::string> selected;
    for (auto weight = weights.begin(); weight != end; ++weight) {
        selected.push_back(*weight->second);
    }
    return selected;
}

} // namespace Verbenadock::Membership
