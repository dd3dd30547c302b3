#ifndef VERBENADOCK_FLEET_FLEETLINK_H
#define VERBENADOCK_FLEET_FLEETLINK_H

#include "verbenadock/core/effect.h"
#include "verbenadock/core/event.h"
#include "verbenadock/fleet/loadexchange.h"
#include "verbenadock/fleet/storefollower.h"
#include "verbenadock/health/pooledfailures.h"
#include "verbenadock/mesh/members.h"
#include "verbenadock/mesh/readerelection.h"
#include "verbenadock/settings/settings.h"
#include "verbenadock/telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbenadock::Fleet {

namespace internal {
class AllowanceLink;
}

/// Connects an entry that runs without an agent to the rest of the fleet: follows the platform's store, and exchanges
/// membership, request outcomes and load with the other VMs.
class FleetLink : public std::enable_shared_from_this<FleetLink>
{
public:
    struct Handlers
    {
        std::function<void(std::shared_ptr<const Core::Configuration>, const Discovery::RequestLimits &)>
            configurationChanged;
        std::function<void(const Core::HealthChanged &)> healthChanged;
        std::function<void(const Core::LoadChanged &)> loadChanged;
        std::function<void(const Core::ReserveUsed &)> reserveUsed;
        std::function<void(const Core::DataCentreLoadChanged &)> dataCentreLoadChanged;
        std::function<void(const Core::ConfigurationConfirmed &)> configurationConfirmed = {};
        std::function<void(const Core::ConfigurationSuperseded &)> configurationSuperseded = {};
        std::function<void(const Core::AllowanceDecided &)> allowanceDecided;
    };

    /// Binds the datagram port. Throws Net::NetError on failure.
    FleetLink(boost::asio::io_context &loop,
              const Settings::EntrySettings &entrySettings,
              std::uint64_t incarnation,
              Telemetry::MetricsRegistry &registry,
              Handlers callbacks);

    void start();

    /// Announces to the other VMs that this one stops.
    void leave();
    void stop();

    /// Shares the outcome of an attempt of this entry, if it is relevant to the pooled states.
    void observe(const Core::ReportEvidence &evidence);

    /// Shares the number of requests that this entry has in flight at an upstream.
    void observe(const Core::ReportLoad &load);

    /// Shares that this entry took an attempt from the fleet reserve.
    void observe(const Core::ReportReserveUse &use);

    /// Finds an allowance for a request of a capped customer; the answer may come within the call.
    void reserve(const Core::ReserveAllowance &effect);
    void giveBack(const Core::ReturnAllowance &effect);

    /// Serves a page of store records to another VM.
    std::optional<Net::AdminPage> page(std::string_view target);

    std::string dump() const;

private:
    using Udp = boost::asio::ip::udp;

    StoreFollower::Handlers followerHandlers();
    boost::asio::awaitable<void> joinWithRetries(bool onlyIfUnregistered);
    boost::asio::awaitable<bool> join(const Platform::StoreClient &store, bool onlyIfUnregistered);
    /// Registers this VM again if the store has lost its registration.
    void beginEra(std::uint64_t era);
    std::vector<Endpoint> peerEndpoints() const;
    void membersChanged();
    void pushConfiguration();
    void confirmConfiguration();
    void receive();
    void handle(const Mesh::Message &message);
    void handle(const Mesh::Hello &hello);
    void handle(const Mesh::Goodbye &goodbye);
    void handle(const Mesh::OutcomeReport &outcome);
    void handle(const Mesh::StoreHeartbeat &heartbeat);
    void handle(const Mesh::VmLoads &message);
    void handle(const Mesh::ReserveUse &use);
    void handle(const Mesh::DataCentreLoads &message);
    void handle(const Mesh::UpstreamLoads &message);
    void handle(const Mesh::StoreRecords &records);
    void handle(const Mesh::StoreRecordPatch &patch);
    void handle(const Mesh::AllowanceLoan &loan);
    void handle(const Mesh::AllowanceRequest &request);
    void handle(const Mesh::AllowanceGrant &grant);
    std::shared_ptr<internal::AllowanceLink> makeAllowanceLink(Telemetry::MetricsRegistry &registry);
    void sendToVm(const std::string &vm, const Mesh::Message &message);
    void applyUpdate(const LoadExchange::Update &update);
    /// Whether the sender of the current datagram is the named VM itself and in another data centre.
    bool isFromRemoteVm(const std::string &vm) const;
    /// Reports load changes to the hubs after a short delay, which batches changes into one message.
    void scheduleLoadReport();
    void reportLoads();
    void scheduleSummary();
    Duration summaryInterval() const;
    void sendToLocalVms(const Mesh::Message &message);
    /// Sends a patch to the VMs of all data centres if it fits into a datagram.
    void sendPatch(const Mesh::StoreRecordPatch &patch);
    void sendHeartbeat();
    void scheduleHeartbeat();
    /// Logs when this VM begins or ends to read the store.
    void logReaderChange();
    /// Drops the load of silent VMs, and updates the pooled states and the hubs with the current load.
    void refreshLoad();
    void recordOutcome(const Health::ObservedOutcome &outcome);
    void publishChanges(const std::vector<Health::PooledStateChange> &changes);
    void scheduleExpiry();
    void broadcast(const Mesh::Message &message);
    void sendToAll(const std::vector<Udp::endpoint> &receivers, const Mesh::Message &message);
    void sendTo(const Udp::endpoint &receiver, const std::string &datagram);

    boost::asio::io_context &context;
    Settings::EntrySettings settings;
    Handlers handlers;
    Mesh::Members members;
    /// Endpoints of the other VMs in the own data centre and in other data centres.
    std::vector<Udp::endpoint> localVms;
    std::vector<Udp::endpoint> remoteVms;
    std::shared_ptr<StoreFollower> follower;
    Mesh::ReaderElection election;
    LoadExchange loadExchange;
    std::shared_ptr<internal::AllowanceLink> allowances;
    Health::PooledFailures pooledFailures;
    /// Smoothed latency of each service, from this entry's successful attempts.
    std::map<std::string, Duration> latencies;
    Udp::socket socket;
    Udp::endpoint senderEndpoint;
    std::array<char, 2048> datagram{};
    boost::asio::steady_timer expiryTimer;
    boost::asio::steady_timer heartbeatTimer;
    boost::asio::steady_timer summaryTimer;
    boost::asio::steady_timer loadReportTimer;
    bool loadReportScheduled = false;
    unsigned heartbeatCount = 0;
    /// Whether this VM read the store at the last heartbeat.
    bool wasReader = false;
    /// Era of the store in which the registration of this VM was last checked.
    std::uint64_t checkedEra = 0;
    /// This VM has read the registrations of the others.
    bool knowsRegistrations = false;
    TimePoint startedAt = monotonicNow();
    /// This VM has told the others that it stops.
    bool leaving = false;
    bool stopped = false;
    Telemetry::Counter &sentMessages;
    Telemetry::Counter &receivedMessages;
    Telemetry::Counter &malformedMessages;
};

} // namespace Verbenadock::Fleet

#endif
