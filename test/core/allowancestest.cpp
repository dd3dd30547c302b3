// Requests of customers with a cap: when they are counted, when the count is taken back, and what the caller is told.
#include "sessionbuilder.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;
using namespace std::chrono_literals;

namespace {

using Decision = AllowanceDecided::Decision;

Configuration cappedConfiguration(unsigned slots, double requestsPerSecond = 5, std::uint64_t revision = 1)
{
    auto configuration = makeConfiguration(makeService(2, slots), revision);
    configuration.bundles[0].customers = {{.name = "papirna",
                                           .keys = {Bundles::digestOf("k1")},
                                           .requestsPerSecond = requestsPerSecond,
                                           .burst = requestsPerSecond}};
    return configuration;
}

/// The same on public routes, which requests without a key may use.
Configuration publicConfiguration(unsigned slots)
{
    auto configuration = cappedConfiguration(slots);
    for (auto &route : configuration.bundles[0].routes) {
        route.isPublic = true;
    }
    return configuration;
}

Reducer makeReducer(const Configuration &configuration)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000});
    reducer.apply(configure(configuration));
    return reducer;
}

RequestArrived keyedArrival(RequestId request, const std::string &method, double time)
{
    auto event = arrival(request, method, at(time));
    event.key = Bundles::digestOf("k1");
    event.timeLeft = 2s;
    return event;
}

AllowanceDecided decided(RequestId request, double time, Decision decision, Duration retryAfter = Duration(0))
{
    return {.at = at(time), .request = request, .decision = decision, .retryAfter = retryAfter};
}

const ReserveAllowance Reserved{.request = 1, .bundle = "nalezeno", .customer = "papirna"};
const ReturnAllowance Returned{.request = 1, .bundle = "nalezeno", .customer = "papirna"};

} // namespace

// A request that is sent before it is counted runs beyond the cap.
TEST_CASE("a request of a capped customer is sent only when it is counted, and counted once")
{
    auto reducer = makeReducer(cappedConfiguration(4));
    const auto arrived = reducer.apply(keyedArrival(1, "GET", 0));
    CHECK(only<ReserveAllowance>(arrived) == std::vector{Reserved});
    CHECK(only<StartAttempt>(arrived).empty());
    const auto first = only<StartAttempt>(reducer.apply(decided(1, 2, Decision::Granted)));
    REQUIRE(first.size() == 1);
    CHECK(reducer.apply(decided(1, 3, Decision::Granted)).empty());
    // The retry of a request that was counted and may have run.
    const auto failed = reducer.apply(AttemptFailed{.at = at(5),
                                                    .request = 1,
                                                    .attempt = first[0].attempt,
                                                    .cause = Health::Cause::Reset,
                                                    .nothingWritten = false});
    const auto second = only<StartAttempt>(failed);
    REQUIRE(second.size() == 1);
    CHECK(only<ReserveAllowance>(failed).empty());
    const auto ended
        = reducer.apply(AttemptCompleted{.at = at(9), .request = 1, .attempt = second[0].attempt, .status = 200});
    CHECK(only<ReturnAllowance>(ended).empty());
    CHECK(only<ReserveAllowance>(ended).empty());
}

// Guards against requests that wait although no cap concerns them.
TEST_CASE("requests without a customer or of a customer without a cap are sent at once")
{
    auto reducer = makeReducer(cappedConfiguration(4, 0));
    CHECK(only<StartAttempt>(reducer.apply(keyedArrival(1, "GET", 0))).size() == 1);
    auto capped = makeReducer(publicConfiguration(4));
    const auto effects = capped.apply(arrival(1, "GET", at(0)));
    CHECK(only<StartAttempt>(effects).size() == 1);
    CHECK(only<ReserveAllowance>(effects).empty());
}

// Callers that return before there is room, or together, are refused again.
TEST_CASE("a request over the cap gets 429 with spread times after which there is room")
{
    auto reducer = makeReducer(cappedConfiguration(4));
    std::set<Duration> waits;
    for (RequestId request = 1; request <= 20; ++request) {
        reducer.apply(keyedArrival(request, "GET", 0));
        const auto effects = reducer.apply(decided(request, 1, Decision::OverCap, 700ms));
        const auto answers = only<RespondLocally>(effects);
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].status == 429);
        CHECK(answers[0].outcome == Outcome::NotRun);
        CHECK(answers[0].refusal == RejectionReason::CustomerOverCap);
        CHECK(answers[0].retryAfter >= 700ms);
        CHECK(answers[0].retryAfter <= 980ms);
        CHECK(only<ReturnAllowance>(effects).empty());
        waits.insert(answers[0].retryAfter);
    }
    CHECK(waits.size() > 15);
}

