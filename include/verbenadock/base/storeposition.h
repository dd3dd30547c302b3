#ifndef VERBENADOCK_BASE_STOREPOSITION_H
#define VERBENADOCK_BASE_STOREPOSITION_H

#include <compare>
#include <cstdint>

namespace Verbenadock {

/// Position in a topic of the platform's store. A later position is greater: when the store returns from an older copy,
/// it gives out offsets again, in the next era.
struct StorePosition
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const StorePosition &) const = default;
};

} // namespace Verbenadock

#endif
