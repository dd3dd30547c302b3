// Upstreams that announce in their answers that they leave, or that they want no requests for a while.
#include "sessionbuilder.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

Bundles::Service processesService(unsigned upstreams, unsigned slots = 4)
{
    auto service = makeService(upstreams, slots);
    service.idsNameProcesses = true;
    return service;
}

Reducer reducerFor(const Bundles::Service &service)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(makeConfiguration(service)));
    return reducer;
}

UpstreamKey keyOf(const std::string &upstream)
{
    return {.bundle = "nalezeno", .service = "katalog", .upstream = upstream};
}

UpstreamAnnounced leaving(const std::string &upstream, double time)
{
    return {.at = at(time), .upstream = keyOf(upstream), .leaving = true};
}

UpstreamAnnounced pause(const std::string &upstream, double milliseconds, double time)
{
    return {.at = at(time),
            .upstream = keyOf(upstream),
            .pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds))};
}

RequestArrived arrivalWithTime(RequestId request, double time, double milliseconds)
{
    auto event = arrival(request, "POST", at(time));
    event.timeLeft = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
    return event;
}

/// Upstreams of twenty requests, each answered at once.
std::set<std::string> usedUpstreams(Reducer &reducer, double time)
{
    static RequestId next = 1000;
    std::set<std::string> used;
    for (int number = 0; number < 20; ++number) {
        for (const auto &attempt : only<StartAttempt>(reducer.apply(arrival(++next, "POST", at(time))))) {
            used.insert(attempt.upstream.upstream);
            reducer.apply(AttemptCompleted{
                .at = at(time), .request = attempt.request, .attempt = attempt.attempt, .status = 200});
        }
    }
    return used;
}

} // namespace

