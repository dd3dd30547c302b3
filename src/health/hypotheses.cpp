#include "hypotheses.h"

#include <algorithm>

namespace Verbenadock::Health::Internal {

namespace {

constexpr double SickSlowRate = 0.5;
// Weight of the healthy rate against the siblings' samples, in samples.
constexpr double PriorSamples = 4;
// The sick rate is at least this multiple of the siblings' rate.
constexpr double SickRatio = 4;
constexpr double MaxSickRate = 0.95;

} // namespace

RateHypotheses failureRates(double healthy, double wanted)
{
    const double bounded = std::clamp(healthy, HealthyFailureRate, MaxSickRate - 0.01);
    return {.healthy = bounded, .sick = std::clamp(std::max(wanted, SickRatio * bounded), bounded + 0.01, MaxSickRate)};
}

RateHypotheses slowRates(double healthy)
{
    const double bounded = std::clamp(healthy, HealthySlowRate, MaxSickRate - 0.01);
    return {.healthy = bounded, .sick = std::clamp(std::max(SickSlowRate, 2 * bounded), bounded + 0.01, MaxSickRate)};
}

double smoothedRate(const Tally &tally, double prior)
{
    return (tally.bad + prior * PriorSamples) / (tally.all + PriorSamples);
}

} // namespace Verbenadock::Health::Internal
