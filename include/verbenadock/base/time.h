#ifndef VERBENADOCK_BASE_TIME_H
#define VERBENADOCK_BASE_TIME_H

#include <algorithm>
#include <chrono>
#include <ctime>

namespace Verbenadock {

/// Type of all durations inside the system, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock that also advances while the VM is suspended (CLOCK_BOOTTIME). With a clock that stops meanwhile, a
/// resumed VM would treat expired leases, deadlines and proofs as valid.
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

/// Time on the monotonic clock. Reducers never read a clock; each event carries its time.
using TimePoint = MonotonicClock::time_point;

/// Duration in milliseconds with fractions, for reports.
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Reads the monotonic clock. Only hosts of reducers may call this function.
inline TimePoint monotonicNow()
{
    return MonotonicClock::now();
}

/// Remaining time until a deadline, or zero if it has passed. Timers need it as their delay, since timers of the event
/// loop do not advance while the VM is suspended.
inline Duration timeUntil(TimePoint deadline)
{
    return std::max(Duration(0), deadline - monotonicNow());
}

} // namespace Verbenadock

#endif
