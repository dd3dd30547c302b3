#ifndef VERBENADOCK_MESH_FLEETLOAD_H
#define VERBENADOCK_MESH_FLEETLOAD_H

#include "verbenadock/base/time.h"
#include "verbenadock/mesh/message.h"
#include "verbenadock/mesh/upstreamnumber.h"

#include <map>
#include <string>
#include <vector>

namespace Verbenadock::Mesh {

/// Adds up the requests that other VMs say they have at upstreams. A VM that falls silent no longer counts after a
/// while, since it may be gone with its requests.
class FleetLoad
{
public:
    void note(const VmLoads &loads, TimePoint now);

    /// The upstreams whose total changed because VMs fell silent.
    std::vector<UpstreamNumber> expire(TimePoint now);

    /// Requests of all other VMs at one upstream. Like all(), it leaves out VMs that have fallen silent.
    unsigned at(UpstreamNumber upstream, TimePoint now) const;

    /// The totals of all upstreams with requests.
    std::map<UpstreamNumber, unsigned> all(TimePoint now) const;

private:
    struct Share
    {
        unsigned inFlight = 0;
        TimePoint at;
    };

    using Shares = std::map<std::string, Share>;

    static unsigned totalOf(const Shares &shares, TimePoint now);

    /// By upstream, then by VM; only VMs with requests.
    std::map<UpstreamNumber, Shares> upstreams;
};

} // namespace Verbenadock::Mesh

#endif
