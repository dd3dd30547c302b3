// Dispatch of queued requests with fair sharing: single decisions of one VM.
#include "sessionbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

Bundles::Service fairService(unsigned upstreams, unsigned slots)
{
    auto service = makeService(upstreams, slots);
    for (auto &upstream : service.upstreams) {
        upstream.dataCentre = "a";
    }
    service.prefersOwnDataCentre = true;
    service.sharing = Bundles::Sharing::Fair;
    return service;
}

/// Customers "small", "large" and "urgent", whose keys are their names; "urgent" has high priority.
Configuration withCustomers(const Bundles::Service &service)
{
    auto configuration = makeConfiguration(service);
    for (const std::string name : {"small", "large", "urgent"}) {
        configuration.bundles.front().customers.push_back({.name = name, .keys = {Bundles::digestOf(name)}});
    }
    configuration.bundles.front().customers.back().priority = Bundles::Priority::High;
    return configuration;
}

Reducer makeReducer(const Configuration &configuration, std::optional<Duration> revocation = std::nullopt)
{
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 7, .requestLimit = 1000, .revocation = revocation});
    reducer.apply(configure(configuration));
    reducer.apply(ConfigurationConfirmed{.at = at(0)});
    return reducer;
}

RequestArrived arrivalOf(const std::string &customer, RequestId request, double time)
{
    auto event = arrival(request, "GET", at(time));
    event.key = Bundles::digestOf(customer);
    return event;
}

AttemptCompleted answerTo(const StartAttempt &attempt, double time)
{
    return {.at = at(time), .request = attempt.request, .attempt = attempt.attempt, .status = 200};
}

} // namespace

// Guards against a request that waited in the queue and starts under a configuration that may no longer be used.
TEST_CASE("a queued request is rejected when its configuration has not been confirmed in time")
{
    auto reducer = makeReducer(withCustomers(fairService(1, 1)), std::chrono::seconds(5));
    const auto running = only<StartAttempt>(reducer.apply(arrivalOf("large", 1, 1)));
    REQUIRE(running.size() == 1);
    reducer.apply(arrivalOf("small", 2, 4900));
    const auto effects = reducer.apply(answerTo(running.front(), 5100));
    CHECK(only<StartAttempt>(effects).empty());
    const auto answers = only<RespondLocally>(effects);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 503);
    CHECK(answers.front().refusal == RejectionReason::ConfigurationOutdated);
}

// Guards against a free slot that stays unused because the first request of the queue, which may not go there, was
// tried again after each late request behind it.
TEST_CASE("a request that finds no room is tried once in a dispatch")
{
    auto configuration = makeConfiguration(fairService(2, 1));
    auto &routes = configuration.bundles.front().routes;
    routes[0].targetLatency = std::chrono::milliseconds(800);
    routes[1].targetLatency = std::chrono::milliseconds(300);
    auto reducer = makeReducer(configuration);
    const auto first = only<StartAttempt>(reducer.apply(arrival(1, "GET", at(1))));
    REQUIRE(first.size() == 1);
    REQUIRE(only<StartAttempt>(reducer.apply(arrival(2, "GET", at(1)))).size() == 1);
    // Requests 3 to 5 can no longer meet their target at 230 ms, request 6 can.
    for (RequestId request = 3; request <= 5; ++request) {
        reducer.apply(arrival(request, "POST", at(10)));
    }
    reducer.apply(arrival(6, "GET", at(100)));
    // Request 1 may not return to the upstream where it failed, whose slot is free now.
    const auto effects = reducer.apply(
        AttemptFailed{.at = at(230), .request = 1, .attempt = first.front().attempt, .cause = Health::Cause::Reset});
    const auto next = only<StartAttempt>(effects);
    REQUIRE(next.size() == 1);
    CHECK(next.front().request == 6);
}
