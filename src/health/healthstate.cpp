#include "verbenadock/health/servicedetector.h"

namespace Verbenadock::Health {

std::string_view toString(HealthState state)
{
    switch (state) {
    case HealthState::Healthy:
        return "healthy";
    case HealthState::Ejected:
        return "ejected";
    case HealthState::Trial:
        return "trial";
    case HealthState::SlowStart:
        return "ramp";
    case HealthState::HeldByFloor:
        return "held-by-floor";
    }
    return "invalid";
}

} // namespace Verbenadock::Health
