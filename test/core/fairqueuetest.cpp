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

// Guards against shares that are kept by route although the configuration has customers: the customers below all use
// one route, so that the requests of the large one would go first.
TEST_CASE("customers on one route are queued by what each of them holds, and by their priority")
{
    auto reducer = makeReducer(withCustomers(fairService(1, 1)));
    auto running = only<StartAttempt>(reducer.apply(arrivalOf("large", 1, 1)));
    for (RequestId request = 2; request <= 6; ++request) {
        CHECK(only<StartAttempt>(reducer.apply(arrivalOf("large", request, 2))).empty());
    }
    reducer.apply(arrivalOf("small", 7, 3));
    reducer.apply(arrivalOf("small", 8, 3));
    reducer.apply(arrivalOf("urgent", 9, 4));
    std::vector<std::string> order;
    for (double time = 150; running.size() == 1; time += 150) {
        order.push_back(running.front().customer);
        running = only<StartAttempt>(reducer.apply(answerTo(running.front(), time)));
    }
    REQUIRE(order.size() == 9);
    CHECK(order[1] == "urgent");
    CHECK(order[2] == "small");
    CHECK(std::count(order.begin(), order.begin() + 5, "small") == 2);
}

// Guards against a full queue of one customer that keeps out another customer of the same route.
TEST_CASE("of customers on one route the one that holds most is rejected when the queue is full")
{
    auto service = fairService(1, 1);
    service.queueLimit = 3;
    auto reducer = makeReducer(withCustomers(service));
    for (RequestId request = 1; request <= 4; ++request) {
        CHECK(only<RespondLocally>(reducer.apply(arrivalOf("large", request, 1))).empty());
    }
    const auto answers = only<RespondLocally>(reducer.apply(arrivalOf("small", 5, 2)));
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().request == 4);
    CHECK(answers.front().refusal == RejectionReason::OverFairShare);
    REQUIRE(answers.front().seen.share);
    CHECK(answers.front().seen.share->customer == "large");
}

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
