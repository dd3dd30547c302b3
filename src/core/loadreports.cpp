#include "loadreports.h"

#include <algorithm>
#include <chrono>

namespace Verbenadock::Core::Internal {

namespace {

using Seconds = std::chrono::duration<double>;

/// Reports closer to each other are parts of one summary.
constexpr Duration MinReportInterval = std::chrono::milliseconds(5);
/// Bounds of the interval between two reports. Hubs send a summary every 30 to 100 ms, and a hub itself gets single
/// reports more often; longer gaps occur while nothing changes.
constexpr Seconds ShortestInterval = std::chrono::milliseconds(10);
constexpr Seconds LongestInterval = std::chrono::milliseconds(300);
constexpr double NewestIntervalWeight = 0.1;
/// The next report may be late, but figures whose reports stop are replaced by zero within seconds.
constexpr double LongestWaitInIntervals = 1.5;
/// Entries report to their hub at a third of the interval of its summaries.
constexpr double ReportsPerSummary = 3;
/// Shortest delay of a report, which applies on a hub, where the interval does not tell it.
constexpr Duration ShortestDelay = std::chrono::milliseconds(10);
/// Reported values other than zero are repeated every second, and one datagram may be lost.
constexpr Duration ReportLifetime = std::chrono::milliseconds(2500);
constexpr double NewestLatencyWeight = 1.0 / 16;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

} // namespace

void LoadReports::noteReport(TimePoint now)
{
    const auto gap = now - this->lastReportAt;
    if (gap < MinReportInterval) {
        return;
    }
    if (this->lastReportAt != TimePoint{}) {
        const auto seconds = std::clamp(Seconds(gap), ShortestInterval, LongestInterval).count();
        this->interval += NewestIntervalWeight * (seconds - this->interval);
    }
    this->lastReportAt = now;
}

void LoadReports::noteOwnChange(std::uint32_t upstream, int change, TimePoint now)
{
    while (!this->ownChanges.empty() && now - this->ownChanges.front().at > LongestInterval) {
        this->ownChanges.pop_front();
    }
    this->ownChanges.push_back({.upstream = upstream, .change = change, .at = now});
}

void LoadReports::noteLatency(Duration latency)
{
    const auto seconds = Seconds(latency).count();
    const double weight = this->smoothedLatency > 0 ? NewestLatencyWeight : 1;
    this->smoothedLatency += weight * (seconds - this->smoothedLatency);
}

bool LoadReports::hearsOthers(TimePoint now) const
{
    return this->lastReportAt != TimePoint{} && now - this->lastReportAt <= ReportLifetime;
}

Duration LoadReports::delay() const
{
    return std::max(ShortestDelay, toDuration(this->interval / ReportsPerSummary));
}

Duration LoadReports::age(TimePoint now) const
{
    const auto longestWait = toDuration(LongestWaitInIntervals * this->interval);
    return std::clamp(now - this->lastReportAt, Duration(0), longestWait) + this->delay();
}

unsigned LoadReports::ownInReport(std::uint32_t upstream, unsigned inFlight, TimePoint now) const
{
    int own = static_cast<int>(inFlight);
    for (auto change = this->ownChanges.rbegin(); change != this->ownChanges.rend(); ++change) {
        if (now - change->at >= this->delay()) {
            break;
        }
        own -= change->upstream == upstream ? change->change : 0;
    }
    return static_cast<unsigned>(std::max(0, own));
}

Duration LoadReports::latency() const
{
    return toDuration(this->smoothedLatency);
}

double LoadReports::turnover(Duration time) const
{
    return this->smoothedLatency > 0 ? std::min(1.0, Seconds(time).count() / this->smoothedLatency) : 0;
}

} // namespace Verbenadock::Core::Internal
