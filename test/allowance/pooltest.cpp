#include "verbenadock/allowance/allowancepool.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Allowance;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr Mesh::CustomerNumber Customer = 7;
constexpr Mesh::AllowanceParts Whole{.small = 1000, .large = 1000};

std::vector<std::string> vmNames(unsigned count)
{
    std::vector<std::string> names;
    for (unsigned number = 0; number < count; ++number) {
        names.push_back("vm-" + std::to_string(number));
    }
    return names;
}

AllowancePool makePool(unsigned vms, const Cap &cap, double slack = 0, const std::string &own = "vm-0")
{
    AllowancePool pool(own);
    pool.setVms(vmNames(vms), Start);
    pool.configure({{Customer, cap}}, slack, Start);
    return pool;
}

Mesh::AllowanceLoan loan(const std::string &vm,
                         std::uint64_t part,
                         std::uint64_t incarnation = 1,
                         std::uint64_t credit = 1)
{
    return {.vm = vm, .incarnation = incarnation, .parts = {.small = part, .large = part}, .credit = credit};
}

/// Takes all whole tokens.
std::uint64_t drain(AllowancePool &pool, TimePoint now)
{
    return pool.take(Customer, 1'000'000, now).tokens;
}

} // namespace

// A process does not know what its predecessor used, so that full buckets at the start would double the burst.
TEST_CASE("a pool starts with its part of the slack and 0.2 s of the rate, and fills up to its part of the burst")
{
    auto pool = makePool(1, {.requestsPerSecond = 10, .burst = 20}, 20);
    CHECK(drain(pool, Start) == 0);
    pool.setOwnParts(Whole, 1, Start);
    CHECK(drain(pool, Start) == 11);
    CHECK(drain(pool, Start + 1s) == 10);
    CHECK(drain(pool, Start + 1min) == 29);
}

// The conversion of more tokens than an integer can hold gave zero, which refused all requests of the customer.
TEST_CASE("a cap far above any load grants requests")
{
    auto pool = makePool(1, {.requestsPerSecond = 1e25, .burst = 1e25});
    pool.setOwnParts(Whole, 1, Start);
    CHECK(pool.take(Customer, 1, Start + 1min).tokens == 1);
}

// A VM keeps each granted token in memory until it expires.
TEST_CASE("a hub grants no more tokens at once than a VM can use in their lifetime")
{
    auto pool = makePool(3, {.requestsPerSecond = 1e9, .burst = 1e9});
    pool.setOwnParts(Whole, 1, Start);
    const auto granted
        = pool.handle(Mesh::AllowanceRequest{.vm = "vm-1", .number = 1, .customer = Customer}, Start + 1min);
    CHECK(granted.tokens > 0);
    CHECK(granted.tokens <= 1000);
}

// Guards against a share that is used after its loan has ended, and against initial tokens that are given twice.
TEST_CASE("a loan feeds the hub until it ends, and gives initial tokens once")
{
    auto pool = makePool(2, {.requestsPerSecond = 20, .burst = 100}, 40);
    pool.handle(loan("vm-1", 1000), Start);
    CHECK(drain(pool, Start) == 11);
    pool.handle(loan("vm-1", 1000), Start + 1s);
    CHECK(drain(pool, Start + 1s) == 10);
    // Ends 1.5 s after the last receipt; its tokens end with it.
    pool.handle(loan("vm-1", 1000), Start + 2s);
    CHECK(pool.lenderCount(Start + 3s) == 1);
    CHECK(pool.take(Customer, 1, Start + 3499ms).tokens == 1);
    CHECK(pool.lenderCount(Start + 3500ms) == 0);
    CHECK(drain(pool, Start + 3500ms) == 0);
    // The same credit is not given again after a gap, a new one is.
    pool.handle(loan("vm-1", 1000), Start + 10s);
    CHECK(drain(pool, Start + 10s) == 0);
    pool.handle(loan("vm-1", 500, 1, 2), Start + 10s);
    CHECK(drain(pool, Start + 10s) == 5);
    pool.handle(loan("vm-1", 1000, 1, 2), Start + 10s);
    CHECK(drain(pool, Start + 10s) == 6);
    pool.handle(loan("vm-1", 1000, 1, 0), Start + 10s);
    CHECK(drain(pool, Start + 10s) == 0);
}

// A datagram of the process before a restart may arrive after the first of the new one.
TEST_CASE("a loan of an earlier process of a VM does not replace that of a later one")
{
    auto pool = makePool(2, {.requestsPerSecond = 20, .burst = 100});
    pool.handle(loan("vm-1", 500, 2), Start);
    pool.handle(loan("vm-1", 1000, 1), Start);
    CHECK(drain(pool, Start + 1s) == 6);
}

