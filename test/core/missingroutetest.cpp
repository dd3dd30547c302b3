// Requests for which the configuration in force has no route.
#include "sessionbuilder.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

Reducer makeReducer(bool confirmsConfiguration = true)
{
    Reducer reducer(ReducerSettings{
        .dataCentre = "a", .seed = 7, .requestLimit = 1000, .confirmsConfiguration = confirmsConfiguration});
    reducer.apply(configure(makeConfiguration(makeService(2, 4))));
    return reducer;
}

RespondLocally answerWithoutRoute(Reducer &reducer, RequestId request, double time)
{
    auto event = arrival(request, "GET", at(time));
    event.host = "unknown.example";
    event.method = "PURGE";
    const auto answers = only<RespondLocally>(reducer.apply(event));
    REQUIRE(answers.size() == 1);
    return answers.front();
}

} // namespace

// Guards against callers that are told that a route does not exist by an entry that has not got the configuration with
// the route yet.
TEST_CASE("a request without a route gets 404 only while the configuration is confirmed as the newest one")
{
    auto reducer = makeReducer();
    CHECK(answerWithoutRoute(reducer, 1, 0).status == 503);
    reducer.apply(ConfigurationConfirmed{.at = at(1000)});
    CHECK(answerWithoutRoute(reducer, 2, 1001).status == 404);
    CHECK(answerWithoutRoute(reducer, 3, 2499).status == 404);
    const auto outdated = answerWithoutRoute(reducer, 4, 2501);
    CHECK(outdated.status == 503);
    CHECK(outdated.outcome == Outcome::NotRun);
    CHECK(outdated.refusal == RejectionReason::ConfigurationOutdated);
    CHECK(outdated.retryAfter > Duration(0));
}

// Guards against the same answer in the time between hearing of a newer configuration and having it.
TEST_CASE("a request without a route gets 503 from when a newer configuration is known until it is in force")
{
    auto reducer = makeReducer();
    reducer.apply(ConfigurationConfirmed{.at = at(0)});
    reducer.apply(ConfigurationSuperseded{.at = at(100)});
    CHECK(answerWithoutRoute(reducer, 1, 101).status == 503);
    reducer.apply(ConfigurationSuperseded{.at = at(200), .superseded = false});
    CHECK(answerWithoutRoute(reducer, 2, 201).status == 404);
    reducer.apply(ConfigurationSuperseded{.at = at(300)});
    reducer.apply(ConfigurationConfirmed{.at = at(400)});
    CHECK(answerWithoutRoute(reducer, 3, 401).status == 404);
}

TEST_CASE("a request without a route gets 404 where nobody confirms configurations")
{
    auto reducer = makeReducer(false);
    CHECK(answerWithoutRoute(reducer, 1, 60'000).status == 404);
}
