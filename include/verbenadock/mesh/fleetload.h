#ifndef VERBENADOCK_MESH_FLEETLOAD_H
#define VERBENADOCK_MESH_FLEETLOAD_H

#include "verbenadock/base/time.h"
#include "verbenadock/mesh/message.h"

#include <compare>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Verbenadock::Mesh {

/// Requests that all other VMs together have at an upstream.
struct UpstreamLoad
{
    std::string service;
    std::string upstream;
    unsigned inFlight = 0;

    auto operator<=>(const UpstreamLoad &) const = default;
};

/// Adds up what the other VMs say. A VM that falls silent no longer counts after a while, since it may be gone with its
/// requests.
class FleetLoad
{
public:
    /// The upstream's new total.
    UpstreamLoad note(const LoadSeen &load, TimePoint now);

    /// The totals that changed because VMs fell silent.
    std::vector<UpstreamLoad> expire(TimePoint now);

    /// The totals of all upstreams with requests.
    std::vector<UpstreamLoad> all() const;

    /// Requests that all other VMs together have at the upstreams of a service.
    unsigned inFlight(const std::string &service) const;

private:
    struct Share
    {
        unsigned inFlight = 0;
        TimePoint at;
    };

    using Key = std::pair<std::string, std::string>;

    static UpstreamLoad totalOf(const Key &key, const std::map<std::string, Share> &shares);

    /// By service and upstream, then by VM; only VMs with requests.
    std::map<Key, std::map<std::string, Share>> upstreams;
};

} // namespace Verbenadock::Mesh

#endif
