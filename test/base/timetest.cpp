#include "verbenadock/base/time.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;

// Guards against a VM that uses stale state after it was suspended for some seconds. Its connections were closed and
// its deadlines and its knowledge of other VMs had expired, but a clock that stops during suspension does not show
// this.
TEST_CASE("the monotonic clock advances while the VM is suspended")
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

TEST_CASE("the time until a deadline that has passed is zero")
{
    CHECK(timeUntil(monotonicNow() - std::chrono::seconds(5)) == Duration(0));
    CHECK(timeUntil(monotonicNow() + std::chrono::seconds(5)) > std::chrono::seconds(4));
}
