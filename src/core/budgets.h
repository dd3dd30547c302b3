#ifndef VERBENADOCK_CORE_BUDGETS_H
#define VERBENADOCK_CORE_BUDGETS_H

#include "verbenadock/base/time.h"

#include <cstdint>

namespace Verbenadock::Core::Internal {

/// Token bucket that bounds further attempts to a fraction of a service's requests. A small reserve refills with time,
/// so that a service with few requests can still retry.
///
/// Usage: deposit() for each request; take() before each further attempt.
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
        /// Upper bound of unused tokens.
        double tokenLimit = 0;
    };

    explicit AttemptBudget(const Settings &newSettings);

    void configure(const Settings &newSettings);

    void deposit();

    /// Takes one token; returns false when there is none.
    bool take(TimePoint now);

    double available() const;

private:
    Settings settings;
    double tokens = 0;
    TimePoint refilledAt{};
};

/// Streaming estimate of one quantile of latencies with constant memory.
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

/// Median and longest latency of a service, and the delay after which a request is hedged.
class LatencyTracker
{
public:
    void add(Duration latency);

    /// Median, or zero without enough samples.
    Duration typical() const;

    /// Longest of the recent latencies, or zero without enough samples.
    Duration longest() const;

    /// Delay before a hedge, or zero without enough samples.
    Duration hedgeDelay() const;

private:
    bool hasEnoughSamples() const;

    QuantileEstimate median{0.5};
    QuantileEstimate highQuantile{0.95};
    /// Longest latencies of the current and of the previous window of samples.
    Duration longestInWindow{0};
    Duration longestBefore{0};
    unsigned windowSamples = 0;
};

} // namespace Verbenadock::Core::Internal

#endif
