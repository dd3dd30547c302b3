#include "verbenadock/fleet/configurationprogress.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace std::chrono_literals;

// Guards against late configurations whose lateness no log line or metric attributes to a step.
TEST_CASE("the time without a configuration is reported by step, from when the VM first heard of it")
{
    Telemetry::MetricsRegistry registry;
    ConfigurationProgress progress(registry);
    const TimePoint start{100s};
    CHECK(progress.noteNewestEnd({.offset = 3}, {.offset = 2}, start));
    CHECK_FALSE(progress.noteNewestEnd({.offset = 4}, {.offset = 2}, start + 100ms));
    CHECK(registry.prometheusText().find("verbenadock_configuration_behind 1") != std::string::npos);
    const auto line = progress.report({.version = 9,
                                       .source = RecordSource::Vm,
                                       .bytes = 1000,
                                       .received = start + 400ms,
                                       .decoded = start + 430ms,
                                       .applied = start + 450ms});
    CHECK(line == "configuration_steps version=9 source=vm bytes=1000 fetch_ms=400 decode_ms=30 apply_ms=20");
    CHECK_FALSE(progress.noteOwnEnd({.offset = 3}));
    CHECK(registry.prometheusText().find("verbenadock_configuration_behind 1") != std::string::npos);
    CHECK(progress.noteOwnEnd({.offset = 4}));
    CHECK_FALSE(progress.noteOwnEnd({.offset = 5}));
    CHECK(registry.prometheusText().find("verbenadock_configuration_behind 0") != std::string::npos);
    CHECK(registry.prometheusText().find("verbenadock_configuration_version 9") != std::string::npos);
}

TEST_CASE("a VM that hears of nothing newer than it has is not behind")
{
    Telemetry::MetricsRegistry registry;
    ConfigurationProgress progress(registry);
    CHECK_FALSE(progress.noteNewestEnd({.offset = 3}, {.offset = 3}, TimePoint{1s}));
    CHECK_FALSE(progress.noteNewestEnd({.era = 0, .offset = 9}, {.era = 1, .offset = 2}, TimePoint{1s}));
    CHECK(progress.noteNewestEnd({.era = 1, .offset = 3}, {.era = 1, .offset = 2}, TimePoint{1s}));
    CHECK(progress.newestEnd() == StorePosition{.era = 1, .offset = 3});
}
