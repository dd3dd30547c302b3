#include "soak/customers.h"

#include <algorithm>

namespace Verbenadock::Soak {

std::string keyOfVersion(std::uint64_t version)
{
    return "key-of-" + std::to_string(version);
}

std::map<std::string, std::vector<std::string>> customersOf(std::uint64_t version)
{
    return {{"steady", {SteadyKey}},
            {"moving-" + std::to_string(version % 2), {MovingKey}},
            {"coming", {keyOfVersion(version)}}};
}

std::string holderOf(const std::string &key, std::uint64_t version)
{
    for (const auto &[name, keys] : customersOf(version)) {
        if (std::ranges::find(keys, key) != keys.end()) {
            return name;
        }
    }
    return {};
}

} // namespace Verbenadock::Soak
