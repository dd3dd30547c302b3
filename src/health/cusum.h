#ifndef VERBENADOCK_HEALTH_CUSUM_H
#define VERBENADOCK_HEALTH_CUSUM_H

#include "verbenadock/base/time.h"

#include <compare>

namespace Verbenadock::Health::Internal {

/// The two hypotheses of a sequential test on a rate of bad samples.
struct RateHypotheses
{
    /// Rate of a healthy upstream.
    double healthy = 0.01;
    /// Rate that has to be detected.
    double unhealthy = 0.3;

    auto operator<=>(const RateHypotheses &) const = default;
};

/// Log-likelihood ratio of a number of bad and good samples, in nats; positive values favour the unhealthy rate.
double logLikelihoodRatio(const RateHypotheses &rates, double bad, double good);

/// Page's CUSUM test on a series of good and bad samples.
///
/// Usage: add() each sample; compare evidence() with the logarithm of the required mean number of samples between two
/// false alarms.
class Cusum
{
public:
    /// Adds a sample. The sum is capped at the ceiling, so that a bounded number of successes clears a recovered
    /// upstream.
    void add(bool bad, const RateHypotheses &rates, double ceiling, TimePoint at);

    void reset();

    double evidence() const;

    /// Bad samples since the sum was last zero.
    unsigned badInRun() const;
    unsigned goodInRun() const;
    TimePoint runStart() const;

private:
    double sum = 0;
    unsigned bad = 0;
    unsigned good = 0;
    TimePoint start{};
};

} // namespace Verbenadock::Health::Internal

#endif
