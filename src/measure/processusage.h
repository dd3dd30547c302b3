#ifndef VERBENADOCK_MEASURE_PROCESSUSAGE_H
#define VERBENADOCK_MEASURE_PROCESSUSAGE_H

#include "verbenadock/base/time.h"

#include <sys/types.h>

#include <compare>
#include <cstdint>

namespace Verbenadock::Measure {

/// What a process has used since its start, as the kernel counts it.
struct ProcessUsage
{
    /// User and system time together, in steps of 10 ms.
    Duration cpuTime{0};
    std::uint64_t residentBytes = 0;

    auto operator<=>(const ProcessUsage &) const = default;
};

/// Throws Error when there is no such process.
ProcessUsage processUsage(pid_t process);

} // namespace Verbenadock::Measure

#endif
