#ifndef VERBENADOCK_FLEET_LOADEXCHANGE_H
#define VERBENADOCK_FLEET_LOADEXCHANGE_H

#include "verbenadock/base/time.h"
#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/fleet/serviceload.h"
#include "verbenadock/mesh/fleetload.h"
#include "verbenadock/mesh/message.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Verbenadock::Fleet {

/// Where a message goes.
struct Outgoing
{
    /// Name of one VM; empty for all others of the own data centre.
    std::string vm;
    Mesh::Message message;

    auto operator<=>(const Outgoing &) const = default;
};

/// Keeps the requests in flight at all upstreams known to all entries, at a cost between data centres that does not
/// grow with the entries.
///
/// Each entry tells those of its data centre of its requests at upstreams there. It tells of requests at an upstream
/// elsewhere only the hub of that data centre, one of its VMs, which sums them up for the others there. Hubs also tell
/// each other which of their upstreams have a request for each slot, and pass on what they get.
///
/// Usage: configure() with each configuration; observe() changes of this entry and handle() messages, and send what
/// they return; summarize() at regular times while this VM is the hub, and expire() on all VMs.
class LoadExchange
{
public:
    struct Update
    {
        std::vector<Core::LoadChanged> changes;
        std::vector<Outgoing> outgoing;
    };

    LoadExchange(std::string vm, std::string dataCentre);

    void configure(const Core::Configuration &configuration);

    /// The number of this entry's requests at an upstream changed.
    std::vector<Outgoing> observe(const Core::ReportLoad &changed, TimePoint now);

    /// `isAfar` tells that the VM is in another data centre.
    Update handle(const Mesh::LoadSeen &seen, bool isAfar, TimePoint now);
    /// `fromAfar` tells that the message came from another data centre itself; then it is passed on.
    Update handle(const Mesh::UpstreamLoads &loads, bool fromAfar, TimePoint now);
    void handle(const Mesh::DataCentreLoad &seen, TimePoint now);

    /// What the hubs of other data centres have to know of the upstreams here, and the VMs here of requests from there.
    std::vector<Outgoing> summarize(TimePoint now);

    /// What no longer counts because its VM or hub fell silent.
    std::vector<Core::LoadChanged> expire(TimePoint now);

    /// The smoothed load of each service with slots in this data centre.
    std::map<std::string, double> sample();

    /// The load of the service in its busiest data centre.
    double busiest(const std::string &service, TimePoint now) const;

private:
    struct Hub
    {
        std::string vm;
        TimePoint heardAt;
    };

    /// What was last told of an upstream.
    struct Told
    {
        unsigned inFlight = 0;
        TimePoint at;
    };

    using Key = std::pair<std::string, std::string>;

    /// Messages with what changed against what was told, or was told a while ago.
    std::vector<Mesh::UpstreamLoads> news(const std::map<Key, unsigned> &loads,
                                          std::map<Key, Told> &last,
                                          TimePoint now) const;
    std::map<Key, unsigned> fullUpstreams() const;
    std::map<Key, unsigned> requestsFromAfar() const;
    Update handleOwn(const Mesh::UpstreamLoads &loads, TimePoint now);
    static Core::LoadChanged changeOf(const Key &key, unsigned inFlight, bool includesOwn, TimePoint now);

    std::string ownVm;
    std::string ownDataCentre;
    Mesh::FleetLoad others;
    /// The part of it that comes from VMs of other data centres, as they say themselves.
    Mesh::FleetLoad afar;
    ServiceLoad serviceLoad;
    std::map<Key, unsigned> slots;
    /// By data centre.
    std::map<std::string, Hub> hubs;
    /// By service and upstream: what this VM as the hub told other hubs and the VMs here, and what other hubs told.
    std::map<Key, Told> toldHubs;
    std::map<Key, Told> toldNear;
    std::map<Key, Told> heard;
};

} // namespace Verbenadock::Fleet

#endif
