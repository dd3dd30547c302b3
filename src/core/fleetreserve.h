#ifndef VERBENADOCK_CORE_FLEETRESERVE_H
#define VERBENADOCK_CORE_FLEETRESERVE_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <deque>

namespace Verbenadock::Core::Internal {

/// Further attempts that all entries together may make within a sliding window. Each entry counts its own attempts and
/// those reported by other entries, so that entries whose upstreams fail can use the share of the others.
///
/// Usage: take() before a further attempt, and report it to the other entries; noteOtherEntry() for each report.
class FleetReserve
{
public:
    /// Zero attempts disable the reserve.
    void configure(std::size_t attempts, Duration slidingWindow);

    /// Takes one attempt when more than `reserved` remain.
    bool take(std::size_t reserved, TimePoint now);

    void noteOtherEntry(TimePoint now);

    /// Attempts that remain in the window according to the reports received.
    std::size_t remaining(TimePoint now);

private:
    void expire(TimePoint now);

    std::size_t limit = 0;
    Duration window{0};
    std::deque<TimePoint> ownUses;
    std::deque<TimePoint> otherUses;
};

} // namespace Verbenadock::Core::Internal

#endif
