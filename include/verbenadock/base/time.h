#ifndef VERBENADOCK_BASE_TIME_H
#define VERBENADOCK_BASE_TIME_H

#include <chrono>

namespace Verbenadock {

/// Resolution of all times inside the system, in microseconds.
using Duration = std::chrono::microseconds;

/// A point of the monotonic clock. Reducers never read a clock: each event carries its time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Milliseconds as a floating-point number, for reports.
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Reads the monotonic clock. Only hosts of reducers call it.
inline TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace Verbenadock

#endif
