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
#include <string>
#include <unordered_map>
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

/// Keeps the requests in flight at all upstreams known to all entries, at a cost for each entry that grows neither with
/// the requests nor with the entries.
///
/// Each entry tells the hubs of a data centre, two of its VMs, of its requests at upstreams there. The first hub sums
/// them up and tells the totals that changed to the VMs beside it at regular times. It also tells the hubs of other
/// data centres which of its upstreams have a request for each slot, and these pass that on.
///
/// Usage: configure() with each configuration; observe() changes of this entry and handle() messages, and send what
/// they return; tell() soon after a change, summarize() at regular times while this VM is the first hub, and expire()
/// on all VMs.
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
    void observe(const Core::ReportLoad &changed);

    /// What hubs have to know of this entry's requests: what changed, and what was told a while ago. The hubs of the
    /// own data centre may contain this VM.
    std::vector<Outgoing> tell(const std::vector<std::string> &nearHubs, TimePoint now);

    Update handle(const Mesh::VmLoads &seen, TimePoint now);
    /// `fromAfar` tells that the message came from another data centre itself; then it is passed on.
    Update handle(const Mesh::UpstreamLoads &loads, bool fromAfar, TimePoint now);
    void handle(const Mesh::DataCentreLoads &seen, TimePoint now);

    /// What the VMs here and the hubs of other data centres have to know of the upstreams here.
    std::vector<Outgoing> summarize(TimePoint now);

    /// What no longer counts because its VM or hub fell silent.
    std::vector<Core::LoadChanged> expire(TimePoint now);

    /// The smoothed load of each service with slots in this data centre.
    std::map<std::string, double> sample(TimePoint now);

    /// The load of the service in its busiest data centre.
    double busiest(const std::string &service, TimePoint now) const;

    /// Requests of all VMs at the service's upstreams.
    double inFlight(const std::string &service, TimePoint now) const;

private:
    struct Upstream
    {
        std::string service;
        std::string id;
        std::string dataCentre;
        unsigned slots = 0;
    };

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

    using Totals = std::map<Mesh::UpstreamNumber, unsigned>;
    using News = std::map<Mesh::UpstreamNumber, Told>;

    /// What changed against what was told, or was told a while ago, in parts that fit into a datagram.
    static std::vector<std::vector<Mesh::UpstreamRequests>> news(const Totals &loads, News &last, TimePoint now);
    /// Requests of all VMs at the upstreams of this data centre, as the hub knows them.
    Totals nearTotals(TimePoint now) const;
    Totals fullUpstreams(const Totals &totals) const;
    void append(std::vector<Core::LoadChanged> &changes,
                Mesh::UpstreamNumber upstream,
                unsigned inFlight,
                bool includesOwn,
                TimePoint now) const;

    std::string ownVm;
    std::string ownDataCentre;
    ServiceLoad serviceLoad;
    std::unordered_map<Mesh::UpstreamNumber, Upstream> upstreams;
    /// This entry's requests, by the data centre of the upstream.
    std::map<std::string, Totals> own;
    /// What the other VMs told this one as a hub.
    Mesh::FleetLoad others;
    /// The hubs of other data centres.
    std::map<std::string, Hub> farHubs;
    std::vector<std::string> lastNearHubs;
    /// What this entry told of its own requests, by data centre.
    std::map<std::string, News> toldOwn;
    /// What this VM told as a hub, and what other hubs told.
    News toldNear;
    News toldFar;
    News heard;
    TimePoint toldFarAt{};
};

} // namespace Verbenadock::Fleet

#endif
