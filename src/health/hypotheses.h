#ifndef VERBENADOCK_HEALTH_HYPOTHESES_H
#define VERBENADOCK_HEALTH_HYPOTHESES_H

#include "cusum.h"
#include "recentsamples.h"

namespace Verbenadock::Health::Internal {

/// A healthy upstream may fail this often without being suspected; it also keeps the ratios finite.
constexpr double HealthyFailureRate = 0.01;
/// Latencies vary more than results, so more slow answers are tolerated.
constexpr double HealthySlowRate = 0.05;

RateHypotheses failureRates(double healthy, double wanted);
RateHypotheses slowRates(double healthy);

/// Rate of bad samples, drawn towards the prior while there are few samples.
double smoothedRate(const Tally &tally, double prior);

} // namespace Verbenadock::Health::Internal

#endif
