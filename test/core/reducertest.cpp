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

// Guards against an idempotent request that fails although its only upstream answers on new connections, and against
// trying that upstream without end.
TEST_CASE("a stale connection is replaced once by a fresh one to the same upstream when there is no other")
{
    auto reducer = configuredReducer(makeService(1, 1));
    const auto first = started(reducer, 1, "GET", 1);
    CHECK(first.policy == ConnectionPolicy::Reuse);
    const auto second = only<StartAttempt>(reducer.apply(failure(first, Health::Cause::StaleConnection, 2)));
    REQUIRE(second.size() == 1);
    CHECK(second.front().upstream == first.upstream);
    CHECK(second.front().policy == ConnectionPolicy::Fresh);
    const auto effects = reducer.apply(failure(second.front(), Health::Cause::StaleConnection, 3));
    CHECK(only<StartAttempt>(effects).empty());
    CHECK(only<RespondLocally>(effects).size() == 1);
}

// Guards against a second attempt over a pooled connection that was silenced together with the first.
TEST_CASE("a stale connection leads to a fresh one at another upstream when there is one")
{
    auto reducer = configuredReducer(makeService(2, 1));
    const auto first = started(reducer, 1, "GET", 1);
    const auto second = only<StartAttempt>(reducer.apply(failure(first, Health::Cause::StaleConnection, 2)));
    REQUIRE(second.size() == 1);
    CHECK(second.front().upstream != first.upstream);
    CHECK(second.front().policy == ConnectionPolicy::Fresh);
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
        effects = reducer.apply(failure(attempt, Health::Cause::StaleConnection, 2, true));
    }
    SECTION("said so")
    {
        effects = reducer.apply(answer(attempt, 503, 2, true));
    }
    const auto retried = only<StartAttempt>(effects);
    REQUIRE(retried.size() == 1);
    CHECK(retried.front().upstream != attempt.upstream);
}

// Guards against a retry storm: extra attempts stay within the reserve of three when nothing else is earned.
TEST_CASE("retries after work that may have run stay within the budget")
{
    auto service = makeService(4, 8);
    service.budgets.retryPercent = 0.001;
    auto reducer = configuredReducer(service);
    std::size_t retries = 0;
    for (RequestId request = 1; request <= 10; ++request) {
        const auto attempt = started(reducer, request, "GET", 1);
        retries += only<StartAttempt>(reducer.apply(failure(attempt, Health::Cause::Malformed, 1))).size();
    }
    CHECK(retries == 3);
}

// Guards against sending the rest of an upload as if it were the whole.
TEST_CASE("a streamed body is sent again only when nothing of it was written")
{
    auto reducer = configuredReducer(makeService(3, 1));
    auto upload = arrival(1, "GET", at(1));
    upload.bodyBytes.reset();
    const auto first = only<StartAttempt>(reducer.apply(upload)).at(0);
    const auto second = only<StartAttempt>(reducer.apply(failure(first, Health::Cause::Reset, 2, true))).at(0);
    const auto answers = only<RespondLocally>(reducer.apply(answer(second, 503, 3, true)));
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().outcome == Outcome::NotRun);
}

// Guards against queued requests that wait past their deadline or overtake more important ones.
TEST_CASE("queued requests go by priority and are refused at their deadline")
{
    auto configuration = makeConfiguration(makeService(1, 1));
    configuration.bundles.front().routes.push_back(
        Bundles::Route{.method = "PUT", .service = "katalog", .priority = Bundles::Priority::High});
    Reducer reducer(ReducerSettings{});
    reducer.apply(configure(configuration));
    const auto first = started(reducer, 1, "GET", 1);
    CHECK(reducer.apply(arrival(2, "GET", at(2))).empty());
    CHECK(reducer.apply(arrival(3, "PUT", at(3))).empty());
    const auto next = only<StartAttempt>(reducer.apply(answer(first, 200, 5)));
    REQUIRE(next.size() == 1);
    CHECK(next.front().request == 3);
    const auto refused = only<RespondLocally>(reducer.apply(TimerExpired{.at = at(15002)}));
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().request == 2);
    CHECK(refused.front().outcome == Outcome::NotRun);
    CHECK(refused.front().refusal == Refusal::DeadlineExceeded);
}

// Guards against a hanging upstream that delays an answer by the whole timeout, and against claims sent twice for it.
TEST_CASE("a late answer is hedged for idempotent requests only")
{
    auto reducer = configuredReducer(makeService(3, 4));
    for (RequestId request = 1; request <= 30; ++request) {
        const auto attempt = started(reducer, request, "GET", static_cast<double>(request));
        reducer.apply(answer(attempt, 200, static_cast<double>(request) + 1));
    }
    started(reducer, 31, "POST", 100);
    const auto late = started(reducer, 32, "GET", 100);
    const auto due = reducer.nextDeadline();
    REQUIRE(due);
    CHECK(*due == at(105));
    const auto hedges = only<StartAttempt>(reducer.apply(TimerExpired{.at = *due}));
    REQUIRE(hedges.size() == 1);
    CHECK(hedges.front().request == 32);
    CHECK(hedges.front().upstream != late.upstream);
    const auto effects = reducer.apply(answer(hedges.front(), 200, 106));
    CHECK(only<CancelAttempt>(effects) == std::vector{CancelAttempt{.request = 32, .attempt = late.attempt}});
    CHECK(only<ForwardAnswer>(effects).size() == 1);
}

