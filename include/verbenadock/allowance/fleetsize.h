#ifndef VERBENADOCK_ALLOWANCE_FLEETSIZE_H
#define VERBENADOCK_ALLOWANCE_FLEETSIZE_H

#include "verbenadock/base/time.h"

#include <cstddef>
#include <optional>

namespace Verbenadock::Allowance {

/// Number of VMs by which caps are divided. It grows at once and falls late, because VMs that announced their stop
/// still send requests: if all VMs stopped together, each would otherwise take the whole cap.
class FleetSize
{
public:
    /// Zero means unknown.
    void set(std::size_t vms, TimePoint now);

    /// Returns whether the value changed.
    bool advance(TimePoint now);

    std::size_t value() const;

private:
    std::size_t current = 0;
    /// Largest number since the number fell, and the time at which it takes effect.
    std::size_t lower = 0;
    std::size_t last = 0;
    std::optional<TimePoint> fallsAt;
};

} // namespace Verbenadock::Allowance

#endif
