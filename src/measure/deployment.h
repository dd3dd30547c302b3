#ifndef VERBENADOCK_MEASURE_DEPLOYMENT_H
#define VERBENADOCK_MEASURE_DEPLOYMENT_H

#include "harness/fleet.h"
#include "load.h"

#include <string>

namespace Verbenadock::Measure {

/// A fleet of the shape of a deployment (design page, section 1.3) with fewer VMs. Throws Error for an unknown name.
Test::FleetSpec deploymentSpec(const std::string &name, unsigned vms);

/// Requests per second for which each upstream gets the wanted number.
double loadRate(const Test::FleetSpec &spec, double requestsPerUpstream);

/// Requests for the services by their number of upstreams, sent to the entries in turn. The target names the VM, its
/// data centre and the kind of request, so that upstreams record them.
LoadPlan deploymentLoad(const Test::FleetSpec &spec, const Test::Fleet &fleet, double requestsPerUpstream);

} // namespace Verbenadock::Measure

#endif
