#include "member.h"

#include <algorithm>
#include <cmath>

namespace Verbenadock::Health::Internal {

namespace {

// Step of the median estimate, as a natural logarithm: follows a change of latency by a factor of 3 within 11 samples.
constexpr double LogStep = 0.1;
constexpr unsigned MinSamples = 3;

} // namespace

void TypicalLatency::add(Duration latency)
{
    const double logLatency = std::log(static_cast<double>(std::max<Duration::rep>(latency.count(), 1)));
    if (this->samples == 0) {
        this->logMicroseconds = logLatency;
    } else {
        const double distance = logLatency - this->logMicroseconds;
        this->logMicroseconds += std::clamp(distance, -LogStep, LogStep);
    }
    ++this->samples;
}

std::optional<double> TypicalLatency::logValue() const
{
    if (this->samples < MinSamples) {
        return std::nullopt;
    }
    return this->logMicroseconds;
}

} // namespace Verbenadock::Health::Internal
