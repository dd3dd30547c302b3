#ifndef VERBENADOCK_ALLOWANCE_CAP_H
#define VERBENADOCK_ALLOWANCE_CAP_H

#include "verbenadock/mesh/customernumber.h"

#include <compare>
#include <map>

namespace Verbenadock::Allowance {

/// Cap of a customer's requests over all VMs.
struct Cap
{
    double requestsPerSecond = 0;
    /// Requests beyond the rate that may run at once.
    double burst = 0;

    auto operator<=>(const Cap &) const = default;
};

/// The customers with a cap.
using Caps = std::map<Mesh::CustomerNumber, Cap>;

} // namespace Verbenadock::Allowance

#endif
