#include "sessionbuilder.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

Reducer configuredReducer(Bundles::Service service)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(makeConfiguration(std::move(service))));
    return reducer;
}

StartAttempt started(Reducer &reducer, RequestId request, const std::string &method, double time)
{
    const auto attempts = only<StartAttempt>(reducer.apply(arrival(request, method, at(time))));
    REQUIRE(attempts.size() == 1);
    return attempts.front();
}

AttemptFailed failure(const StartAttempt &attempt, Health::Cause cause, double time, bool nothingWritten = false)
{
    return AttemptFailed{.at = at(time),
                         .request = attempt.request,
                         .attempt = attempt.attempt,
                         .cause = cause,
                         .nothingWritten = nothingWritten};
}

AttemptCompleted answer(const StartAttempt &attempt, unsigned status, double time, bool notRun = false)
{
    return AttemptCompleted{
        .at = at(time), .request = attempt.request, .attempt = attempt.attempt, .status = status, .notRun = notRun};
}

} // namespace

// Guards against an idempotent request that fails although another upstream could answer it.
TEST_CASE("an idempotent request is retried at another upstream after a reset")
{
    auto reducer = configuredReducer(makeService(2, 1));
    const auto first = started(reducer, 1, "GET", 1);
    const auto retried = only<StartAttempt>(reducer.apply(failure(first, Health::Cause::Reset, 2)));
    REQUIRE(retried.size() == 1);
    CHECK(retried.front().upstream != first.upstream);
    const auto effects = reducer.apply(answer(retried.front(), 200, 3));
    CHECK(only<ForwardAnswer>(effects) == std::vector{ForwardAnswer{.request = 1, .attempt = 2}});
}

// Guards against running a claim twice: a reset proves nothing.
TEST_CASE("a non-idempotent request that may have run is answered as unknown")
{
    auto reducer = configuredReducer(makeService(2, 1));
    const auto attempt = started(reducer, 1, "POST", 1);
    CHECK(attempt.policy == ConnectionPolicy::ProvenAlive);
    const auto effects = reducer.apply(failure(attempt, Health::Cause::Reset, 2));
    CHECK(only<StartAttempt>(effects).empty());
    const auto answers = only<RespondLocally>(effects);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 504);
    CHECK(answers.front().outcome == Outcome::Unknown);
    CHECK(answers.front().refusal == Refusal::OutcomeUnknown);
}

// Guards against refusing a claim that another upstream could run safely.
TEST_CASE("a non-idempotent request goes elsewhere on proof that it was not run")
{
    auto reducer = configuredReducer(makeService(2, 1));
    const auto attempt = started(reducer, 1, "POST", 1);
    Effects effects;
    SECTION("refused")
    {
        effects = reducer.apply(failure(attempt, Health::Cause::Refused, 2));
    }
    SECTION("nothing written")
    {
        effects = reducer.apply(failure(attempt, Health::Cause::SilentConnection, 2, true));
    }
    SECTION("said so")
    {
        effects = reducer.apply(answer(attempt, 503, 2, true));
    }
    const auto retried = only<StartAttempt>(effects);
    REQUIRE(retried.size() == 1);
    CHECK(retried.front().upstream != attempt.upstream);
}
