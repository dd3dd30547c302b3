#ifndef VERBENADOCK_HEALTH_SERVICEDETECTOR_H
#define VERBENADOCK_HEALTH_SERVICEDETECTOR_H

#include "verbenadock/base/time.h"
#include "verbenadock/health/sample.h"

#include <compare>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbenadock::Health {

/// Parameters of the detector for one service.
struct DetectorSettings
{
    double samplesBetweenFalseAlarms = 10000;
    double failureRate = 0.3;
    double slowFactor = 2.5;
    double floorPercent = 70;
    /// Time between an ejection and the first recovery trial; doubles with each relapse up to longestEjection.
    Duration firstEjection = std::chrono::seconds(2);
    Duration longestEjection = std::chrono::minutes(5);
    /// Multiple of the ejection time after which an upstream leaves Trial for SlowStart without successful trials. A
    /// service without idempotent requests has no trial samples, so that its upstreams would never recover otherwise.
    unsigned trialPatience = 5;
    /// Pooled verdicts alone decide on the recovery of an upstream, without trials of this entry.
    bool poolDecides = false;

    auto operator<=>(const DetectorSettings &) const = default;
};

/// Configured capacity of an upstream.
struct UpstreamCapacity
{
    std::string id;
    unsigned slots = 1;

    auto operator<=>(const UpstreamCapacity &) const = default;
};

/// Health state of an upstream in the detector of one entry.
enum class HealthState {
    Healthy,
    Ejected,
    /// Gets single idempotent requests.
    Trial,
    /// Gets a rising share of requests.
    SlowStart,
    /// Judged unhealthy, but kept in use because ejection would take the slots in use below the floor.
    HeldByFloor,
};

std::string_view toString(HealthState state);

/// Change of the health state of an upstream.
struct HealthTransition
{
    std::string upstream;
    HealthState from = HealthState::Healthy;
    HealthState to = HealthState::Healthy;
    /// The last failure before the transition; Success without one.
    Cause cause = Cause::Success;

    auto operator<=>(const HealthTransition &) const = default;
};

/// Requests that an upstream may get at present.
struct Admission
{
    /// False for ejected and leaving upstreams.
    bool allowed = true;
    /// True when only idempotent requests are allowed, one at a time.
    bool trialOnly = false;
    /// Share of the slots that may be used, 0 to 1.
    double share = 1;
    /// True for an ejected upstream that is not leaving: admitted for a request that would be rejected otherwise.
    bool lastResort = false;

    auto operator<=>(const Admission &) const = default;
};

/// Verdict on pooled evidence of the fleet.
struct PooledVerdict
{
    std::string upstream;
    bool sick = false;
    /// Share of the usual requests for a healthy upstream, 0 to 1. Zero admits only trials with idempotent requests.
    double share = 1;

    auto operator<=>(const PooledVerdict &) const = default;
};

/// State of one upstream, for state dumps.
struct UpstreamReport
{
    std::string upstream;
    HealthState state = HealthState::Healthy;
    /// Evidence against the upstream, in nats; the sequential test raises an alarm at `threshold`.
    double evidence = 0;
    double threshold = 0;
    /// Time in this state; zero when the state has never changed.
    Duration age{0};
    unsigned relapses = 0;

    auto operator<=>(const UpstreamReport &) const = default;
};

/// Passive outlier detection among the upstreams of one service, on the outcomes of real requests.
///
/// Usage: call record() for each outcome, then evaluate(), and apply the transitions; check admission() before an
/// attempt.
class ServiceDetector
{
public:
    ServiceDetector(DetectorSettings settings, std::vector<UpstreamCapacity> upstreams);
    ~ServiceDetector();
    ServiceDetector(ServiceDetector &&) noexcept;
    ServiceDetector &operator=(ServiceDetector &&) noexcept;

    /// Replaces settings and upstreams; upstreams that remain keep their state.
    void reconfigure(DetectorSettings settings, std::vector<UpstreamCapacity> upstreams);

    /// Adds one outcome. Outcomes of unknown upstreams are ignored.
    void record(const std::string &upstream, const Sample &sample);

    /// Records a request whose answer is overdue, as a slow sample. Without these samples an upstream that hangs
    /// would be detected only when the first request times out.
    void recordOverdue(const std::string &upstream, TimePoint now);

    /// Sets the leaving upstreams, which do not count as capacity in use.
    void setLeaving(const std::vector<std::string> &upstreams);

    /// Applies verdicts on pooled evidence.
    void applyPooled(const std::vector<PooledVerdict> &verdicts, TimePoint now);

    /// Updates the state of each upstream; returns the transitions since the last call in the order of the upstreams.
    std::vector<HealthTransition> evaluate(TimePoint now);

    /// Next time at which evaluate() may change a state without new samples.
    std::optional<TimePoint> nextDeadline() const;

    /// Requests that the upstream may get now; none for an unknown upstream.
    Admission admission(const std::string &upstream, TimePoint now) const;

    std::vector<UpstreamReport> report(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Health

#endif