// Guards against an announcement that expires or is lost with the state of the upstream, while the store goes on
// calling the upstream ready.
TEST_CASE("an announcement to leave holds for the process, however its configuration changes")
{
    const auto service = processesService(2);
    auto reducer = reducerFor(service);
    const auto changes = only<ReportStateChange>(reducer.apply(leaving("u0", 1)));
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().change == StateChange(UpstreamLeaving{.upstream = keyOf("u0")}));
    CHECK(reducer.apply(leaving("u0", 2)).empty());
    CHECK(usedUpstreams(reducer, 3) == std::set<std::string>{"u1"});
    SECTION("time passes")
    {
        reducer.apply(TimerExpired{.at = at(300'000)});
        CHECK(usedUpstreams(reducer, 300'001) == std::set<std::string>{"u1"});
    }
    SECTION("the upstream is configured differently")
    {
        auto changed = service;
        changed.upstreams[0].slots = 2;
        reducer.apply(configure(makeConfiguration(changed, 2), at(4)));
        CHECK(usedUpstreams(reducer, 5) == std::set<std::string>{"u1"});
    }
    SECTION("the upstream or its service is absent for some seconds")
    {
        auto without = makeConfiguration(service, 2);
        without.bundles.front().services.front().upstreams.erase(
            without.bundles.front().services.front().upstreams.begin());
        reducer.apply(configure(without, at(4)));
        without.revision = 3;
        without.bundles.front().services.clear();
        reducer.apply(configure(without, at(10)));
        auto other = service;
        other.name = "other";
        reducer.apply(configure(makeConfiguration(other, 4), at(11)));
        reducer.apply(configure(makeConfiguration(service, 5), at(30'000)));
        CHECK(usedUpstreams(reducer, 30'001) == std::set<std::string>{"u1"});
    }
}

// Guards against upstreams that stay out of use after the process that announced its leaving is gone, and against
// notices that are kept for ever.
TEST_CASE("an announcement to leave ends when another process takes the place, or long after the process is gone")
{
    const auto service = processesService(2);
    auto reducer = reducerFor(service);
    reducer.apply(leaving("u0", 1));
    SECTION("another process")
    {
        auto replaced = service;
        replaced.upstreams[0].id = "u0-again";
        reducer.apply(configure(makeConfiguration(replaced, 2), at(2)));
        CHECK(usedUpstreams(reducer, 3).contains("u0-again"));
    }
    SECTION("gone for long")
    {
        auto without = service;
        without.upstreams.erase(without.upstreams.begin());
        reducer.apply(configure(makeConfiguration(without, 2), at(2)));
        reducer.apply(configure(makeConfiguration(service, 3), at(70'000)));
        CHECK(usedUpstreams(reducer, 70'001).contains("u0"));
    }
}

// Guards against an answer that arrives when the store has already removed the upstream, which then returns.
TEST_CASE("an announcement of an upstream that is not configured at the moment counts when it returns")
{
    const auto service = processesService(2);
    auto without = service;
    without.upstreams.erase(without.upstreams.begin());
    auto reducer = reducerFor(without);
    reducer.apply(leaving("u0", 1));
    reducer.apply(configure(makeConfiguration(service, 2), at(2)));
    CHECK(usedUpstreams(reducer, 3) == std::set<std::string>{"u1"});
}

// Guards against requests that were bound to the upstream before it spoke: they wait for a body or a connection.
TEST_CASE("an attempt that was not sent yet moves on when its upstream announces its leaving")
{
    auto reducer = reducerFor(processesService(2));
    const auto waiting = only<StartAttempt>(reducer.apply(arrival(1, "GET", at(1)))).at(0);
    CHECK(reducer.maySend(1, waiting.attempt, at(2)));
    reducer.apply(leaving(waiting.upstream.upstream, 3));
    CHECK_FALSE(reducer.maySend(1, waiting.attempt, at(4)));
    const auto moved = only<StartAttempt>(reducer.apply(AttemptFailed{.at = at(4),
                                                                      .request = 1,
                                                                      .attempt = waiting.attempt,
                                                                      .cause = Health::Cause::Cancelled,
                                                                      .nothingWritten = true}));
    REQUIRE(moved.size() == 1);
    CHECK(moved.front().upstream != waiting.upstream);
}

// Guards against requests to an upstream that asked for a pause, also when its configuration changes meanwhile.
TEST_CASE("a paused upstream gets no requests until the end of its pause")
{
    auto reducer = reducerFor(processesService(2));
    const auto waiting = only<StartAttempt>(reducer.apply(arrival(1, "GET", at(1)))).at(0);
    const auto paused = waiting.upstream.upstream;
    const std::string other = paused == "u0" ? "u1" : "u0";
    const auto changes = only<ReportStateChange>(reducer.apply(pause(paused, 4000, 2)));
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().change
          == StateChange(UpstreamPaused{.upstream = keyOf(paused), .pause = std::chrono::seconds(4)}));
    // Another refusal in the pause is no change, and a shorter pause does not end the longer one.
    CHECK(only<ReportStateChange>(reducer.apply(pause(paused, 100, 3))).empty());
    CHECK_FALSE(reducer.maySend(1, waiting.attempt, at(4)));
    CHECK(usedUpstreams(reducer, 5) == std::set<std::string>{other});
    auto changed = processesService(2, 2);
    reducer.apply(configure(makeConfiguration(changed, 2), at(6)));
    CHECK(usedUpstreams(reducer, 4001) == std::set<std::string>{other});
    CHECK(reducer.maySend(1, waiting.attempt, at(4003)));
    CHECK(usedUpstreams(reducer, 4003).contains(paused));
}

// Guards against taking a pause for a failure: the upstream would be ejected.
TEST_CASE("a pause is no evidence against the upstream")
{
    auto reducer = reducerFor(processesService(2));
    const auto effects = reducer.apply(pause("u0", 4000, 1));
    CHECK(only<ReportEvidence>(effects).empty());
    CHECK_THAT(reducer.dump(at(2)), !Catch::Contains("ejected"));
}

// Guards against callers that are held although nobody can serve them, and against callers that all return together.
TEST_CASE("while all upstreams pause for longer than the request has, it is rejected until the first pause ends")
{
    auto reducer = reducerFor(processesService(2));
    reducer.apply(pause("u0", 4000, 0));
    reducer.apply(pause("u1", 9000, 0));
    std::set<Duration> waits;
    for (RequestId request = 1; request <= 20; ++request) {
        const auto rejected = only<RespondLocally>(reducer.apply(arrivalWithTime(request, 1000, 2000)));
        REQUIRE(rejected.size() == 1);
        CHECK(rejected.front().status == 503);
        CHECK(rejected.front().refusal == RejectionReason::UpstreamsPaused);
        CHECK(rejected.front().retryAfter >= std::chrono::milliseconds(3000));
        CHECK(rejected.front().retryAfter <= std::chrono::milliseconds(4200));
        waits.insert(rejected.front().retryAfter);
    }
    CHECK(waits.size() > 10);
}

// Guards against rejecting requests that could be served in their time, and against a queue that is longer than what
// the upstream takes at the end of its pause.
TEST_CASE("as many requests wait for the end of a short pause as the upstream has slots")
{
    auto reducer = reducerFor(processesService(1, 2));
    reducer.apply(pause("u0", 300, 0));
    CHECK(reducer.apply(arrivalWithTime(1, 1, 2000)).empty());
    CHECK(reducer.apply(arrivalWithTime(2, 1, 2000)).empty());
    CHECK(only<RespondLocally>(reducer.apply(arrivalWithTime(3, 1, 2000))).size() == 1);
    REQUIRE(reducer.nextDeadline());
    CHECK(*reducer.nextDeadline() == at(300));
    CHECK(only<StartAttempt>(reducer.apply(TimerExpired{.at = at(300)})).size() == 2);
}

// Guards against queued requests that wait until their deadline for upstreams that have all left.
TEST_CASE("queued requests are rejected at once when no upstream can take them any more")
{
    auto reducer = reducerFor(processesService(1, 1));
    const auto running = only<StartAttempt>(reducer.apply(arrival(1, "POST", at(1))));
    REQUIRE(running.size() == 1);
    CHECK(reducer.apply(arrival(2, "POST", at(2))).empty());
    std::vector<RespondLocally> rejected;
    SECTION("the last upstream announces its leaving")
    {
        rejected = only<RespondLocally>(reducer.apply(leaving("u0", 3)));
    }
    SECTION("the last upstream asks for a long pause")
    {
        rejected = only<RespondLocally>(reducer.apply(pause("u0", 60'000, 3)));
    }
    SECTION("the last upstream is removed from the configuration")
    {
        rejected = only<RespondLocally>(reducer.apply(configure(makeConfiguration(processesService(0), 2), at(3))));
    }
    REQUIRE(rejected.size() == 1);
    CHECK(rejected.front().request == 2);
    CHECK(rejected.front().status == 503);
}
