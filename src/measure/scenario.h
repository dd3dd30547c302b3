#ifndef VERBENADOCK_MEASURE_SCENARIO_H
#define VERBENADOCK_MEASURE_SCENARIO_H

#include "report.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Verbenadock::Measure {

/// What the command line sets for every scenario.
struct ScenarioOptions
{
    std::uint64_t seed = 1;
    /// "nalezeno" or "moka".
    std::string deployment = "nalezeno";
    /// Folder of the programs to measure.
    std::string programDirectory;
    /// Folder for plots.
    std::string outputDirectory;

    auto operator<=>(const ScenarioOptions &) const = default;
};

/// Each runs a scenario with real processes and returns its figures.
Report measurePath(const ScenarioOptions &options);
Report measureControl(const ScenarioOptions &options);
Report measurePromises(const ScenarioOptions &options);
Report measureOverload(const ScenarioOptions &options);
Report measureDetection(const ScenarioOptions &options);
Report measureHealthy(const ScenarioOptions &options);
Report measureBundle(const ScenarioOptions &options);

} // namespace Verbenadock::Measure

#endif
