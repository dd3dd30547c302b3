#ifndef VERBENADOCK_TEST_CORE_SESSIONBUILDER_H
#define VERBENADOCK_TEST_CORE_SESSIONBUILDER_H

#include "verbenadock/core/reducer.h"

#include <memory>
#include <string>
#include <vector>

namespace Verbenadock::Core::Test {

inline TimePoint at(double milliseconds)
{
    return TimePoint(Duration(static_cast<Duration::rep>(milliseconds * 1000)));
}

/// A service with upstreams u0, u1, ... and two routes: GET is idempotent, POST is not.
inline Bundles::Service makeService(unsigned upstreams, unsigned slots)
{
    Bundles::Service service;
    service.name = "katalog";
    for (unsigned number = 0; number < upstreams; ++number) {
        service.upstreams.push_back(Bundles::Upstream{
            .id = "u" + std::to_string(number),
            .endpoint = {.address = "127.0.1." + std::to_string(number + 1), .port = 8000},
            .dataCentre = number % 2 == 0 ? "a" : "b",
            .slots = slots,
        });
    }
    return service;
}

inline Configuration makeConfiguration(Bundles::Service service, std::uint64_t revision = 1)
{
    Bundles::Bundle bundle;
    bundle.name = "nalezeno";
    bundle.version = revision;
    bundle.routes = {Bundles::Route{.method = "GET", .service = service.name, .idempotent = true},
                     Bundles::Route{.method = "POST", .service = service.name, .idempotent = false}};
    bundle.services = {std::move(service)};
    return Configuration{.revision = revision, .bundles = {std::move(bundle)}};
}

inline ConfigurationChanged configure(const Configuration &configuration, TimePoint time = TimePoint{})
{
    return ConfigurationChanged{.at = time, .configuration = std::make_shared<const Configuration>(configuration)};
}

inline RequestArrived arrival(RequestId request, const std::string &method, TimePoint time)
{
    return RequestArrived{.at = time,
                          .request = request,
                          .host = "katalog.example",
                          .method = method,
                          .target = "/search?q=" + std::to_string(request),
                          .caller = "caller",
                          .idempotencyKey = std::nullopt,
                          .bodyBytes = 0};
}

/// Effects of one type, in order.
template<typename Kind>
std::vector<Kind> only(const Effects &effects)
{
    std::vector<Kind> found;
    for (const auto &effect : effects) {
        if (const auto *match = std::get_if<Kind>(&effect)) {
            found.push_back(*match);
        }
    }
    return found;
}

} // namespace Verbenadock::Core::Test

#endif
