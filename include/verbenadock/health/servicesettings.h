#ifndef VERBENADOCK_HEALTH_SERVICESETTINGS_H
#define VERBENADOCK_HEALTH_SERVICESETTINGS_H

#include "verbenadock/bundle/bundle.h"
#include "verbenadock/health/servicedetector.h"

#include <vector>

namespace Verbenadock::Health {

/// The detector's parameters as a bundle sets them for a service.
DetectorSettings detectorSettings(const Bundles::Service &service);

/// The upstreams of a service as the detector needs them.
std::vector<UpstreamCapacity> upstreamCapacities(const Bundles::Service &service);

} // namespace Verbenadock::Health

#endif
