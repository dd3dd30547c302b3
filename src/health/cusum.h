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
    /// Rate that has to be found.
    double sick = 0.3;

    auto operator<=>(const RateHypotheses &) const = default;
};

/// Log-likelihood ratio, in nats, of a number of bad and good samples: positive speaks for the sick rate.
double logLikelihoodRatio(const RateHypotheses &rates, double bad, double good);

/// Page's cumulative sum test on a series of good and bad samples.
///
/// Usage: add() each sample; compare evidence() with the logarithm of the wanted mean number of samples between two
/// false alarms.
class Cusum
{
public:
    /// The sum never exceeds the ceiling, so that a recovered upstream is cleared by a bounded number of successes.
    void add(bool bad, const RateHypotheses &rates, double ceiling, TimePoint at);

    void reset();

    double evidence() const;

    /// Samples since the sum last was zero.
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
