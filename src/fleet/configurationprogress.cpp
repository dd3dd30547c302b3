#include "verbenadock/fleet/configurationprogress.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Verbenadock::Fleet {

namespace {

Telemetry::Histogram &stepHistogram(Telemetry::MetricsRegistry &registry, const std::string &step)
{
    return registry.histogram("verbenadock_configuration_step_seconds",
                              "Time from hearing of a configuration until it was in force, by step.",
                              {{"step", step}});
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

std::string_view toString(RecordSource source)
{
    switch (source) {
    case RecordSource::Store:
        return "store";
    case RecordSource::Vm:
        return "vm";
    case RecordSource::Datagram:
        return "datagram";
    }
    return "unknown";
}

ConfigurationProgress::ConfigurationProgress(Telemetry::MetricsRegistry &registry)
    : version(registry.gauge("verbenadock_configuration_version", "Version of the configuration in force."))
    , behind(registry.gauge("verbenadock_configuration_behind",
                            "1 while this VM knows of a newer configuration that it does not have."))
    , fetchTime(stepHistogram(registry, "fetch"))
    , decodeTime(stepHistogram(registry, "decode"))
    , applyTime(stepHistogram(registry, "apply"))
{
}

bool ConfigurationProgress::noteNewestEnd(const StorePosition &newestKnown, const StorePosition &own, TimePoint now)
{
    this->newest = std::max(this->newest, newestKnown);
    if (this->behindSince || this->newest <= own) {
        return false;
    }
    this->behindSince = now;
    this->behind.set(1);
    return true;
}

bool ConfigurationProgress::noteOwnEnd(const StorePosition &own)
{
    if (this->newest > own) {
        return false;
    }
    this->newest = own;
    this->behind.set(0);
    return std::exchange(this->behindSince, std::nullopt).has_value();
}

std::string ConfigurationProgress::report(const ConfigurationSteps &steps)
{
    // A VM that reads the store hears of a configuration with the record itself.
    const auto fetching = this->behindSince ? steps.received - *this->behindSince : Duration(0);
    const auto decoding = steps.decoded - steps.received;
    const auto applying = steps.applied - steps.decoded;
    this->version.set(static_cast<double>(steps.version));
    this->fetchTime.record(seconds(fetching));
    this->decodeTime.record(seconds(decoding));
    this->applyTime.record(seconds(applying));
    return "configuration_steps version=" + std::to_string(steps.version)
           + " source=" + std::string(toString(steps.source)) + " bytes=" + std::to_string(steps.bytes) + " fetch_ms="
           + milliseconds(fetching) + " decode_ms=" + milliseconds(decoding) + " apply_ms=" + milliseconds(applying);
}

const StorePosition &ConfigurationProgress::newestEnd() const
{
    return this->newest;
}

} // namespace Verbenadock::Fleet
