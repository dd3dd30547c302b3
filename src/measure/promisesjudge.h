#ifndef VERBENADOCK_MEASURE_PROMISESJUDGE_H
#define VERBENADOCK_MEASURE_PROMISESJUDGE_H

#include "faultschedule.h"
#include "promisestraffic.h"
#include "report.h"

namespace Verbenadock::Measure {

/// What there is to judge after a run.
struct Evidence
{
    std::vector<Call> calls;
    Test::Json executions;
    std::vector<Departure> departures;
    std::vector<GracefulStop> stops;
};

/// Compares what callers were told with what upstreams recorded. Writes one line to standard error for each broken
/// promise and for each claim with an unknown outcome.
void judge(const Evidence &evidence, Report &report);

} // namespace Verbenadock::Measure

#endif
