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
    /// First wait between an ejection and the recovery trials; it doubles with each relapse.
    Duration firstEjection = std::chrono::seconds(2);
    Duration longestEjection = std::chrono::minutes(5);
    /// A service without idempotent requests gives no trial samples; its upstreams go to the ramp after this multiple
    /// of the wait, since they would otherwise be lost for good.
    unsigned trialPatience = 5;
    /// An upstream recovers as the pooled verdicts say, without trials of this entry.
    bool poolDecides = false;

    auto operator<=>(const DetectorSettings &) const = default;
};

/// What the detector knows of an upstream from the configuration.
struct UpstreamCapacity
{
    std::string id;
    unsigned slots = 1;

    auto operator<=>(const UpstreamCapacity &) const = default;
};

/// Stages of an upstream.
enum class HealthState {
    Healthy,
    Ejected,
    /// Gets single idempotent requests.
    Trial,
    /// Gets a rising share of requests.
    Ramp,
    /// Judged sick, but kept in use because of the floor.
    HeldByFloor,
};

std::string_view toString(HealthState state);

/// A change of an upstream's stage.
struct HealthTransition
{
    std::string upstream;
    HealthState from = HealthState::Healthy;
    HealthState to = HealthState::Healthy;
    /// The most frequent failure behind an ejection.
    Cause cause = Cause::Success;

    auto operator<=>(const HealthTransition &) const = default;
};

/// How much work an upstream may get now.
struct Admission
{
    /// False for ejected and leaving upstreams.
    bool allowed = true;
    /// True when only idempotent requests are allowed, one at a time.
    bool trialOnly = false;
    /// Share of the slots that may be used, 0 to 1.
    double share = 1;
    /// True for an ejected upstream that is not leaving: a request that would be rejected otherwise may try it.
    bool lastResort = false;

    auto operator<=>(const Admission &) const = default;
};

/// A verdict that the agents reached on pooled evidence.
struct PooledVerdict
{
    std::string upstream;
    bool sick = false;
    /// Share of the usual work that an upstream that is not sick gets. Zero admits trials with idempotent requests.
    double share = 1;

    auto operator<=>(const PooledVerdict &) const = default;
};

/// State of one upstream for dumps.
struct UpstreamReport
{
    std::string upstream;
    HealthState state = HealthState::Healthy;
    /// Evidence against the upstream, in nats; an alarm is raised at `threshold`.
    double evidence = 0;
    double threshold = 0;
    /// Time in this stage; zero when the stage has never changed.
    Duration age{0};
    unsigned relapses = 0;

    auto operator<=>(const UpstreamReport &) const = default;
};

/// Judges the upstreams of one service against each other on real work.
///
/// Usage: record() each outcome, then evaluate() and act on the transitions; ask admission() before an attempt.
class ServiceDetector
{
public:
    ServiceDetector(DetectorSettings settings, std::vector<UpstreamCapacity> upstreams);
    ~ServiceDetector();
    ServiceDetector(ServiceDetector &&) noexcept;
    ServiceDetector &operator=(ServiceDetector &&) noexcept;

    /// Takes over new settings and upstreams; upstreams that stay keep their state.
    void reconfigure(DetectorSettings settings, std::vector<UpstreamCapacity> upstreams);

    /// Adds one outcome. Outcomes of unknown upstreams are ignored.
    void record(const std::string &upstream, const Sample &sample);

    /// Adds the outcome of a request that has waited for its answer much longer than usual and still waits. Without it,
    /// an upstream that hangs would be noticed only when the first request times out.
    void recordOverdue(const std::string &upstream, TimePoint now);

    /// Marks the upstreams that leave; they do not count as healthy capacity.
    void setLeaving(const std::vector<std::string> &upstreams);

    /// Takes over verdicts that were reached on pooled evidence.
    void applyPooled(const std::vector<PooledVerdict> &verdicts, TimePoint now);

    /// Moves upstreams between stages; returns the changes since the last call in a fixed order.
    std::vector<HealthTransition> evaluate(TimePoint now);

    /// The next time at which evaluate() may change a stage without new samples.
    std::optional<TimePoint> nextDeadline() const;

    /// What the upstream may get at this moment.
    Admission admission(const std::string &upstream, TimePoint now) const;

    std::vector<UpstreamReport> report(TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Verbenadock::Health

#endif
