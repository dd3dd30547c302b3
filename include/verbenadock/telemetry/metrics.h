#ifndef VERBENADOCK_TELEMETRY_METRICS_H
#define VERBENADOCK_TELEMETRY_METRICS_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Verbenadock::Telemetry {

/// Label names and values of one time series.
using Labels = std::map<std::string, std::string>;

/// Metric whose value only increases.
class Counter
{
public:
    void add(std::uint64_t amount = 1);
    std::uint64_t value() const;

private:
    std::uint64_t total = 0;
};

/// Metric whose value can increase and decrease.
class Gauge
{
public:
    void set(double newValue);
    double value() const;

private:
    double current = 0;
};

/// Distribution of durations in seconds, in logarithmic bins (Boost.Histogram).
class Histogram
{
public:
    Histogram();
    ~Histogram();
    Histogram(Histogram &&) noexcept;
    Histogram &operator=(Histogram &&) noexcept;

    void record(double seconds);
    std::uint64_t count() const;
    double sum() const;
    /// Upper edge of the bin that contains the quantile, in seconds; 0 if the histogram is empty. The fraction is in
    /// the range from 0 to 1.
    double quantile(double fraction) const;
    /// Samples in Prometheus text format, with cumulative buckets.
    std::string prometheusText(const std::string &name, const Labels &labels) const;

private:
    struct Bins;
    std::unique_ptr<Bins> bins;
};

/// All metrics of one process. References stay valid for the lifetime of the registry. Not thread-safe.
///
/// Usage: keep `Counter &answered = registry.counter("verbenadock_requests_total", "Requests by outcome.", {{"outcome",
/// "answered"}})` and add to it; serve prometheusText() at /metrics.
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();

    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    Histogram &histogram(const std::string &name, const std::string &help, const Labels &labels = {});

    /// All metrics in Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace Verbenadock::Telemetry

#endif
