#include "cusum.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Health::Internal {

double logLikelihoodRatio(const RateHypotheses &rates, double bad, double good)
{
    return bad * std::log(rates.unhealthy / rates.healthy)
           + good * std::log((1 - rates.unhealthy) / (1 - rates.healthy));
}

void Cusum::add(bool isBad, const RateHypotheses &rates, double ceiling, TimePoint at)
{
    const double step = logLikelihoodRatio(rates, isBad ? 1 : 0, isBad ? 0 : 1);
    if (this->sum + step <= 0) {
        this->reset();
        return;
    }
    if (this->sum == 0) {
        this->start = at;
    }
    this->sum = std::min(this->sum + step, ceiling);
    if (isBad) {
        ++this->bad;
    } else {
        ++this->good;
    }
}

void Cusum::reset()
{
    *this = Cusum();
}

double Cusum::evidence() const
{
    return this->sum;
}

unsigned Cusum::badInRun() const
{
    return this->bad;
}

unsigned Cusum::goodInRun() const
{
    return this->good;
}

TimePoint Cusum::runStart() const
{
    return this->start;
}

} // namespace Verbenadock::Health::Internal
