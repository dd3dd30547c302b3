#ifndef VERBENADOCK_MESH_FLEETLOAD_H
#define VERBENADOCK_MESH_FLEETLOAD_H

#include "verbenadock/base/time.h"
#include "verbenadock/mesh/message.h"
#include "verbenadock/mesh/upstreamnumber.h"

#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Mesh {

/// Adds up the requests in flight that other VMs report for upstreams. The report of a VM expires, because a silent VM
/// may be gone together with its requests.
class FleetLoad
{
public:
    void update(const VmLoads &message, TimePoint now);

    /// Drops expired reports. Returns the upstreams whose total changed.
    std::vector<UpstreamNumber> expire(TimePoint now);

    /// Requests of all other VMs at an upstream, without expired reports.
    unsigned inFlightAt(UpstreamNumber upstream, TimePoint now) const;

    /// Totals of all upstreams with requests, without expired reports.
    std::map<UpstreamNumber, unsigned> totals(TimePoint now) const;

private:
    struct VmReport
    {
        unsigned inFlight = 0;
        TimePoint at;
    };

    using VmReports = std::map<std::string, VmReport>;

    static unsigned totalOf(const VmReports &reports, TimePoint now);

    /// By upstream, then by VM; only reports above zero.
    std::map<UpstreamNumber, VmReports> upstreams;
};

} // namespace Verbenadock::Mesh

#endif
