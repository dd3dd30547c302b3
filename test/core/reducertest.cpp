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

// Guards against a failed idempotent request that another upstream could have answered.
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

// Guards against a failed idempotent request whose only upstream answers on new connections, and against endless
// retries to that upstream.
TEST_CASE("a stale connection is retried once on a new connection to the same upstream if it is the only one")
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

// Guards against a retry on another pooled connection that became stale together with the first one.
TEST_CASE("a stale connection is retried on a new connection to another upstream if there is one")
{
    auto reducer = configuredReducer(makeService(2, 1));
    const auto first = started(reducer, 1, "GET", 1);
    const auto second = only<StartAttempt>(reducer.apply(failure(first, Health::Cause::StaleConnection, 2)));
    REQUIRE(second.size() == 1);
    CHECK(second.front().upstream != first.upstream);
    CHECK(second.front().policy == ConnectionPolicy::Fresh);
}

// Guards against running a claim twice: after a reset it may have run.
TEST_CASE("a non-idempotent request that may have run gets the outcome unknown")
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
    CHECK(answers.front().refusal == RejectionReason::OutcomeUnknown);
}

// Guards against rejecting a claim that another upstream could run safely.
TEST_CASE("a non-idempotent request that provably did not run is retried at another upstream")
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
    SECTION("reported as not run")
    {
        effects = reducer.apply(answer(attempt, 503, 2, true));
    }
    const auto retried = only<StartAttempt>(effects);
    REQUIRE(retried.size() == 1);
    CHECK(retried.front().upstream != attempt.upstream);
}

// Guards against a retry storm: without deposits, retries stay within the reserve of three.
TEST_CASE("retries of requests that may have run stay within the budget")
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

// Guards against a retry that sends the remainder of an upload as the whole body.
TEST_CASE("a request with a streamed body is retried only when nothing of it was written")
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

// Guards against queued requests that wait past their deadline or overtake requests of higher priority.
TEST_CASE("queued requests are started by priority and rejected at their deadline")
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
    const auto rejected = only<RespondLocally>(reducer.apply(TimerExpired{.at = at(15002)}));
    REQUIRE(rejected.size() == 1);
    CHECK(rejected.front().request == 2);
    CHECK(rejected.front().outcome == Outcome::NotRun);
    CHECK(rejected.front().refusal == RejectionReason::DeadlineExceeded);
}

// Guards against a hanging upstream that delays an answer by the whole timeout, and against hedged claims.
TEST_CASE("only idempotent requests are hedged")
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

// Guards against new requests to a draining upstream, also after unrelated configuration changes.
TEST_CASE("a draining upstream gets no requests until the drain time ends or it returns to the VM list")
{
    auto reducer = configuredReducer(makeService(1, 1));
    const auto first = started(reducer, 1, "GET", 1);
    reducer.apply(UpstreamAnnounced{.at = at(2), .upstream = first.upstream, .leaving = true});
    reducer.apply(answer(first, 200, 2));
    auto changed = makeConfiguration(makeService(1, 1), 2);
    changed.bundles.front().services.front().queueLimit = 3;
    reducer.apply(configure(changed, at(3)));
    CHECK(only<RespondLocally>(reducer.apply(arrival(2, "GET", at(4)))).at(0).refusal == RejectionReason::NoCapacity);
    SECTION("the drain time ends")
    {
        reducer.apply(TimerExpired{.at = at(60002)});
        started(reducer, 3, "GET", 60003);
    }
    SECTION("the upstream leaves the VM list and returns")
    {
        reducer.apply(LeavingChanged{.at = at(5), .addresses = {"127.0.1.1"}});
        reducer.apply(LeavingChanged{.at = at(6), .addresses = {}});
        started(reducer, 3, "GET", 7);
    }
}

// Guards against ignoring a drain that another entry reported, and against draining all endpoints of the VM.
TEST_CASE("a leaving endpoint gets no requests while other endpoints at its address do")
{
    auto service = makeService(2, 2);
    service.upstreams[1].endpoint = {.address = service.upstreams[0].endpoint.address, .port = 8001};
    auto reducer = configuredReducer(service);
    reducer.apply(LeavingChanged{.at = at(1), .addresses = {toString(service.upstreams[0].endpoint)}});
    CHECK(started(reducer, 1, "GET", 2).upstream.upstream == "u1");
    CHECK(started(reducer, 2, "GET", 2).upstream.upstream == "u1");
    CHECK(only<StartAttempt>(reducer.apply(arrival(3, "GET", at(2)))).empty());
}

