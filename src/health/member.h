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
    /// The verdict on pooled evidence.
    bool pooledSick = false;
    /// Share of the usual work that the verdict allows.
    double pooledShare = 1;
    HealthState state = HealthState::Healthy;
    /// The stage that evaluate() knew last, from which it reports a change.
    HealthState reported = HealthState::Healthy;
    Cusum failures{};
    Cusum slowness{};
    /// Requests in the run of slowness that still waited for their answer when they were counted.
    unsigned overdueInRun = 0;
    TypicalLatency typicalLatency{};
    /// Share of bad samples, newer ones weighing more; orders sick upstreams at the floor.
    double badness = 0;
    Cause lastFailure = Cause::Success;
    TimePoint since{};
    /// When a recovery trial starts, or ends without a sample.
    TimePoint deadline{};
    unsigned relapses = 0;
    unsigned trialSuccesses = 0;

    /// Whether the verdict admits trials only.
    bool pooledTrial() const
    {
        return this->state == HealthState::Healthy && this->pooledShare <= 0;
    }

    bool sick() const
    {
        return this->state == HealthState::Ejected || this->state == HealthState::HeldByFloor;
    }

    /// Whether the slots of the upstream count as capacity in use.
    bool inUse() const
    {
        const bool outOfUse = this->state == HealthState::Ejected || this->state == HealthState::Trial;
        return !this->leaving && !outOfUse && !this->pooledTrial();
    }
};

} // namespace Verbenadock::Health::Internal

#endif
