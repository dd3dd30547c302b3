// Upstreams that announce in their answers that they leave.
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
