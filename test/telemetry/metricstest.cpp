#include "verbenadock/telemetry/metrics.h"

#include <catch2/catch.hpp>

using namespace Verbenadock::Telemetry;
using Catch::Matchers::Contains;

// Guards against output that Prometheus rejects: wrong TYPE lines, unescaped label values, duplicate series.
TEST_CASE("counters and gauges are written in Prometheus text format")
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests by \\ outcome.", {{"outcome", "a\"b\\c\nd"}}).add(3);
    registry.counter("requests_total", "Requests by \\ outcome.", {{"outcome", "a\"b\\c\nd"}}).add();
    registry.counter("requests_total", "Requests by \\ outcome.", {{"outcome", "x"}}).add();
    registry.gauge("slots", "Free slots.").set(-1.5);

    CHECK(registry.prometheusText()
          == "# HELP requests_total Requests by \\\\ outcome.\n"
             "# TYPE requests_total counter\n"
             "requests_total{outcome=\"a\\\"b\\\\c\\nd\"} 4\n"
             "requests_total{outcome=\"x\"} 1\n"
             "# HELP slots Free slots.\n"
             "# TYPE slots gauge\n"
             "slots -1.5\n");
}

// Guards against two parts of a process that register the same name with different types and hide each other's values.
TEST_CASE("a metric name cannot be registered with a second type")
{
    MetricsRegistry registry;
    registry.counter("name", "A counter.");
    CHECK_THROWS_AS(registry.gauge("name", "A gauge."), std::logic_error);
}

// Guards against a histogram that under-reports latency: a quantile is never below the true value, nor more than 13%
// above it.
TEST_CASE("a quantile is the upper edge of a bin that is less than 13% wide")
{
    Histogram histogram;
    CHECK(histogram.quantile(0.5) == 0);
    for (int millisecond = 1; millisecond <= 1000; ++millisecond) {
        histogram.record(millisecond / 1000.0);
    }
    for (const double fraction : {0.01, 0.5, 0.99, 1.0}) {
        INFO("fraction: " << fraction);
        CHECK(histogram.quantile(fraction) >= fraction * 0.9999);
        CHECK(histogram.quantile(fraction) <= fraction * 1.13);
    }
    CHECK(histogram.sum() == Approx(500.5));
}

// Guards against samples outside the range of the bins that are not counted.
TEST_CASE("durations outside the range of the bins are counted")
{
    Histogram histogram;
    histogram.record(-1);
    histogram.record(1e-7);
    histogram.record(250);
    CHECK(histogram.count() == 3);
    CHECK(histogram.quantile(0.5) == Approx(10e-6));
    CHECK(histogram.quantile(1) == 250);
}

TEST_CASE("the buckets of a histogram are cumulative and end with the count")
{
    MetricsRegistry registry;
    auto &histogram = registry.histogram("latency_seconds", "Latency.", {{"service", "katalog"}});
    histogram.record(1e-7);
    histogram.record(0.002);
    histogram.record(250);
    const auto text = registry.prometheusText();
    CHECK_THAT(text, Contains("# TYPE latency_seconds histogram\n"));
    CHECK_THAT(text, Contains("latency_seconds_bucket{le=\"+Inf\",service=\"katalog\"} 3\n"));
    CHECK_THAT(text, Contains("latency_seconds_count{service=\"katalog\"} 3\n"));
    CHECK_THAT(text, Contains("latency_seconds_sum{service=\"katalog\"} 250.002"));
    std::size_t buckets = 0;
    for (auto position = text.find("_bucket"); position != std::string::npos;
         position = text.find("_bucket", position + 1)) {
        ++buckets;
    }
    CHECK(buckets == 29);
}
