// Load balancing by the entry's own observations of the path to an upstream.
#include "sessionbuilder.h"

#include <catch2/catch.hpp>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

constexpr auto Target = std::chrono::milliseconds(600);

Reducer reducerWith(unsigned upstreams)
{
    auto service = makeService(upstreams, 4);
    service.prefersOwnDataCentre = true;
    service.detection.poolDecides = true;
    service.timeouts.total = std::chrono::milliseconds(1400);
    auto configuration = makeConfiguration(service);
    for (auto &route : configuration.bundles.front().routes) {
        route.targetLatency = Target;
    }
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(configuration));
    return reducer;
}

StartAttempt startOf(const Effects &effects)
{
    const auto starts = only<StartAttempt>(effects);
    REQUIRE(starts.size() == 1);
    return starts.front();
}

/// Sends claims one at a time, each answered at once, and returns how many of them go to the upstream.
int claimsTo(const std::string &upstream, Reducer &reducer, double from, int count)
{
    static RequestId next = 1000;
    int found = 0;
    for (int number = 0; number < count; ++number) {
        const auto now = at(from + number);
        const auto start = startOf(reducer.apply(arrival(++next, "POST", now)));
        found += start.upstream.upstream == upstream ? 1 : 0;
        reducer.apply(AttemptCompleted{.at = now, .request = start.request, .attempt = start.attempt, .status = 200});
    }
    return found;
}

} // namespace

// Guards against claims sent to an unreachable upstream after each backoff of 100 ms, which then wait 300 ms for the
// connection. This occurred when a VM was cut off from an upstream of its data centre in one direction for 8 s.
TEST_CASE("an unreachable upstream gets no claims for some seconds while other upstreams have free slots")
{
    auto reducer = reducerWith(6);
    const auto start = startOf(reducer.apply(arrival(1, "POST", at(0))));
    const auto next = startOf(reducer.apply(AttemptFailed{.at = at(300),
                                                          .request = 1,
                                                          .attempt = start.attempt,
                                                          .cause = Health::Cause::ConnectTimeout,
                                                          .nothingWritten = true}));
    reducer.apply(AttemptCompleted{.at = at(400), .request = 1, .attempt = next.attempt, .status = 200});
    CHECK(claimsTo(start.upstream.upstream, reducer, 2500, 300) == 0);
    CHECK(claimsTo(start.upstream.upstream, reducer, 6000, 300) > 0);
}

// Guards against further claims to an upstream whose path fails under an open connection. The first claim hangs until
// its deadline, and a single request in flight does not raise the load enough to divert others.
TEST_CASE("an upstream that misses the target of a claim gets no more claims while others have free slots")
{
    auto reducer = reducerWith(6);
    const auto hanging = startOf(reducer.apply(arrival(1, "POST", at(0))));
    reducer.apply(TimerExpired{.at = at(600)});
    CHECK(claimsTo(hanging.upstream.upstream, reducer, 601, 300) == 0);
    // The only near upstreams left are those that did not answer; then the load decides again.
    CHECK(only<RespondLocally>(reducer.apply(TimerExpired{.at = at(1400)})).size() == 1);
}

// Guards against claims lost on stale connections. When upstreams silently drop idle connections after 150 ms or reset
// requests, each VM would lose one claim per pooled connection.
TEST_CASE("claims and lookups use new connections to an upstream whose idle connections are suspect")
{
    auto reducer = reducerWith(1);
    const auto policyAt = [&reducer](const std::string &method, double milliseconds) {
        static RequestId next = 5000;
        const auto start = startOf(reducer.apply(arrival(++next, method, at(milliseconds))));
        reducer.apply(AttemptCompleted{
            .at = at(milliseconds), .request = start.request, .attempt = start.attempt, .status = 200});
        return start.policy;
    };
    CHECK(policyAt("POST", 0) == ConnectionPolicy::ProvenAlive);
    reducer.apply(HealthChanged{
        .at = at(10),
        .verdicts
        = {{.upstream = {.bundle = "nalezeno", .service = "katalog", .upstream = "u0"}, .doubtsConnections = true}}});
    CHECK(policyAt("POST", 11) == ConnectionPolicy::Fresh);
    CHECK(policyAt("GET", 3900) == ConnectionPolicy::Fresh);
    CHECK(policyAt("GET", 4100) == ConnectionPolicy::Reuse);
    CHECK(policyAt("POST", 4101) == ConnectionPolicy::ProvenAlive);
}