// Guards against new work for an upstream that announced its drain, also after unrelated configuration changes.
TEST_CASE("a draining upstream stays out until its time is over or it returns to the VM list")
{
    auto reducer = configuredReducer(makeService(1, 1));
    auto sign = answer(started(reducer, 1, "GET", 1), 200, 2);
    sign.draining = true;
    reducer.apply(sign);
    auto changed = makeConfiguration(makeService(1, 1), 2);
    changed.bundles.front().services.front().queueLimit = 3;
    reducer.apply(configure(changed, at(3)));
    CHECK(only<RespondLocally>(reducer.apply(arrival(2, "GET", at(4)))).at(0).refusal == Refusal::NoCapacity);
    SECTION("the bound passes")
    {
        reducer.apply(TimerExpired{.at = at(60002)});
        started(reducer, 3, "GET", 60003);
    }
    SECTION("it leaves the VM list and returns")
    {
        reducer.apply(LeavingChanged{.at = at(5), .addresses = {"127.0.1.1"}});
        reducer.apply(LeavingChanged{.at = at(6), .addresses = {}});
        started(reducer, 3, "GET", 7);
    }
}

// Guards against a drain that another entry heard of being ignored, or ending the work of its whole VM.
TEST_CASE("an endpoint that leaves gets no work while others at its address do")
{
    auto service = makeService(2, 2);
    service.upstreams[1].endpoint = {.address = service.upstreams[0].endpoint.address, .port = 8001};
    auto reducer = configuredReducer(service);
    reducer.apply(LeavingChanged{.at = at(1), .addresses = {toString(service.upstreams[0].endpoint)}});
    CHECK(started(reducer, 1, "GET", 2).upstream.upstream == "u1");
    CHECK(started(reducer, 2, "GET", 2).upstream.upstream == "u1");
    CHECK(only<StartAttempt>(reducer.apply(arrival(3, "GET", at(2)))).empty());
}

// Guards against an upstream that is asked again at once while it sheds load.
TEST_CASE("an upstream that sheds is left alone for a moment")
{
    auto reducer = configuredReducer(makeService(1, 4));
    reducer.apply(answer(started(reducer, 1, "GET", 1), 503, 2, true));
    const auto due = reducer.nextDeadline();
    REQUIRE(due);
    CHECK(*due > at(2));
    CHECK(*due < at(10));
    CHECK(only<StartAttempt>(reducer.apply(TimerExpired{.at = *due})).size() == 1);
}

// Guards against a shutdown that ends without limit, or that calls given-up requests clean.
TEST_CASE("a shutdown ends at its limit and at a second request")
{
    auto reducer = configuredReducer(makeService(1, 1));
    started(reducer, 1, "POST", 1);
    const ShutdownRequested shutdown{
        .at = at(2), .drainDelay = std::chrono::milliseconds(10), .limit = std::chrono::milliseconds(100)};
    CHECK(reducer.ready());
    CHECK(reducer.apply(shutdown).empty());
    CHECK_FALSE(reducer.ready());
    Effects effects;
    SECTION("limit")
    {
        CHECK(only<StopAccepting>(reducer.apply(TimerExpired{.at = at(12)})).size() == 1);
        effects = reducer.apply(TimerExpired{.at = at(102)});
    }
    SECTION("second request")
    {
        effects = reducer.apply(shutdown);
    }
    CHECK(only<Terminate>(effects) == std::vector{Terminate{.clean = false}});
    CHECK(only<RespondLocally>(effects).at(0).outcome == Outcome::Unknown);
}

// Guards against one caller that takes the capacity of all others.
TEST_CASE("a caller over its limit is told when to retry")
{
    auto configuration = makeConfiguration(makeService(1, 9));
    configuration.bundles.front().callerLimits = {{.caller = "*", .requestsPerSecond = 1, .burst = 2}};
    Reducer reducer(ReducerSettings{});
    reducer.apply(configure(configuration));
    started(reducer, 1, "GET", 0);
    started(reducer, 2, "GET", 0);
    const auto refused = only<RespondLocally>(reducer.apply(arrival(3, "GET", at(500)))).at(0);
    CHECK(refused.status == 429);
    CHECK(refused.refusal == Refusal::CallerOverLimit);
    CHECK(toMilliseconds(refused.retryAfter) == Approx(500).margin(1));
    started(reducer, 4, "GET", 1001);
}

// Guards against a routing table that is missing or out of date after a change that keeps the services.
TEST_CASE("changed routes take effect while the services stay")
{
    Reducer reducer(ReducerSettings{});
    reducer.apply(configure(Configuration{.revision = 0, .bundles = {}}));
    CHECK(only<RespondLocally>(reducer.apply(arrival(1, "GET", at(1)))).at(0).refusal == Refusal::NoRoute);
    auto configuration = makeConfiguration(makeService(1, 1), 1);
    reducer.apply(configure(configuration));
    configuration.revision = 2;
    configuration.bundles.front().routes.erase(configuration.bundles.front().routes.begin());
    reducer.apply(configure(configuration));
    CHECK(only<RespondLocally>(reducer.apply(arrival(2, "GET", at(1)))).at(0).refusal == Refusal::NoRoute);
    started(reducer, 3, "POST", 2);
}

// Guards against `verbenadock-ctl status` that cannot say since when an entry has used a version.
TEST_CASE("the dump tells since when each version is in force")
{
    Reducer reducer(ReducerSettings{});
    auto configuration = makeConfiguration(makeService(1, 1), 1);
    reducer.apply(configure(configuration, at(1000)));
    CHECK_THAT(reducer.dump(at(3000)), Catch::Contains("\"version\":1,\"in_force_ms\":2000.0"));

    auto other = configuration.bundles.front();
    other.name = "moka";
    configuration.bundles.push_back(other);
    configuration.revision = 2;
    reducer.apply(configure(configuration, at(4000)));
    CHECK_THAT(reducer.dump(at(5000)), Catch::Contains("\"in_force_ms\":4000.0"));
    CHECK_THAT(reducer.dump(at(5000)), Catch::Contains("\"in_force_ms\":1000.0"));
}
