#ifndef VERBENADOCK_MEASURE_DETECTIONFIGURES_H
#define VERBENADOCK_MEASURE_DETECTIONFIGURES_H

#include "episode.h"
#include "report.h"

namespace Verbenadock::Measure {

/// What became of one episode.
struct EpisodeResult
{
    FaultKind kind = FaultKind::Total;
    /// From the start of the fault to the start of the last request by a VM that had not yet ejected the upstream.
    double detectionMs = 0;
    std::uint64_t harmed = 0;
    /// Some VM still sent new work in the second half of the episode and never judged the upstream sick.
    bool missed = false;
    /// Per VM that ejected, from the end of the fault to its first share of usual work.
    std::vector<double> readmissionMs;
};

/// Judges an episode by the upstreams' records of executions and the entries' changes of stage.
EpisodeResult judgeEpisode(const Episode &episode,
                           const Test::Json &executions,
                           const std::vector<StageChange> &changes,
                           const Test::Fleet &fleet);

/// Adds the figures over all episodes, and those of each kind with its prefix.
void addDetectionFigures(Report &report, const std::vector<EpisodeResult> &results);

/// Value below which the fraction (0 to 1) of the values stays; zero when there is none.
double quantile(std::vector<double> values, double fraction);

} // namespace Verbenadock::Measure

#endif
