#ifndef VERBENADOCK_CORE_LOADREPORTS_H
#define VERBENADOCK_CORE_LOADREPORTS_H

#include "verbenadock/base/time.h"

#include <cstdint>
#include <deque>

namespace Verbenadock::Core::Internal {

/// How old the reported load of a service's upstreams is, and which of this entry's own requests it contains.
///
/// Usage: noteReport() at each report, noteOwnChange() at each start and end of an own request and noteLatency() at
/// each answer; then ask.
class LoadReports
{
public:
    void noteReport(TimePoint now);
    /// The change is 1 when a request starts at the upstream, and -1 when it ends.
    void noteOwnChange(std::uint32_t upstream, int change, TimePoint now);
    void noteLatency(Duration latency);

    /// Whether reports of other entries have arrived recently.
    bool hearsOthers(TimePoint now) const;

    /// Time since the state that the last report describes, as far as it can be known.
    Duration age(TimePoint now) const;

    /// Own requests at the upstream that a report arriving now contains, when `inFlight` are there now.
    unsigned ownInReport(std::uint32_t upstream, unsigned inFlight, TimePoint now) const;

    /// Smoothed latency of the answers; zero before the first.
    Duration latency() const;

    /// Share of the requests in flight that end within the time, which is also the share that starts in it. Zero
    /// without a known latency.
    double turnover(Duration time) const;

private:
    Duration delay() const;

    struct OwnChange
    {
        std::uint32_t upstream = 0;
        int change = 0;
        TimePoint at{};
    };
    std::deque<OwnChange> ownChanges;
    TimePoint lastReportAt{};
    /// Smoothed interval between reports, in seconds.
    double interval = 0.05;
    /// Smoothed latency in seconds; zero before the first sample.
    double smoothedLatency = 0;
};

} // namespace Verbenadock::Core::Internal

#endif
