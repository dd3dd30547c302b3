#ifndef VERBENADOCK_HEALTH_HYPOTHESES_H
#define VERBENADOCK_HEALTH_HYPOTHESES_H

#include "cusum.h"
#include "recentsamples.h"

namespace Verbenadock::Health::Internal {

/// Failure rate that is tolerated in a healthy upstream; above zero, so that likelihood ratios stay finite.
constexpr double HealthyFailureRate = 0.01;
/// Slow rate that is tolerated; higher than HealthyFailureRate, because latencies vary more than outcomes.
constexpr double HealthySlowRate = 0.05;

RateHypotheses failureRates(double healthy, double detectable);
RateHypotheses slowRates(double healthy);

/// Rate of bad samples, smoothed towards the prior while there are few samples.
double smoothedRate(const Tally &tally, double prior);

} // namespace Verbenadock::Health::Internal

#endif
