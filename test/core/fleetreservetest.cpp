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

/// Sends a lookup whose first attempt is reset. Returns whether a retry follows, and the number of reserve reports.
std::pair<bool, std::size_t> retryAfterReset(Reducer &reducer, RequestId request, TimePoint time)
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

// Guards against failed lookups without a retry when upstreams fail in one data centre and each entry there has few
// requests. With a percentage budget alone, an entry with 0.6 lookups per second could retry one of 11 failed lookups.
TEST_CASE("an entry with few requests uses the fleet reserve and reports each use")
{
    auto reducer = reducerWithReserve();
    std::size_t retries = 0;
    for (RequestId request = 1; request <= 5; ++request) {
        const auto [retried, reports] = retryAfterReset(reducer, request, at(static_cast<double>(request)));
        retries += retried ? 1 : 0;
        CHECK(reports <= 1);
    }
    CHECK(retries == 5);
}

// Guards against more attempts than the platform allows, which counts those of all entries together.
TEST_CASE("an entry makes no retry while other entries have used up the reserve within the window")
{
    auto reducer = reducerWithReserve();
    for (unsigned use = 0; use < Reserve; ++use) {
        reducer.apply(ReserveUsed{.at = at(0), .bundle = "nalezeno", .service = "katalog"});
    }
    CHECK_FALSE(retryAfterReset(reducer, 1, at(1)).first);
    CHECK(retryAfterReset(reducer, 2, at(10'001)).first);
}

// Guards against overuse of the reserve by entries that are partitioned and receive no reports from each other.
TEST_CASE("a single entry uses at most a sixth of the reserve")
{
    auto reducer = reducerWithReserve();
    std::size_t retries = 0;
    for (RequestId request = 1; request <= 200; ++request) {
        retries += retryAfterReset(reducer, request, at(static_cast<double>(request))).second;
    }
    CHECK(retries == Reserve / 6);
}
