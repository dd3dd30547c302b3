#ifndef VERBENADOCK_DISCOVERY_SERVICEPOLICY_H
#define VERBENADOCK_DISCOVERY_SERVICEPOLICY_H

#include "verbenadock/discovery/records.h"

#include <vector>

namespace Verbenadock::Discovery::internal {

Bundles::Upstream makeUpstream(const UpstreamEntry &entry);

/// Builds a service with the parameters for upstreams that register themselves.
Bundles::Service makeService(const ConfiguredService &service,
                             const RetryAllowance &allowance,
                             const Bundles::Bundle &bundle,
                             std::vector<Bundles::Upstream> upstreams);

} // namespace Verbenadock::Discovery::internal

#endif
