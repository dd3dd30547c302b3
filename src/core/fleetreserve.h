#ifndef VERBENADOCK_CORE_FLEETRESERVE_H
#define VERBENADOCK_CORE_FLEETRESERVE_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <deque>

namespace Verbenadock::Core::Internal {

/// Further attempts that all entries together may make within a sliding window. Each entry counts its own and those
/// that the others report, so that the reserve goes where upstreams fail instead of lying unused at most entries.
///
/// Usage: take() before a further attempt, and report it to the others; noteOther() for each report.
class FleetReserve
{
public:
    /// A limit of zero admits nothing.
    void configure(std::size_t attempts, Duration slidingWindow);

    /// Takes one attempt when more than `kept` are left.
    bool take(std::size_t reserved, TimePoint now);

    void noteOtherEntry(TimePoint now);

    /// Attempts that are left, as far as this entry knows.
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