// Guards against a 429 for a customer that may be below its cap.
TEST_CASE("a request gets 503 with Retry-After when nobody knows whether the customer is over its cap")
{
    auto reducer = makeReducer(cappedConfiguration(4));
    reducer.apply(keyedArrival(1, "POST", 0));
    const auto answers = only<RespondLocally>(reducer.apply(decided(1, 150, Decision::Unknown)));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
    CHECK(answers[0].refusal == RejectionReason::AllowanceUnknown);
    CHECK(answers[0].retryAfter > Duration(0));
}

// A token of a request that was never sent would be missing for the customer's other requests.
TEST_CASE("what was counted and not sent is returned")
{
    SECTION("the caller disconnects while the request waits for the decision")
    {
        auto reducer = makeReducer(cappedConfiguration(4));
        reducer.apply(keyedArrival(1, "POST", 0));
        const auto effects = reducer.apply(CallerDisconnected{.at = at(1), .request = 1});
        CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
        CHECK(reducer.apply(decided(1, 2, Decision::Granted)).empty());
    }
    SECTION("the deadline passes while the request waits for the decision")
    {
        auto reducer = makeReducer(cappedConfiguration(4));
        reducer.apply(keyedArrival(1, "POST", 0));
        REQUIRE(reducer.nextDeadline());
        CHECK(*reducer.nextDeadline() <= at(2000));
        const auto effects = reducer.apply(TimerExpired{.at = at(2000)});
        CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
        REQUIRE(only<RespondLocally>(effects).size() == 1);
        CHECK(only<RespondLocally>(effects)[0].status == 503);
    }
    SECTION("no upstream has room")
    {
        auto configuration = publicConfiguration(1);
        configuration.bundles[0].services[0].queueLimit = 0;
        auto reducer = makeReducer(configuration);
        reducer.apply(arrival(8, "POST", at(0)));
        reducer.apply(arrival(9, "POST", at(0)));
        reducer.apply(keyedArrival(1, "POST", 0));
        const auto effects = reducer.apply(decided(1, 1, Decision::Granted));
        CHECK(only<StartAttempt>(effects).empty());
        CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
    }
    SECTION("no attempt was written")
    {
        auto reducer = makeReducer(cappedConfiguration(4));
        reducer.apply(keyedArrival(1, "POST", 0));
        const auto attempt = only<StartAttempt>(reducer.apply(decided(1, 1, Decision::Granted))).at(0);
        reducer.apply(CallerDisconnected{.at = at(2), .request = 1});
        const auto effects = reducer.apply(AttemptFailed{.at = at(3),
                                                         .request = 1,
                                                         .attempt = attempt.attempt,
                                                         .cause = Health::Cause::Refused,
                                                         .nothingWritten = true});
        CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
    }
    SECTION("an attempt may have run")
    {
        auto reducer = makeReducer(cappedConfiguration(4));
        reducer.apply(keyedArrival(1, "POST", 0));
        const auto attempt = only<StartAttempt>(reducer.apply(decided(1, 1, Decision::Granted))).at(0);
        const auto effects = reducer.apply(AttemptFailed{.at = at(3),
                                                         .request = 1,
                                                         .attempt = attempt.attempt,
                                                         .cause = Health::Cause::Reset,
                                                         .nothingWritten = false});
        CHECK(only<RespondLocally>(effects).size() == 1);
        CHECK(only<ReturnAllowance>(effects).empty());
    }
}

// Guards against requests that are sent as only an older configuration allows.
TEST_CASE("a request whose service is removed while it waits for the decision is not sent")
{
    auto reducer = makeReducer(cappedConfiguration(4));
    reducer.apply(keyedArrival(1, "GET", 0));
    auto removed = cappedConfiguration(4, 5, 2);
    removed.bundles[0].services.clear();
    removed.bundles[0].routes.clear();
    reducer.apply(configure(removed, at(1)));
    const auto effects = reducer.apply(decided(1, 2, Decision::Granted));
    CHECK(only<StartAttempt>(effects).empty());
    CHECK(only<RespondLocally>(effects).size() == 1);
    CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
}

