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

/// A message and its receiver.
struct OutgoingMessage
{
    /// Name of the receiving VM; empty for all other VMs of the own data centre.
    std::string vm;
    Mesh::Message message;

    auto operator<=>(const OutgoingMessage &) const = default;
};

/// Tracks the requests in flight at all upstreams, summed over all entries. The cost for an entry grows neither with
/// the number of requests nor with the number of entries.
///
/// Each data centre has two hubs among its VMs. An entry reports its load at upstreams of the own data centre to both
/// hubs, and its load at upstreams of another data centre to the first hub there. The first hub adds up the reports and
/// periodically sends the changed totals to the other VMs of its data centre. It also reports its upstreams without a
/// free slot to the first hub of each other data centre, which forwards them to the VMs there.
///
/// Usage: call configure() with each configuration, observe() for load changes of this entry and handle() for messages,
/// and send the messages that they return. Call report() soon after a change, summarize() periodically while this VM is
/// the first hub, and expire() periodically on all VMs.
class LoadExchange
{
public:
    struct Update
    {
        std::vector<Core::LoadChanged> changes;
        std::vector<OutgoingMessage> outgoing;
    };

    LoadExchange(std::string vm, std::string dataCentre);

    void configure(const Core::Configuration &configuration);

    /// Records the number of requests that this entry has in flight at an upstream.
    void observe(const Core::ReportLoad &load);

    /// Returns reports of this entry's load to the hubs: changed values, and values last sent a while ago. `localHubs`
    /// are the hubs of the own data centre and may contain this VM.
    std::vector<OutgoingMessage> report(const std::vector<std::string> &localHubs, TimePoint now);

    Update handle(const Mesh::VmLoads &message, TimePoint now);
    /// `fromRemote` means that the sender is in another data centre; the message is then forwarded in this one.
    Update handle(const Mesh::UpstreamLoads &message, bool fromRemote, TimePoint now);
    void handle(const Mesh::DataCentreLoads &message, TimePoint now);

    /// Returns totals for the VMs of this data centre and the hubs of other data centres.
    std::vector<OutgoingMessage> summarize(TimePoint now);

    /// Drops the load reported by VMs and hubs that fell silent, and returns the resulting changes.
    std::vector<Core::LoadChanged> expire(TimePoint now);

    /// Returns the smoothed load, in requests per slot, of each service with slots in this data centre.
    std::map<std::string, double> sample(TimePoint now);

    /// Highest load among the service's data centres, in requests per slot.
    double highestLoad(const std::string &service, TimePoint now) const;

    /// The first hubs of the other data centres that were heard recently.
    std::vector<std::string> remoteFirstHubs(TimePoint now) const;

    /// Requests of all VMs in flight at the service's upstreams.
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
        TimePoint lastReceivedAt;
    };

    /// The value last exchanged for an upstream.
    struct ExchangedLoad
    {
        unsigned inFlight = 0;
        TimePoint at;
    };

    using Totals = std::map<Mesh::UpstreamNumber, unsigned>;
    using ExchangedLoads = std::map<Mesh::UpstreamNumber, ExchangedLoad>;

    /// Returns the values that differ from those last sent, or were sent a while ago, in parts that fit into a
    /// datagram. Records them in `last`.
    static std::vector<std::vector<Mesh::UpstreamRequests>> changedLoads(const Totals &loads,
                                                                         ExchangedLoads &last,
                                                                         TimePoint now);
    /// Requests of all VMs at the upstreams of this data centre, as reported to this hub.
    Totals localTotals(TimePoint now) const;
    Totals fullUpstreams(const Totals &totals) const;
    void appendChange(std::vector<Core::LoadChanged> &changes,
                      Mesh::UpstreamNumber upstream,
                      unsigned inFlight,
                      bool includesOwn,
                      TimePoint now) const;

    std::string ownVm;
    std::string ownDataCentre;
    ServiceLoad serviceLoad;
    std::unordered_map<Mesh::UpstreamNumber, Upstream> upstreams;
    /// Requests of this entry, by the data centre of the upstream.
    std::map<std::string, Totals> ownLoads;
    /// Load that other VMs reported to this VM as a hub.
    Mesh::FleetLoad otherVmLoads;
    /// The first hub of each other data centre.
    std::map<std::string, Hub> remoteHubs;
    std::vector<std::string> lastLocalHubs;
    /// Values last reported for this entry's own requests, by data centre.
    std::map<std::string, ExchangedLoads> sentOwn;
    /// As a hub: totals last sent within the data centre and to other data centres. As a receiver: totals of hubs.
    ExchangedLoads sentLocal;
    ExchangedLoads sentRemote;
    ExchangedLoads received;
    TimePoint sentRemoteAt{};
};

} // namespace Verbenadock::Fleet

#endif
