#include "servicefacts.h"

#include <algorithm>

namespace Verbenadock::Fleet::internal {

namespace {

/// The service that receives the largest share of a route's requests.
const std::string &mainService(const Bundles::Route &route)
{
    const auto heaviest = std::ranges::max_element(route.split, {}, &Bundles::WeightedService::weight);
    return heaviest == route.split.end() ? route.service : heaviest->service;
}

} // namespace

std::set<std::string> idempotentServices(const std::vector<Bundles::Route> &routes)
{
    std::set<std::string> services;
    for (const auto &route : routes) {
        if (route.idempotent) {
            services.insert(mainService(route));
        }
    }
    for (const auto &route : routes) {
        if (!route.idempotent) {
            services.erase(mainService(route));
        }
    }
    return services;
}

std::map<std::string, std::size_t> upstreamCounts(const Core::Configuration &configuration)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &bundle : configuration.bundles) {
        for (const auto &service : bundle.services) {
            counts[service.name] = service.upstreams.size();
        }
    }
    return counts;
}

} // namespace Verbenadock::Fleet::internal
