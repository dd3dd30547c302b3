#ifndef VERBENADOCK_FLEET_SERVICEFACTS_H
#define VERBENADOCK_FLEET_SERVICEFACTS_H

#include "verbenadock/core/event.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Verbenadock::Fleet::internal {

/// Services that are the main service of a route with idempotent requests, and of no route with other requests.
std::set<std::string> idempotentServices(const std::vector<Bundles::Route> &routes);

/// Number of upstreams by service.
std::map<std::string, std::size_t> upstreamCounts(const Core::Configuration &configuration);

} // namespace Verbenadock::Fleet::internal

#endif
