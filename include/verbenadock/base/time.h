#ifndef VERBENADOCK_BASE_TIME_H
#define VERBENADOCK_BASE_TIME_H

#include <algorithm>
#include <chrono>
#include <ctime>

namespace Verbenadock {

/// Resolution of all times inside the system, in microseconds.
using Duration = std::chrono::microseconds;

/// The monotonic clock that also counts the time in which the VM was suspended (CLOCK_BOOTTIME). With one that stands
/// still meanwhile, a VM would wake up with leases, deadlines and proofs that ran out long ago.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, Duration>;

    static time_point now()
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                               + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

/// A point of the monotonic clock. Reducers never read a clock: each event carries its time.
using TimePoint = MonotonicClock::time_point;

/// Milliseconds as a floating-point number, for reports.
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Reads the monotonic clock. Only hosts of reducers call it.
inline TimePoint monotonicNow()
{
    return MonotonicClock::now();
}

/// How long a timer has to wait, since timers of the event loop stand still in a suspended VM; zero when it is over.
inline Duration timeUntil(TimePoint at)
{
    return std::max(Duration(0), at - monotonicNow());
}

} // namespace Verbenadock

#endif
