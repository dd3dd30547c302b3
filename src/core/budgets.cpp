#include "budgets.h"

#include <algorithm>
#include <utility>

namespace Verbenadock::Core::Internal {

namespace {

/// Samples needed before the estimates are used.
constexpr std::uint64_t MinSampleCount = 20;
/// The longest latency is that of the last one to two windows of this many samples.
constexpr unsigned LongestWindowSamples = 128;
/// Smallest relative step of the estimate; it follows a change by a factor of 2 in about 70 samples.
constexpr double MinRelativeStep = 0.02;

/// Lower bound of the hedge delay as a multiple of the median.
constexpr double MinHedgeFactor = 3;
/// Upper bound of the quantile term as a multiple of the median, since one slow upstream can raise the high quantile.
constexpr double MaxHedgeFactor = 6;
constexpr double HighQuantileFactor = 1.2;
/// Shorter delays would let scheduling jitter trigger hedges.
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(5);

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

AttemptBudget::AttemptBudget(const Settings &newSettings)
    : settings(newSettings)
    , tokens(newSettings.reserve)
{
}

void AttemptBudget::configure(const Settings &newSettings)
{
    this->settings = newSettings;
}

void AttemptBudget::deposit()
{
    this->tokens = std::min(this->settings.tokenLimit, this->tokens + this->settings.percent / 100);
}

bool AttemptBudget::take(TimePoint now)
{
    // Zero percent disables further attempts including the reserve.
    if (this->settings.percent <= 0) {
        return false;
    }
    const double seconds = std::chrono::duration<double>(now - this->refilledAt).count();
    this->refilledAt = now;
    if (this->tokens < this->settings.reserve) {
        this->tokens
            = std::min(this->settings.reserve, this->tokens + std::max(0.0, seconds) * this->settings.reservePerSecond);
    }
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

double AttemptBudget::available() const
{
    return this->tokens;
}

QuantileEstimate::QuantileEstimate(double targetQuantile)
    : quantile(targetQuantile)
{
}

void QuantileEstimate::add(Duration latency)
{
    const auto sample = static_cast<double>(std::max<Duration::rep>(1, latency.count()));
    ++this->samples;
    if (this->samples == 1) {
        this->estimate = sample;
        return;
    }
    const double step = std::max(MinRelativeStep, 1.0 / static_cast<double>(this->samples));
    const double direction = sample > this->estimate ? this->quantile : this->quantile - 1;
    this->estimate = std::max(1.0, this->estimate * (1 + step * direction));
}

Duration QuantileEstimate::value() const
{
    return Duration(static_cast<Duration::rep>(this->estimate));
}

std::uint64_t QuantileEstimate::count() const
{
    return this->samples;
}

void LatencyTracker::add(Duration latency)
{
    this->median.add(latency);
    this->highQuantile.add(latency);
    if (this->windowSamples == LongestWindowSamples) {
        this->longestBefore = std::exchange(this->longestInWindow, Duration(0));
        this->windowSamples = 0;
    }
    ++this->windowSamples;
    this->longestInWindow = std::max(this->longestInWindow, latency);
}

bool LatencyTracker::hasEnoughSamples() const
{
    return this->median.count() >= MinSampleCount;
}

Duration LatencyTracker::typical() const
{
    return this->hasEnoughSamples() ? this->median.value() : Duration(0);
}

Duration LatencyTracker::longest() const
{
    return this->hasEnoughSamples() ? std::max(this->longestInWindow, this->longestBefore) : Duration(0);
}

Duration LatencyTracker::hedgeDelay() const
{
    if (!this->hasEnoughSamples()) {
        return Duration(0);
    }
    const auto typicalLatency = this->median.value();
    const auto late
        = std::min(scaled(this->highQuantile.value(), HighQuantileFactor), scaled(typicalLatency, MaxHedgeFactor));
    return std::max({MinHedgeDelay, scaled(typicalLatency, MinHedgeFactor), late});
}

} // namespace Verbenadock::Core::Internal
