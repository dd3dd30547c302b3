#ifndef VERBENADOCK_CORE_BUDGETS_H
#define VERBENADOCK_CORE_BUDGETS_H

#include "verbenadock/base/time.h"

#include <cstdint>

namespace Verbenadock::Core::Internal {

/// Bounds extra attempts to a fraction of a service's requests. A small reserve refills with time, so that a service
/// with few requests can still retry.
///
/// Usage: deposit() for each request; take() before each extra attempt.
class AttemptBudget
{
public:
    AttemptBudget() = default;
    struct Settings
    {
        /// Tokens per hundred requests.
        double percent = 0;
        double reserve = 0;
        double reservePerSecond = 0;
        /// Unused tokens that are kept.
        double tokenLimit = 0;
    };

    explicit AttemptBudget(const Settings &newSettings);

    void configure(const Settings &newSettings);

    void deposit();

    /// Takes one token when there is one.
    bool take(TimePoint now);

    double available() const;

private:
    Settings settings;
    double tokens = 0;
    TimePoint refilledAt{};
};

/// Follows one quantile of a stream of latencies with constant memory.
///
/// Usage: add() each latency; value() is meaningful once count() is large enough.
class QuantileEstimate
{
public:
    explicit QuantileEstimate(double targetQuantile);

    void add(Duration latency);

    Duration value() const;
    std::uint64_t count() const;

private:
    double quantile;
    double estimate = 0;
    std::uint64_t samples = 0;
};

/// Typical latency of a service and the time after which an answer is much later than typical.
class LatencyTracker
{
public:
    void add(Duration latency);

    /// Median, or zero while too few answers were seen.
    Duration typical() const;

    /// Wait before a second attempt, or zero while too few answers were seen.
    Duration hedgeDelay() const;

private:
    bool hasEnoughSamples() const;

    QuantileEstimate median{0.5};
    QuantileEstimate highQuantile{0.95};
};

} // namespace Verbenadock::Core::Internal

#endif
