#ifndef VERBENADOCK_HEALTH_MEMBER_H
#define VERBENADOCK_HEALTH_MEMBER_H

#include "cusum.h"
#include "verbenadock/health/servicedetector.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace Verbenadock::Health::Internal {

/// Running estimate of the median latency, on a logarithmic scale.
class TypicalLatency
{
public:
    void add(Duration latency);
    /// Natural logarithm of the microseconds; absent until a few samples were added.
    std::optional<double> logValue() const;

private:
    double logMicroseconds = 0;
    unsigned samples = 0;
};

/// State of one upstream in the detector.
struct Member
{
    std::uint32_t number = 0;
    std::string id;
    unsigned slots = 1;
    bool leaving = false;
    /// Latest verdict on pooled evidence.
    bool pooledUnhealthy = false;
    /// Share of the usual requests that the verdict allows, 0 to 1.
    double pooledShare = 1;
    HealthState state = HealthState::Healthy;
    /// State at the last evaluate(), which reports a transition from this state to the current one.
    HealthState reportedState = HealthState::Healthy;
    Cusum failures{};
    Cusum slowness{};
    /// Overdue requests among the bad samples of the current run of `slowness`.
    unsigned overdueInRun = 0;
    TypicalLatency typicalLatency{};
    /// Exponentially weighted share of bad samples; orders unhealthy upstreams at the floor.
    double badShare = 0;
    Cause lastFailure = Cause::Success;
    TimePoint since{};
    /// End of the current state unless samples end it earlier; used in Ejected, Trial and SlowStart.
    TimePoint deadline{};
    unsigned relapses = 0;
    unsigned trialSuccesses = 0;

    /// Whether the pooled verdict admits trials only.
    bool isPooledTrial() const
    {
        return this->state == HealthState::Healthy && this->pooledShare <= 0;
    }

    bool isUnhealthy() const
    {
        return this->state == HealthState::Ejected || this->state == HealthState::HeldByFloor;
    }

    /// Whether the slots of the upstream count as capacity in use.
    bool isInUse() const
    {
        const bool outOfUse = this->state == HealthState::Ejected || this->state == HealthState::Trial;
        return !this->leaving && !outOfUse && !this->isPooledTrial();
    }
};

} // namespace Verbenadock::Health::Internal

#endif
