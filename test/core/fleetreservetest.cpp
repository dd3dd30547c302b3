#include "sessionbuilder.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

constexpr unsigned Reserve = 60;

Bundles::Service serviceWithReserve()
{
    auto service = makeService(8, 4);
    service.budgets = {.retryPercent = 15,
                       .hedgePercent = 3,
                       .retryReserve = 0,
                       .retryReservePerSecond = 0,
                       .tokenLimit = 2,
                       .coversAllAttempts = true,
                       .fleetReserve = Reserve,
                       .fleetWindow = std::chrono::seconds(10)};
    return service;
}

Reducer reducerWithReserve()
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(makeConfiguration(serviceWithReserve())));
    return reducer;
}

AttemptFailed reset(const StartAttempt &attempt, TimePoint time)
{
    return {.at = time, .request = attempt.request, .attempt = attempt.attempt, .cause = Health::Cause::Reset};
}

/// Sends one lookup whose first attempt is reset; returns whether a second one follows, and its report to the others.
std::pair<bool, std::size_t> secondAttempt(Reducer &reducer, RequestId request, TimePoint time)
{
    const auto first = only<StartAttempt>(reducer.apply(arrival(request, "GET", time)));
    REQUIRE(first.size() == 1);
    const auto effects = reducer.apply(reset(first.front(), time));
    const auto second = only<StartAttempt>(effects);
    for (const auto &attempt : second) {
        reducer.apply(AttemptCompleted{.at = time, .request = request, .attempt = attempt.attempt, .status = 200});
    }
    return {!second.empty(), only<ReportReserveUse>(effects).size()};
}

} // namespace

// Pattern: upstreams fail in one data centre, and each of its entries has sent a handful of requests only. With a
// budget of its own percentage, an entry with 0.6 lookups a second could send one of 11 failed lookups again.
TEST_CASE("an entry with few requests draws on the reserve of all entries and reports it")
{
    auto reducer = reducerWithReserve();
    std::size_t sent = 0;
    for (RequestId request = 1; request <= 5; ++request) {
        const auto [again, reports] = secondAttempt(reducer, request, at(static_cast<double>(request)));
        sent += again ? 1 : 0;
        CHECK(reports <= 1);
    }
    CHECK(sent == 5);
}

// The platform counts the attempts of all entries together.
TEST_CASE("an entry makes no further attempt when the others have used the reserve, until the window has passed")
{
    auto reducer = reducerWithReserve();
    for (unsigned use = 0; use < Reserve; ++use) {
        reducer.apply(ReserveUsed{.at = at(0), .bundle = "nalezeno", .service = "katalog"});
    }
    CHECK_FALSE(secondAttempt(reducer, 1, at(1)).first);
    CHECK(secondAttempt(reducer, 2, at(10'001)).first);
}

// Entries that are cut off from each other cannot count together.
TEST_CASE("one entry alone uses a sixth of the reserve at most")
{
    auto reducer = reducerWithReserve();
    std::size_t sent = 0;
    for (RequestId request = 1; request <= 200; ++request) {
        sent += secondAttempt(reducer, request, at(static_cast<double>(request))).second;
    }
    CHECK(sent == Reserve / 6);
}
