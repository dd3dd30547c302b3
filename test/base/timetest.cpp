#include "verbenadock/base/time.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;

// Pattern: a VM was suspended for some seconds. Its connections had been closed, its deadlines and what it knew of
// others had run out, and by a clock that stood still it acted on all of them.
TEST_CASE("the monotonic clock counts the time in which the VM was suspended")
{
    timespec before{};
    ::clock_gettime(CLOCK_BOOTTIME, &before);
    const auto now = monotonicNow().time_since_epoch();
    timespec after{};
    ::clock_gettime(CLOCK_BOOTTIME, &after);
    const auto toDuration = [](const timespec &time) {
        return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::nanoseconds(time.tv_nsec));
    };
    CHECK(now >= toDuration(before));
    CHECK(now <= toDuration(after));
}

TEST_CASE("a timer never waits for a time that is over")
{
    CHECK(timeUntil(monotonicNow() - std::chrono::seconds(5)) == Duration(0));
    CHECK(timeUntil(monotonicNow() + std::chrono::seconds(5)) > std::chrono::seconds(4));
}