// Guards against requests that reach an upstream after it left, because they waited for a body or a connection.
TEST_CASE("an attempt that was not sent yet moves on when its upstream leaves or is ejected")
{
    const auto service = makeService(2, 4);
    auto reducer = configuredReducer(service);
    const auto waiting = started(reducer, 1, "POST", 1);
    CHECK(reducer.maySend(1, waiting.attempt, at(2)));
    auto remaining = service;
    std::erase_if(remaining.upstreams, [&waiting](const Bundles::Upstream &upstream) {
        return upstream.id == waiting.upstream.upstream;
    });
    SECTION("removed")
    {
        reducer.apply(configure(makeConfiguration(remaining, 2), at(3)));
    }
    SECTION("leaving")
    {
        reducer.apply(LeavingChanged{.at = at(3), .addresses = {toString(waiting.endpoint)}});
    }
    SECTION("ejected")
    {
        reducer.apply(HealthChanged{.at = at(3), .verdicts = {{.upstream = waiting.upstream, .share = 0}}});
    }
    CHECK_FALSE(reducer.maySend(1, waiting.attempt, at(4)));
    const auto moved = only<StartAttempt>(reducer.apply(failure(waiting, Health::Cause::Cancelled, 4, true)));
    REQUIRE(moved.size() == 1);
    CHECK(moved.front().upstream.upstream == remaining.upstreams.front().id);
    CHECK(reducer.maySend(1, moved.front().attempt, at(4)));
    CHECK_FALSE(reducer.maySend(1, waiting.attempt, at(4)));
    CHECK_FALSE(reducer.maySend(2, moved.front().attempt, at(4)));
}

// Guards against immediate retries at an upstream that sheds requests.
TEST_CASE("an upstream that sheds a request gets no requests during its backoff")
{
    auto reducer = configuredReducer(makeService(1, 4));
    reducer.apply(answer(started(reducer, 1, "GET", 1), 503, 2, true));
    const auto due = reducer.nextDeadline();
    REQUIRE(due);
    CHECK(*due > at(2));
    CHECK(*due < at(10));
    CHECK(only<StartAttempt>(reducer.apply(TimerExpired{.at = *due})).size() == 1);
}

// Guards against a shutdown that never ends, or that reports abandoned requests as a clean end.
TEST_CASE("a shutdown ends at its limit or at a second shutdown request")
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
    const auto late = only<RespondLocally>(reducer.apply(arrival(2, "POST", at(103))));
    REQUIRE(late.size() == 1);
    CHECK(late.at(0).refusal == RejectionReason::ShuttingDown);
}

// Guards against a single caller that uses the capacity of all callers.
TEST_CASE("a caller over its limit is rejected with the time to retry after")
{
    auto configuration = makeConfiguration(makeService(1, 9));
    configuration.bundles.front().callerLimits = {{.caller = "*", .requestsPerSecond = 1, .burst = 2}};
    Reducer reducer(ReducerSettings{});
    reducer.apply(configure(configuration));
    started(reducer, 1, "GET", 0);
    started(reducer, 2, "GET", 0);
    const auto rejected = only<RespondLocally>(reducer.apply(arrival(3, "GET", at(500)))).at(0);
    CHECK(rejected.status == 429);
    CHECK(rejected.refusal == RejectionReason::CallerOverLimit);
    CHECK(toMilliseconds(rejected.retryAfter) == Approx(500).margin(1));
    started(reducer, 4, "GET", 1001);
}

// Guards against a missing or outdated routing table after a change that keeps the services.
TEST_CASE("changed routes take effect when the services are unchanged")
{
    Reducer reducer(ReducerSettings{});
    reducer.apply(configure(Configuration{.revision = 0, .bundles = {}}));
    CHECK(only<RespondLocally>(reducer.apply(arrival(1, "GET", at(1)))).at(0).refusal == RejectionReason::NoRoute);
    auto configuration = makeConfiguration(makeService(1, 1), 1);
    reducer.apply(configure(configuration));
    configuration.revision = 2;
    configuration.bundles.front().routes.erase(configuration.bundles.front().routes.begin());
    reducer.apply(configure(configuration));
    CHECK(only<RespondLocally>(reducer.apply(arrival(2, "GET", at(1)))).at(0).refusal == RejectionReason::NoRoute);
    started(reducer, 3, "POST", 2);
}

// Guards against a `verbenadock-ctl status` without the time for which an entry has used a version.
TEST_CASE("the dump contains the time for which each version has been in force")
{
    Reducer reducer(ReducerSettings{});
    auto configuration = makeConfiguration(makeService(1, 1), 1);
    reducer.apply(configure(configuration, at(1000)));
    CHECK_THAT(reducer.dump(at(3000)), Catch::Contains("\"version\":1,\"in_force_ms\":2000.0"));

    auto otherBundle = configuration.bundles.front();
    otherBundle.name = "moka";
    configuration.bundles.push_back(otherBundle);
    configuration.revision = 2;
    reducer.apply(configure(configuration, at(4000)));
    CHECK_THAT(reducer.dump(at(5000)), Catch::Contains("\"in_force_ms\":4000.0"));
    CHECK_THAT(reducer.dump(at(5000)), Catch::Contains("\"in_force_ms\":1000.0"));
}
