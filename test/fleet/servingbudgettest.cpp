#include "verbenadock/fleet/servingbudget.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Fleet;
using namespace std::chrono_literals;

namespace {

/// A configuration of 640 KB, compressed.
constexpr std::size_t PageBytes = 60'000;

int servedOf(int requests, double linkMbps, TimePoint now = TimePoint{1s})
{
    ServingBudget budget(linkMbps);
    int served = 0;
    for (int request = 0; request < requests; ++request) {
        served += budget.take(PageBytes, now) ? 1 : 0;
    }
    return served;
}

} // namespace

// Guards against a weak reader that sends a long configuration to 42 VMs over a link of 10 Mbit/s at the same moment,
// so that none of them has it before its time-out.
TEST_CASE("a VM sends long pages to as many others as its link carries in time")
{
    CHECK(servedOf(42, 10) == 8);
    CHECK(servedOf(16, 13) == 10);
    CHECK(servedOf(42, 200) == 42);
    CHECK(servedOf(58, 1000) == 58);
}

TEST_CASE("a VM sends long pages again once its link has carried the ones before")
{
    ServingBudget budget(10);
    const TimePoint start{1s};
    while (budget.take(PageBytes, start)) { }
    CHECK_FALSE(budget.take(PageBytes, start + 10ms));
    CHECK(budget.take(PageBytes, start + 50ms));
    CHECK_FALSE(budget.take(PageBytes, start + 51ms));
    CHECK(budget.take(PageBytes, start + 1s));
}

TEST_CASE("short pages, and all pages of a VM with an unknown link, are always sent")
{
    ServingBudget thin(0.1);
    for (int request = 0; request < 100; ++request) {
        CHECK(thin.take(1000, TimePoint{1s}));
    }
    CHECK(servedOf(1000, 0) == 1000);
}

// Guards against a VM that never gives its configuration to anybody because its link is slow.
TEST_CASE("one long page is sent over any link")
{
    CHECK(servedOf(3, 0.1) == 1);
}
