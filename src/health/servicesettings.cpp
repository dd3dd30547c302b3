#include "verbenadock/health/servicesettings.h"

namespace Verbenadock::Health {

DetectorSettings detectorSettings(const Bundles::Service &service)
{
    DetectorSettings settings;
    settings.samplesBetweenFalseAlarms = service.detection.samplesBetweenFalseAlarms;
    settings.failureRate = service.detection.failureRate;
    settings.slowFactor = service.detection.slowFactor;
    settings.firstEjection = service.detection.firstEjection;
    settings.longestEjection = service.detection.longestEjection;
    settings.trialPatience = service.detection.trialPatience;
    settings.poolDecides = service.detection.poolDecides;
    settings.floorPercent = service.floorPercent;
    return settings;
}

std::vector<UpstreamCapacity> upstreamCapacities(const Bundles::Service &service)
{
    std::vector<UpstreamCapacity> capacities;
    capacities.reserve(service.upstreams.size());
    for (const auto &upstream : service.upstreams) {
        capacities.push_back({.id = upstream.id, .slots = upstream.slots});
    }
    return capacities;
}

} // namespace Verbenadock::Health