// Guards against a stop that waits for, or loses, requests without a decision.
TEST_CASE("a request that waits for the decision is answered at the limit of a shutdown")
{
    auto reducer = makeReducer(cappedConfiguration(4));
    reducer.apply(ShutdownRequested{.at = at(0), .drainDelay = 100ms, .limit = 1000ms});
    reducer.apply(keyedArrival(1, "GET", 10));
    CHECK(only<Terminate>(reducer.apply(TimerExpired{.at = at(200)})).empty());
    const auto effects = reducer.apply(TimerExpired{.at = at(1000)});
    CHECK(only<RespondLocally>(effects).size() == 1);
    CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
    CHECK(only<Terminate>(effects).size() == 1);
    CHECK(reducer.apply(decided(1, 1001, Decision::Granted)).empty());
}

// A refused request adds no work, so that it must not raise the number of retries that a service may make.
TEST_CASE("refused requests do not add to the retry budget")
{
    auto configuration = cappedConfiguration(100);
    configuration.bundles[0].services[0].budgets
        = {.retryPercent = 100, .retryReserve = 0, .retryReservePerSecond = 0, .tokenLimit = 50};
    auto reducer = makeReducer(configuration);
    for (RequestId request = 100; request < 110; ++request) {
        reducer.apply(keyedArrival(request, "GET", 0));
        reducer.apply(decided(request, 0, Decision::OverCap, 1s));
    }
    // Two requests deposit two tokens, so that no more than two retries run.
    std::size_t retries = 0;
    for (RequestId request = 1; request <= 2; ++request) {
        reducer.apply(keyedArrival(request, "GET", 1));
        auto attempts = only<StartAttempt>(reducer.apply(decided(request, 1, Decision::Granted)));
        while (!attempts.empty()) {
            attempts = only<StartAttempt>(reducer.apply(AttemptFailed{.at = at(2),
                                                                      .request = request,
                                                                      .attempt = attempts[0].attempt,
                                                                      .cause = Health::Cause::Reset,
                                                                      .nothingWritten = false}));
            retries += attempts.size();
        }
    }
    CHECK(retries <= 2);
}

// A request that was counted for the former holder of its key would run outside the cap of the new one.
TEST_CASE("a request whose key moves before it is sent is counted for the new customer")
{
    auto configuration = cappedConfiguration(1);
    auto moved = cappedConfiguration(1, 5, 2);
    moved.bundles[0].customers[0].name = "knihovna";
    const ReserveAllowance forNewCustomer{.request = 1, .bundle = "nalezeno", .customer = "knihovna"};
    SECTION("while the decision is open")
    {
        auto reducer = makeReducer(configuration);
        reducer.apply(keyedArrival(1, "POST", 0));
        reducer.apply(configure(moved, at(1)));
        const auto effects = reducer.apply(decided(1, 2, Decision::Granted));
        CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
        CHECK(only<ReserveAllowance>(effects) == std::vector{forNewCustomer});
        CHECK(only<StartAttempt>(effects).empty());
        const auto sent = only<StartAttempt>(reducer.apply(decided(1, 3, Decision::Granted)));
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].customer == "knihovna");
    }
    SECTION("while the request is queued")
    {
        auto reducer = makeReducer(configuration);
        for (RequestId request = 8; request <= 9; ++request) {
            reducer.apply(keyedArrival(request, "POST", 0));
            reducer.apply(decided(request, 0, Decision::Granted));
        }
        reducer.apply(keyedArrival(1, "POST", 0));
        REQUIRE(only<StartAttempt>(reducer.apply(decided(1, 1, Decision::Granted))).empty());
        const auto effects = reducer.apply(configure(moved, at(2)));
        CHECK(only<ReturnAllowance>(effects) == std::vector{Returned});
        CHECK(only<ReserveAllowance>(effects) == std::vector{forNewCustomer});
    }
    SECTION("while the request of a customer without a cap is queued")
    {
        auto reducer = makeReducer(cappedConfiguration(1, 0));
        for (RequestId request = 8; request <= 9; ++request) {
            reducer.apply(keyedArrival(request, "POST", 0));
        }
        REQUIRE(only<StartAttempt>(reducer.apply(keyedArrival(1, "POST", 0))).empty());
        const auto effects = reducer.apply(configure(moved, at(2)));
        CHECK(only<ReturnAllowance>(effects).empty());
        CHECK(only<ReserveAllowance>(effects) == std::vector{forNewCustomer});
        CHECK(only<StartAttempt>(reducer.apply(decided(1, 3, Decision::Granted))).empty());
    }
}
