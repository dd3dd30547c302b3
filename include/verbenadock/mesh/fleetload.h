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
    void note(const VmLoads &loads, TimePoint now);

    /// Drops expired reports. Returns the upstreams whose total changed.
    std::vector<UpstreamNumber> expire(TimePoint now);

    /// Requests of all other VMs at an upstream, without expired reports.
    unsigned at(UpstreamNumber upstream, TimePoint now) const;

    /// Totals of all upstreams with requests, without expired reports.
    std::map<UpstreamNumber, unsigned> all(TimePoint now) const;

private:
    struct Share
    {
        unsigned inFlight = 0;
        TimePoint at;
    };

    using Shares = std::map<std::string, Share>;

    static unsigned totalOf(const Shares &shares, TimePoint now);

    /// By upstream, then by VM; only reports above zero.
    std::map<UpstreamNumber, Shares> upstreams;
};

} // namespace Verbenadock::Mesh

#endif
