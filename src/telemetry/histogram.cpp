#include "prometheus.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Verbenadock::Telemetry {

namespace {

namespace bh = boost::histogram;

constexpr double LowestSeconds = 10e-6;
constexpr double HighestSeconds = 100;
// 7 decades with 20 bins each. A bin is 12% wide, which bounds the error of a quantile.
constexpr int BinCount = 140;
// Only every fifth edge is exported: 28 buckets per series keep the /metrics page small.
constexpr int BinsPerBucket = 5;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<std::uint64_t>;
using BinCounts = bh::histogram<std::tuple<Axis>, Storage>;

} // namespace

struct Histogram::Bins
{
    BinCounts counts = bh::make_histogram_with(Storage(), Axis(BinCount, LowestSeconds, HighestSeconds));
    std::uint64_t count = 0;
    double sum = 0;
    double largest = 0;
};

Histogram::Histogram()
    : bins(std::make_unique<Bins>())
{
}

Histogram::~Histogram() = default;
Histogram::Histogram(Histogram &&) noexcept = default;
Histogram &Histogram::operator=(Histogram &&) noexcept = default;

void Histogram::record(double seconds)
{
    // A clock that jumps back may give a negative duration, which has no logarithm and so no bin; count it as zero.
    const double value = std::max(seconds, 0.0);
    this->bins->counts(value);
    ++this->bins->count;
    this->bins->sum += value;
    this->bins->largest = std::max(this->bins->largest, value);
}

std::uint64_t Histogram::count() const
{
    return this->bins->count;
}

double Histogram::sum() const
{
    return this->bins->sum;
}

double Histogram::quantile(double fraction) const
{
    if (this->bins->count == 0) {
        return 0;
    }
    const auto rank = std::max(1.0, std::ceil(std::clamp(fraction, 0.0, 1.0) * double(this->bins->count)));
    std::uint64_t cumulative = 0;
    // Bin -1 is the underflow bin.
    for (int bin = -1; bin < BinCount; ++bin) {
        cumulative += this->bins->counts.at(bin);
        if (double(cumulative) >= rank) {
            return this->bins->counts.axis().value(bin + 1);
        }
    }
    return this->bins->largest;
}

std::string Histogram::prometheusText(const std::string &name, const Labels &labels) const
{
    std::string text;
    const auto bucket = [&](double edge, std::uint64_t cumulative) {
        Labels bucketLabels = labels;
        bucketLabels["le"] = std::isinf(edge) ? "+Inf" : internal::numberText(edge);
        text += name + "_bucket" + internal::labelText(bucketLabels) + " " + std::to_string(cumulative) + "\n";
    };
    std::uint64_t cumulative = this->bins->counts.at(-1);
    for (int bin = 0; bin < BinCount; ++bin) {
        cumulative += this->bins->counts.at(bin);
        if ((bin + 1) % BinsPerBucket == 0) {
            bucket(this->bins->counts.axis().value(bin + 1), cumulative);
        }
    }
    bucket(std::numeric_limits<double>::infinity(), this->bins->count);
    text += name + "_sum" + internal::labelText(labels) + " " + internal::numberText(this->bins->sum) + "\n";
    text += name + "_count" + internal::labelText(labels) + " " + std::to_string(this->bins->count) + "\n";
    return text;
}

} // namespace Verbenadock::Telemetry
