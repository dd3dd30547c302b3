#ifndef VERBENADOCK_MEASURE_STATELOG_H
#define VERBENADOCK_MEASURE_STATELOG_H

#include "harness/fleet.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Measure {

/// Time of the wall clock, which all processes of a measurement share.
using WallTime = std::chrono::sys_time<std::chrono::microseconds>;

WallTime wallNow();

/// One change of an upstream's stage at one entry.
struct StageChange
{
    WallTime at;
    std::string vm;
    std::string upstream;
    std::string from;
    std::string to;
    std::string cause;

    auto operator<=>(const StageChange &) const = default;
};

/// Whether the entry judges the upstream sick in this stage, held in use by the floor or not.
bool isSick(const std::string &stage);

/// Changes that the entries of all VMs have logged, in order of time.
std::vector<StageChange> readStageChanges(const Test::Fleet &fleet);

/// Whether a fault explains an ejection.
using Expectation = std::function<bool(const StageChange &)>;

/// Unexpected ejections of upstreams in use, those in the ramp included; several within a few seconds at one upstream
/// count once.
std::uint64_t countFalseEjections(const std::vector<StageChange> &changes, const Expectation &expected);

/// Unexpected failures of recovery trials, each at each entry.
std::uint64_t countFalseRelapses(const std::vector<StageChange> &changes, const Expectation &expected);

/// How often the upstreams in use at an entry fell below the floor.
std::uint64_t countFloorViolations(const std::vector<StageChange> &changes,
                                   const Test::Fleet &fleet,
                                   double floorPercent);

} // namespace Verbenadock::Measure

#endif