// Guards against a bucket that keeps the tokens of an earlier cap.
TEST_CASE("a lowered cap takes effect at once, and a removed one ends")
{
    auto pool = makePool(1, {.requestsPerSecond = 10, .burst = 50});
    pool.setOwnParts(Whole, 1, Start);
    pool.configure({{Customer, {.requestsPerSecond = 1, .burst = 3}}}, 0, Start + 10s);
    CHECK(drain(pool, Start + 10s) == 3);
    CHECK(drain(pool, Start + 12s) == 2);
    pool.configure({}, 0, Start + 12s);
    CHECK_FALSE(pool.isCapped(Customer));
    CHECK_FALSE(pool.hasCaps());
    CHECK(pool.take(Customer, 1, Start + 1min) == AllowancePool::Answer{});
}

// Refused callers that all return when the next token is due are refused again, except one.
TEST_CASE("a refusal tells when a token is due, later for each caller")
{
    auto pool = makePool(1, {.requestsPerSecond = 10, .burst = 10});
    pool.setOwnParts(Whole, 1, Start);
    const Mesh::AllowanceRequest request{.vm = "vm-1", .number = 5, .customer = Customer};
    CHECK(drain(pool, Start) == 2);
    const auto first = pool.handle(request, Start);
    CHECK(first.tokens == 0);
    CHECK(first.number == 5);
    CHECK(first.retryAfter == 100ms);
    CHECK(pool.handle(request, Start).retryAfter == 200ms);
    CHECK(pool.handle(request, Start).retryAfter == 300ms);
    CHECK(pool.handle(request, Start + 100ms).tokens == 1);
    // A customer that this VM does not know, or of which it holds nothing, is no refusal for lack of tokens.
    CHECK(pool.handle({.vm = "vm-1", .number = 6, .customer = 8}, Start).retryAfter == Duration(0));
    pool.setOwnParts({}, 1, Start + 1s);
    CHECK(pool.handle(request, Start + 1s).retryAfter == Duration(0));
}

// Guards against returned tokens that are lost, or that exceed the burst.
TEST_CASE("a token that is given back is granted again, up to the capacity")
{
    auto pool = makePool(1, {.requestsPerSecond = 1, .burst = 2});
    pool.setOwnParts(Whole, 1, Start);
    CHECK(pool.take(Customer, 1, Start + 10s).tokens == 1);
    pool.giveBack(Customer, Start + 10s);
    pool.giveBack(Customer, Start + 10s);
    CHECK(drain(pool, Start + 10s) == 2);
}

// A whole token on each of 121 isolated VMs would be many times the burst.
TEST_CASE("isolated VMs hold no more whole tokens together than the cap allows")
{
    for (const double burst : {1.0, 3.0, 11.0, 60.0}) {
        std::uint64_t tokens = 0;
        std::uint64_t later = 0;
        for (const auto &name : vmNames(121)) {
            auto pool = makePool(121, {.requestsPerSecond = 4, .burst = burst}, 0, name);
            pool.setOwnParts(Whole, 1, Start);
            tokens += drain(pool, Start + 1h);
            for (auto now = Start + 1h; now < Start + 1h + 100s; now += 10ms) {
                later += drain(pool, now);
            }
        }
        CAPTURE(burst);
        CHECK(tokens == static_cast<std::uint64_t>(burst));
        // 400 tokens accrue in 100 s. Each bucket may still hold a part, and a full one loses what accrues until it is
        // asked.
        CHECK(later <= 400);
        CHECK(later >= 370 - 2 * static_cast<std::uint64_t>(burst));
    }
}

// If all VMs stop together, each hears all others leave while it still serves requests.
TEST_CASE("the share of a VM grows only long after others left, and falls at once when others join")
{
    auto pool = makePool(10, {.requestsPerSecond = 100, .burst = 100});
    pool.setOwnParts(Whole, 1, Start);
    CHECK(drain(pool, Start + 1s) == 10);
    pool.setVms(vmNames(1), Start + 1s);
    CHECK(drain(pool, Start + 2s) == 10);
    CHECK(pool.vmCount() == 10);
    CHECK(drain(pool, Start + 40s) <= 100);
    CHECK(pool.vmCount() == 1);
    pool.setVms(vmNames(100), Start + 50s);
    CHECK(pool.vmCount() == 100);
    CHECK(drain(pool, Start + 50s) == 1);
}

// Guards against a VM that takes its share for the whole cap.
TEST_CASE("a VM that does not know the others holds nothing")
{
    AllowancePool pool("vm-0");
    pool.configure({{Customer, {.requestsPerSecond = 100, .burst = 100}}}, 20, Start);
    pool.setOwnParts(Whole, 1, Start);
    CHECK(drain(pool, Start + 1min) == 0);
}
