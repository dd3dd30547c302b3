#include "hypotheses.h"

#include <algorithm>

namespace Verbenadock::Health::Internal {

namespace {

constexpr double UnhealthySlowRate = 0.5;
// Weight of the prior rate, in samples of the siblings.
constexpr double PriorSamples = 4;
// Minimum ratio of the unhealthy failure rate to the failure rate of the siblings.
constexpr double MinUnhealthyRatio = 4;
constexpr double MaxUnhealthyRate = 0.95;

} // namespace

RateHypotheses failureRates(double healthy, double detectable)
{
    const double bounded = std::clamp(healthy, HealthyFailureRate, MaxUnhealthyRate - 0.01);
    return {.healthy = bounded,
            .unhealthy
            = std::clamp(std::max(detectable, MinUnhealthyRatio * bounded), bounded + 0.01, MaxUnhealthyRate)};
}

RateHypotheses slowRates(double healthy)
{
    const double bounded = std::clamp(healthy, HealthySlowRate, MaxUnhealthyRate - 0.01);
    return {.healthy = bounded,
            .unhealthy = std::clamp(std::max(UnhealthySlowRate, 2 * bounded), bounded + 0.01, MaxUnhealthyRate)};
}

double smoothedRate(const Tally &tally, double prior)
{
    return (tally.bad + prior * PriorSamples) / (tally.all + PriorSamples);
}

} // namespace Verbenadock::Health::Internal
