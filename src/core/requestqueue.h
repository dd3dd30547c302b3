#ifndef VERBENADOCK_CORE_REQUESTQUEUE_H
#define VERBENADOCK_CORE_REQUESTQUEUE_H

#include "verbenadock/base/time.h"
#include "verbenadock/bundle/bundle.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>

namespace Verbenadock::Core::Internal {

/// Sort key of a queued request: priority, then the fair order, then deadline, then arrival.
struct QueuePosition
{
    Bundles::Priority priority = Bundles::Priority::Normal;
    /// Only with fair sharing: the request goes after those that are not deferred, because it misses its target latency
    /// anyway or because its caller often comes back before Retry-After.
    bool deferred = false;
    /// Start tag of FairShare; zero without fair sharing.
    Duration startTag{0};
    TimePoint deadline{};
    std::uint64_t sequence = 0;
    /// Slot of the request in the request table.
    std::uint32_t slot = 0;

    auto operator<=>(const QueuePosition &) const = default;
};

/// Queued requests of a service in the order of dispatch.
using RequestQueue = std::set<QueuePosition>;

} // namespace Verbenadock::Core::Internal

#endif
