#ifndef VERBENADOCK_HEALTH_SERVICESETTINGS_H
#define VERBENADOCK_HEALTH_SERVICESETTINGS_H

#include "verbenadock/bundle/bundle.h"
#include "verbenadock/health/servicedetector.h"

#include <vector>

namespace Verbenadock::Health {

/// Detector parameters of a service from its bundle.
DetectorSettings detectorSettings(const Bundles::Service &service);

/// Ids and slots of the upstreams of a service.
std::vector<UpstreamCapacity> upstreamCapacities(const Bundles::Service &service);

} // namespace Verbenadock::Health

#endif
