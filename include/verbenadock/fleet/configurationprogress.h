#ifndef VERBENADOCK_FLEET_CONFIGURATIONPROGRESS_H
#define VERBENADOCK_FLEET_CONFIGURATIONPROGRESS_H

#include "verbenadock/base/storeposition.h"
#include "verbenadock/base/time.h"
#include "verbenadock/telemetry/metrics.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbenadock::Fleet {

/// Where records came from.
enum class RecordSource {
    Store,
    /// A page of another VM.
    Vm,
    /// A datagram of another VM.
    Datagram,
};

std::string_view toString(RecordSource source);

/// A configuration that came into force, with the times of its steps.
struct ConfigurationSteps
{
    std::uint64_t version = 0;
    RecordSource source = RecordSource::Store;
    /// Size of the record as it was written.
    std::size_t bytes = 0;
    TimePoint received;
    TimePoint decoded;
    TimePoint applied;

    auto operator<=>(const ConfigurationSteps &) const = default;
};

/// Measures how long a VM goes without the newest configuration that it heard of. Provides the metrics
/// verbenadock_configuration_version, verbenadock_configuration_behind and verbenadock_configuration_step_seconds.
class ConfigurationProgress
{
public:
    explicit ConfigurationProgress(Telemetry::MetricsRegistry &registry);

    /// Notes the end of the newest records that some VM or the store has. Returns whether this VM is behind only since
    /// this call.
    bool noteNewestEnd(const StorePosition &newest, const StorePosition &own, TimePoint now);

    /// Notes that this VM has read up to `own`. Returns whether this VM was behind until this call.
    bool noteOwnEnd(const StorePosition &own);

    /// Records the steps of a configuration and returns them as a log line. To be called before noteOwnEnd().
    std::string report(const ConfigurationSteps &steps);

    /// End of the newest records that this VM heard of.
    const StorePosition &newestEnd() const;

private:
    StorePosition newest;
    /// Time at which this VM heard of records that it does not have; empty if there are none.
    std::optional<TimePoint> behindSince;
    Telemetry::Gauge &version;
    Telemetry::Gauge &behind;
    Telemetry::Histogram &fetchTime;
    Telemetry::Histogram &decodeTime;
    Telemetry::Histogram &applyTime;
};

} // namespace Verbenadock::Fleet

#endif
