#include "sessionbuilder.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>

using namespace Verbenadock;
using namespace Verbenadock::Core;
using namespace Verbenadock::Core::Test;

namespace {

constexpr RequestId Requests = 400000;
/// Requests in flight at the same time.
constexpr RequestId Window = 100;

/// Throughput in requests per second with the given number of services and upstreams per service.
double requestsPerSecond(unsigned serviceCount, unsigned upstreamsEach)
{
    Configuration configuration{.revision = 1, .bundles = {Bundles::Bundle{}}};
    auto &bundle = configuration.bundles.front();
    bundle.name = "nalezeno";
    for (unsigned number = 0; number < serviceCount; ++number) {
        auto service = makeService(upstreamsEach, 4);
        service.name = "service" + std::to_string(number);
        bundle.routes.push_back(
            Bundles::Route{.pathPrefix = "/" + service.name, .service = service.name, .idempotent = true});
        bundle.services.push_back(std::move(service));
    }
    Reducer reducer(ReducerSettings{.dataCentre = "a", .seed = 1, .requestLimit = 10000});
    reducer.apply(configure(configuration));
    std::vector<AttemptCompleted> inFlight(Window);
    RequestId answered = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (RequestId request = 1; request <= Requests; ++request) {
        auto &completion = inFlight[request % Window];
        const auto time = TimePoint(Duration(request * 5));
        if (completion.request != 0) {
            completion.at = time;
            answered += only<ForwardAnswer>(reducer.apply(completion)).size();
        }
        auto event = arrival(request, "GET", time);
        event.target = "/service" + std::to_string(request % serviceCount) + "/search?q=umbrella";
        const auto attempts = only<StartAttempt>(reducer.apply(event));
        REQUIRE(attempts.size() == 1);
        completion
            = AttemptCompleted{.at = time, .request = request, .attempt = attempts.front().attempt, .status = 200};
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    REQUIRE(answered == Requests - Window);
    return static_cast<double>(Requests) / elapsed.count();
}

double milliseconds(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
}

} // namespace

// Guards against a cost per request that grows with the number of upstreams of all services.
TEST_CASE("the reducer handles 200,000 requests per second of 10 services on one core", "[.benchmark]")
{
    const auto severalServices = requestsPerSecond(10, 30);
    std::printf("10 services x 30 upstreams: %.0f requests/s\n", severalServices);
    CHECK(severalServices > 200000);
}

// Guards against a cost per request that grows with the number of upstreams of one service.
TEST_CASE("the reducer handles 200,000 requests per second of one service on one core", "[.benchmark]")
{
    const auto oneService = requestsPerSecond(1, 300);
    std::printf("1 service x 300 upstreams: %.0f requests/s\n", oneService);
    CHECK(oneService > 200000);
}

// Guards against a configuration change that blocks the entry for too long: with a change every 2.2 s, a pause of 20 ms
// delays about one request in a hundred, which is what the latency budget allows.
TEST_CASE("a changed configuration of the target size is applied within 20 ms", "[.benchmark]")
{
    constexpr unsigned BundleCount = 520;
    Configuration configuration{.revision = 1, .bundles = {}};
    for (unsigned number = 0; number < BundleCount; ++number) {
        Bundles::Bundle bundle;
        bundle.name = "team" + std::to_string(number);
        for (unsigned index = 0; index < 10; ++index) {
            auto service = makeService(16, 4);
            service.name = "service" + std::to_string(index);
            for (unsigned route = 0; route < 31; ++route) {
                bundle.routes.push_back(Bundles::Route{.host = bundle.name + ".example",
                                                       .pathPrefix = "/" + service.name + "/" + std::to_string(route),
                                                       .service = service.name});
            }
            bundle.services.push_back(std::move(service));
        }
        configuration.bundles.push_back(std::move(bundle));
    }
    Reducer reducer(ReducerSettings{});
    auto event = configure(configuration);
    auto begin = std::chrono::steady_clock::now();
    reducer.apply(event);
    const auto initialMs = milliseconds(begin);
    configuration.revision = 2;
    configuration.bundles.back().version = 2;
    configuration.bundles.back().services.front().queueLimit = 7;
    event = configure(configuration);
    begin = std::chrono::steady_clock::now();
    reducer.apply(event);
    const auto changeMs = milliseconds(begin);
    std::printf("5,200 services, 161,200 routes: first %.1f ms, change of one service %.1f ms\n", initialMs, changeMs);
    CHECK(changeMs < 20);
}
