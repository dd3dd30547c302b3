#include "heldbytes.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Proxy::internal;

// Guards against bytes that stay counted after they were freed, so that the limit is reached for good.
TEST_CASE("held bytes are counted by kind until their holder ends")
{
    const auto account = std::make_shared<HeldBytes>();
    account->setLimit(100);
    {
        HeldCharge answer(account, HeldKind::Callers);
        HeldCharge body(account, HeldKind::Upstreams);
        answer.set(60);
        body.set(39);
        CHECK(account->held(HeldKind::Callers) == 60);
        CHECK(account->held(HeldKind::Upstreams) == 39);
        CHECK_FALSE(account->exhausted());
        body.set(40);
        CHECK(account->exhausted());
        answer.set(10);
        CHECK(account->total() == 50);
        CHECK_FALSE(account->exhausted());
    }
    CHECK(account->total() == 0);
}

// Guards against an entry without a limit that refuses work.
TEST_CASE("a limit of 0 is never reached, and a changed limit holds at once")
{
    HeldBytes account;
    account.add(HeldKind::Callers, std::size_t(1) << 40U);
    CHECK_FALSE(account.exhausted());
    account.setLimit(1);
    CHECK(account.exhausted());
}

// Guards against small bodies that exceed the limit without bound, and against their refusal just at the limit.
TEST_CASE("small bodies are admitted until the limit is exceeded by a quarter")
{
    HeldBytes account;
    account.setLimit(100);
    account.add(HeldKind::Upstreams, 99);
    CHECK(account.admitsBody(SmallBodyBytes + 1));
    account.add(HeldKind::Callers, 26);
    CHECK_FALSE(account.admitsBody(SmallBodyBytes + 1));
    CHECK(account.admitsBody(SmallBodyBytes));
    CHECK(account.admitsBody(std::nullopt));
    account.add(HeldKind::Callers, 1);
    CHECK_FALSE(account.admitsBody(1));
    CHECK_FALSE(account.admitsBody(std::nullopt));
    CHECK(account.admitsBody(0));
}

// Guards against an upstream that gets more bodies than it can hold, and against one that gets no large body at all.
TEST_CASE("the bodies in transit to one upstream are bounded, except small ones and one alone")
{
    const auto account = std::make_shared<HeldBytes>();
    const Endpoint first{.address = "10.0.0.1", .port = 1};
    const Endpoint second{.address = "10.0.0.2", .port = 1};
    CHECK(account->admitsTransit(first, 10 * MaxTransitBytes));
    TransitCharge charge(account, first);
    charge.add(MaxTransitBytes - SmallBodyBytes - 1);
    CHECK(account->admitsTransit(first, SmallBodyBytes + 1));
    CHECK_FALSE(account->admitsTransit(first, SmallBodyBytes + 2));
    CHECK_FALSE(account->admitsTransit(first, 10 * MaxTransitBytes));
    CHECK(account->admitsTransit(first, SmallBodyBytes));
    CHECK(account->admitsTransit(second, MaxTransitBytes));
    charge.clear();
    CHECK(account->inTransit(first) == 0);
    CHECK(account->admitsTransit(first, MaxTransitBytes));
}
